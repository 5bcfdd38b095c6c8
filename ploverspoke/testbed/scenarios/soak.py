"""One seed of a soak: what happens when, and what is wrong with what was seen."""

import asyncio
import random
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..fakes.faulty_discovery import Failure, ScriptedDiscovery
from ..fakes.persistent_clients import DEADLINE, PersistentClients, hold_idle_connections
from ..fakes.recording_workers import RecordingWorkers
from ..processes.dispatcher_process import DispatcherProcess

LASTS = 22.0  # seconds
WORKERS = 5
MOST_DRAINED = 3
CLIENTS = 8
FLEETS = (1, 30, 177, 1000, 3000)
STOPS_AT = (8.0, 15.0)  # seconds; the dispatcher is restarted
EARLIEST_KILL = DEADLINE + 0.7  # after SIGTERM
BINDS_AFTER = 6.0
GRACE = 0.55
SLACK = 0.1
OUTAGES = (0.2, 1.0, 4.0, 9.0)  # seconds
DRAIN_SHARE = 0.5  # of the failures
CROWD_SHARE = 0.3  # of the seeds
CROWD = 150
CROWD_SOCKETS = 128
TICK = 0.02


@dataclass
class Verdict:
    """What one seed has shown."""

    seed: int
    requests: int = 0
    served: int = 0
    drains: int = 0
    restarts: int = 0
    lateness: float = 0.0  # of this process, in seconds; its observations may be off by as much
    problems: list[str] = field(default_factory=list)


class Soak:
    """One dispatcher, its two discoveries, its workers and clients."""

    def __init__(self, seed: int, folder: Path) -> None:
        """Everything that chance decides follows from the seed, but for the machine's pace."""
        self.random = random.Random(seed)
        self.seed = seed
        self.folder = folder
        self.loop = asyncio.get_running_loop()
        self.workers = RecordingWorkers(WORKERS, random.Random(seed + 1))
        self.verdict = Verdict(seed)
        self.drained_at: dict[str, float] = {}
        self.known_since: dict[str, float] = {}  # a later process learns of a drain from its start on
        self.tasks: list[asyncio.Task[None]] = []
        self.outage_lock = asyncio.Lock()

    async def play(self) -> Verdict:
        """Run to the end; returns what is wrong."""
        entries = await self.workers.start()
        self.discoveries = [ScriptedDiscovery(entries), ScriptedDiscovery(entries)]
        self.addresses = [await each.address_for(0) for each in self.discoveries]
        self.dispatcher = self._dispatcher()
        self.clients = PersistentClients(self.dispatcher.port, self.workers, random.Random(self.seed + 2))
        await self.dispatcher.start()
        self.tasks = [self.loop.create_task(self._watch_lateness())]
        running = [self.loop.create_task(self.clients.run(n)) for n in range(CLIENTS)]
        try:
            await self._inject_faults()
            self.clients.is_over = True
            await asyncio.gather(*running)
        finally:
            for task in (*self.tasks, *running):
                task.cancel()
            await self.dispatcher.kill()
            for discovery in self.discoveries:
                discovery.close()
            self.workers.close()
        return self._judge()

    def _dispatcher(self) -> DispatcherProcess:
        fleet = self.random.choice(FLEETS)
        dispatcher = DispatcherProcess(self.folder, 0, self.addresses[0], self.seed, PeersTotal=fleet)
        self.has_crowd = self.random.random() < CROWD_SHARE
        if self.has_crowd:
            dispatcher.document["limits"] = {"sockets": CROWD_SOCKETS}
        return dispatcher

    # ---- Trouble ----

    async def _inject_faults(self) -> None:
        began_at, stops = self.loop.time(), list(STOPS_AT)
        while (elapsed := self.loop.time() - began_at) < LASTS:
            if stops and elapsed >= stops[0]:
                stops.pop(0)
                await self._restart()
                continue
            kind = self.random.random()
            if kind < 0.2:
                self._drain_one()
            elif kind < 0.3:
                self._move_discovery()
            elif kind < 0.4 and self.has_crowd:
                held = hold_idle_connections(self.dispatcher.port, CROWD, 3.0)
                self.tasks.append(self.loop.create_task(held))
            elif not self.outage_lock.locked():
                self.tasks.append(self.loop.create_task(self._fail_discovery()))
                # What is missed matters most just after a failure has begun.
                if self.random.random() < DRAIN_SHARE:
                    await asyncio.sleep(self.random.random() * 0.5)
                    self._drain_one()
            until_stop = stops[0] - elapsed if stops else LASTS
            await asyncio.sleep(min(self.random.choice([0.05, 0.4, 1.5, 3.0]), max(0.0, until_stop)))

    def _drain_one(self) -> None:
        ready = [name for name in self.workers.names if name not in self.drained_at]
        if len(ready) <= WORKERS - MOST_DRAINED:
            return
        worker = self.random.choice(ready)
        self.drained_at[worker] = self.known_since[worker] = self.loop.time()
        self.workers.draining.add(worker)
        for discovery in self.discoveries:
            discovery.change(worker, "Terminating")

    def _move_discovery(self) -> None:
        self.addresses.reverse()
        self.dispatcher.move_discovery(self.addresses[0])

    async def _fail_discovery(self) -> None:
        """Some calls fail, or all of them for a while."""
        async with self.outage_lock:
            if self.random.random() < 0.4:
                failures = [self.random.choice(list(Failure)) for _ in range(self.random.randint(1, 4))]
                for discovery in self.discoveries:
                    discovery.fail_watches(*failures)
                return
            lasts = self.random.choice(OUTAGES)
            failure = None if self.random.random() < 0.2 else self.random.choice(list(Failure))
            await asyncio.gather(*(each.fail_for(failure, lasts) for each in self.discoveries))

    async def _restart(self) -> None:
        """Signals in series, a kill at the earliest moment, and the next process."""
        process = self.dispatcher.process
        assert process is not None
        if process.returncode is not None:
            self.verdict.problems.append(f"it ended by itself with {process.returncode}")
        for number in self.random.choice(
            [
                [signal.SIGTERM],
                [signal.SIGHUP, signal.SIGTERM],
                [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM],
            ]
        ):
            self.dispatcher.send(number)
        try:
            await asyncio.wait_for(process.wait(), EARLIEST_KILL)
            if process.returncode:
                self.verdict.problems.append(f"it ended with {process.returncode} after SIGTERM")
        except TimeoutError:
            await self.dispatcher.kill()
        self.verdict.restarts += 1
        # Not before the next process is there, whose first signals would come before its start is over.
        await self.dispatcher.start()
        for worker in self.known_since:
            self.known_since[worker] = self.loop.time()

    async def _watch_lateness(self) -> None:
        while True:
            due = self.loop.time() + TICK
            await asyncio.sleep(TICK)
            self.verdict.lateness = max(self.verdict.lateness, self.loop.time() - due)

    # ---- Verdict ----

    def _judge(self) -> Verdict:
        verdict = self.verdict
        verdict.requests, verdict.served = self.clients.sent, self.clients.statuses[200]
        verdict.drains = len(self.drained_at)
        verdict.problems += self.clients.lost
        verdict.problems += [text for arrival in self.workers.arrivals if (text := self._late(arrival))]
        for request_id, arrivals in self.workers.by_request.items():
            if sum(arrival.has_run for arrival in arrivals) > 1 and self._is_non_idempotent(request_id):
                verdict.problems.append(f"{request_id} ran twice")
        return verdict

    def _late(self, arrival: Any) -> str:
        """What is wrong with an arrival at a worker that drains, "" for nothing."""
        drained_at = self.drained_at.get(arrival.worker)
        if drained_at is None or arrival.at < drained_at:
            return ""
        # The later process counts as told from its own start on; the list it begins with may be old.
        since = max(drained_at, self.known_since[arrival.worker] if self._is_later(arrival) else drained_at)
        late_by = arrival.at - (since + BINDS_AFTER + GRACE + SLACK + self.verdict.lateness)
        return f"{arrival.request_id} at {arrival.worker}, {late_by:.2f} s late" if late_by > 0 else ""

    def _is_later(self, arrival: Any) -> bool:
        return bool(arrival.at >= self.known_since[arrival.worker])

    def _is_non_idempotent(self, request_id: str) -> bool:
        return request_id in self.clients.non_idempotent


async def play_seed(seed: int) -> Verdict:
    """Play one seed in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return await Soak(seed, Path(folder)).play()
