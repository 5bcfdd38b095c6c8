"""A world in which one size has a value, and what the dispatchers in it used over a settled stretch.

The dispatcher that is measured is the program as users start it, with nothing between it and the kernel: the
rig's `launcher.py` would cost it time at each look at the clock. Worlds of several dispatchers need that
starter, by which each has an address of its own; they are read for messages and bytes.
"""

import asyncio
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import numpy as np

from ploverspoke.consensus.framing import FrameError

from ...experiment_files import experiment as ex
from ...experiment_files.durations import MILLISECOND, SECOND
from ...processes.addresses import ProcessAddress
from ...processes.capacity_check import memory_backed_folder
from ...processes.child_process import ChildProcess
from ...processes.link_faults import LinkCounters
from ...processes.resource_usage import ResourceUsage, read_resource_usage
from ...processes.running_process import ProcessStartError, RunningProcess
from ...scenarios.socket_run import DispatcherProgram, SocketFleet

LOOKS_EVERY = 500 * MILLISECOND
AFTER = 400 * MILLISECOND  # the end of the stretch, until the stand-ins have told of it
SLACK = 20 * MILLISECOND  # by which four reports may make less than a second
SOURCE = "127.0.0.1"  # the kernel's own choice for who sends on loopback
MOST_REFUSED = 0.02  # of the answers; past that the world did something else than was asked for
KINDS = {"running": "workers", "answers": "clients", "version": "discovery"}  # by a word that only it says
TAKEN = "new configuration: settings applied"
TRAFFIC = ("bytes_in", "bytes_out", "messages_in", "messages_out")

Act = Callable[["MeasurementFleet"], Awaitable[None] | None]


class Reading(NamedTuple):
    """Of one world. Rates are a second and a dispatcher."""

    sizes: dict[str, float]  # as they were in the stretch, where they are counted
    figures: dict[str, float]
    void: str  # why it gives no point; "" where it does


class Bare(DispatcherProgram):
    """The program without the rig's starter: it sends from the kernel's own choice of address."""

    def command(self) -> list[str]:
        return [sys.executable, "-m", self.module]

    def watch(self, orders: Path) -> None:
        """It takes versions of the configuration from those that this file names."""
        self.arguments = ["serve", self.environment["RELAY_CONFIG"], "--watch", str(orders)]

    async def start(self, more: Any = ()) -> None:
        await RunningProcess.start(self, more)


class MeasurementFleet(SocketFleet):
    def __init__(
        self,
        e: ex.Experiment,
        seed: int,
        folder: Path,
        settled: int,
        acts: Sequence[tuple[int, Act]] = (),
        ends: int = 0,
        watch: Path | None = None,
    ) -> None:
        """The stretch begins at `settled` and ends at `ends`, ns from the start; 0: with the experiment."""
        super().__init__(e, seed, folder, self._hear)
        self.tells_traffic = True
        self.settled = settled
        self.ends = ends or e.duration
        self.watch = watch
        self.acts = sorted(acts, key=lambda act: act[0])
        self.bare = e.dispatchers.count == 1
        self.reports: dict[str, list[dict[str, Any]]] = {kind: [] for kind in KINDS.values()}
        self.looks: list[list[tuple[int, ResourceUsage]]] = []  # by dispatcher
        self.relayed: list[tuple[int, LinkCounters]] = []
        self.configs: list[dict[str, Any]] = []
        self.reloads = 0  # that were asked for

    # ---- In place of the stage's own ----

    def _hosts(self, places: list[ProcessAddress]) -> list[str]:
        return [SOURCE] if self.bare else super()._hosts(places)

    def _program(
        self, place: ProcessAddress, config: dict[str, Any], store: dict[str, Any] | None
    ) -> DispatcherProgram:
        self.configs.append(config)
        if not self.bare:
            return DispatcherProgram(self.rig, place, config, store)
        program = Bare(self.rig, place, config, store)
        if self.watch is not None:
            program.watch(self.watch)
        return program

    def _begins(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        self.tasks.append(asyncio.create_task(self._listen(discovery, discovery)))
        self.tasks.append(asyncio.create_task(self._look_on(epoch)))
        self.tasks.append(asyncio.create_task(self._act(epoch)))

    def _end(self) -> int:
        return self.e.duration + AFTER

    # ---- While it runs ----

    def _hear(self, told: dict[str, Any]) -> None:
        for word, kind in KINDS.items():
            if word in told and "traffic" in told:
                self.reports[kind].append({key: told[key] for key in (word, "counted_at", "traffic")})
                if kind == "clients":
                    self.reports[kind][-1]["sent"] = told["sent"]

    async def _look_on(self, epoch: int) -> None:
        self.looks = [[] for _ in self.programs]
        at = self.settled
        try:
            while at <= self.ends:
                await asyncio.sleep(max(0, epoch + at - time.monotonic_ns()) / SECOND)
                for looks, program in zip(self.looks, self.programs, strict=True):
                    if program.process is not None and program.is_running():
                        looks.append((time.monotonic_ns() - epoch, read_resource_usage(program.process.pid)))
                if self.rig.link_faults.is_open() and (at == self.settled or at + LOOKS_EVERY > self.ends):
                    await self.rig.link_faults.read_counters()
                    self.relayed.append((time.monotonic_ns() - epoch, self.rig.link_faults.counters.links))
                at += LOOKS_EVERY
        except OSError as error:
            self.rig.errors.append(f"a dispatcher could not be looked at: {error}")

    async def _act(self, epoch: int) -> None:
        for at, act in self.acts:
            await asyncio.sleep(max(0, epoch + at - time.monotonic_ns()) / SECOND)
            try:
                doing = act(self)
                if doing is not None:
                    await doing
            except (OSError, ProcessStartError, FrameError) as error:
                self.rig.errors.append(f"what was to be done could not be: {error}")

    # ---- What it was ----

    def between(self, kind: str, begin: int, end: int) -> list[dict[str, Any]]:
        """The reports of these stand-ins in that time of the run."""
        return [told for told in self.reports[kind] if begin <= told["counted_at"] <= end]

    def rates(self, kind: str, keys: Sequence[str], begin: int, end: int) -> dict[str, float]:
        """A second, over all dispatchers."""
        told = self.between(kind, begin, end)
        took = (told[-1]["counted_at"] - told[0]["counted_at"]) / SECOND
        return {key: (_sum(told[-1], key) - _sum(told[0], key)) / took for key in keys}

    def gained(self, kind: str, key: str, begin: int, end: int) -> float:
        """In that time, over all dispatchers."""
        told = self.between(kind, begin, end)
        return _sum(told[-1], key) - _sum(told[0], key)

    def worst(self, kind: str, key: str, begin: int, end: int) -> float:
        """The most in any second of that time, over all dispatchers."""
        told = self.between(kind, begin, end)
        each = [(one["counted_at"], _sum(one, key)) for one in told]
        found = 0.0
        for n, (at, before) in enumerate(each):
            later = next(((then, now) for then, now in each[n:] if then - at >= SECOND - SLACK), None)
            if later is not None:
                found = max(found, (later[1] - before) * SECOND / (later[0] - at))
        return found

    def mean(self, kind: str, key: str, begin: int, end: int) -> float:
        """Of what stands at a moment, over all dispatchers."""
        return float(np.mean([_sum(one, key) for one in self.between(kind, begin, end)]))

    def read(self) -> Reading:
        """Raises nothing: a world that cannot be read is void."""
        void = self.void()
        if not void and (
            any(len(self.between(kind, self.settled, self.ends)) < 2 for kind in self.reports)
            or any(len(looks) < 2 for looks in self.looks)
        ):
            void = "too little was seen of the stretch"
        if void:
            return Reading({}, {}, void)
        figures, sizes = self._used(), self._sizes()
        count = len(self.programs)
        total = dict.fromkeys(TRAFFIC, 0.0)
        for kind in self.reports:
            for key, rate in self.rates(kind, TRAFFIC, self.settled, self.ends).items():
                total[key] += rate / count
                if key.startswith("bytes"):
                    figures[f"{key}_{kind}"] = rate / count
        by_peers = self._told_by_peers(count)
        # All that a dispatcher sends and hears, whoever is at the other end.
        figures |= {key: rate + by_peers.get(f"peer_{key}", 0.0) for key, rate in total.items()} | by_peers
        taken = sum(p.log_path.read_text().count(TAKEN) for p in self.programs)
        if taken != self.reloads:
            return Reading({}, {}, f"{self.reloads} reloads were asked for, {taken} were taken")
        return Reading(sizes, figures, self._refused())

    def _used(self) -> dict[str, float]:
        shares, growths, memories, peaks = [], [], [], []
        for looks in self.looks:
            (first_at, first), (last_at, last) = looks[0], looks[-1]
            shares.append((last.processor - first.processor) / (last_at - first_at))
            growths.append(growth([(at / SECOND, float(seen.memory)) for at, seen in looks]))
            memories.append(last.memory)
            peaks.append(last.memory_peak)
        return {
            "core_share": float(np.mean(shares)),
            "memory_bytes": float(np.mean(memories)),
            "memory_growth_bytes": float(np.mean(growths)),
        }

    def _sizes(self) -> dict[str, float]:
        begin, end = self.settled, self.ends
        count = len(self.programs)
        running = [told["running"] for told in self.between("workers", begin, end)]
        sent, listed = self.between("clients", begin, end), self.between("discovery", begin, end)
        return {
            "tasks_running": float(np.mean(running)) / count,
            "starts_a_second": _rate(sent, "sent") / count,
            "list_changes_a_second": _rate(listed, "version"),
        }

    def _told_by_peers(self, count: int) -> dict[str, float]:
        """As the relays between them saw it; datagrams that are lost on the way are not played here."""
        if len(self.relayed) < 2:
            return {}
        (begin, first), (end, last) = self.relayed[0], self.relayed[-1]
        took = (end - begin) / SECOND * count
        octets, datagrams = (
            (now - before) / took
            for now, before in ((last.bytes_passed, first.bytes_passed), (last.passed, first.passed))
        )
        return {
            "peer_bytes_in": octets,
            "peer_bytes_out": octets,
            "peer_messages_in": datagrams,
            "peer_messages_out": datagrams,
        }

    def _refused(self) -> str:
        answers: dict[str, int] = self.reports["clients"][-1]["answers"]
        others = sum(number for how, number in answers.items() if how != "satisfied")
        if others > MOST_REFUSED * max(50, sum(answers.values())):
            return f"the load was not carried: {answers}"
        return ""


def growth(looks: Sequence[tuple[float, float]]) -> float:
    """Bytes a second, by the line through all of them."""
    at, memory = (np.array(column) for column in zip(*looks, strict=True))
    return float(round(np.polyfit(at - at[0], memory, 1)[0]))


def _sum(told: dict[str, Any], key: str) -> float:
    return float(sum(one[key] for one in told["traffic"]))


def _rate(told: Sequence[dict[str, Any]], key: str) -> float:
    took = (told[-1]["counted_at"] - told[0]["counted_at"]) / SECOND
    return float((told[-1][key] - told[0][key]) / took)


async def run_fleet(
    e: ex.Experiment,
    seed: int,
    settled: int,
    acts: Sequence[tuple[int, Act]] = (),
    ends: int = 0,
    watch: Path | None = None,
) -> tuple[MeasurementFleet, Reading]:
    """Run one fleet in real time; one that does not start is void. Raises CapacityError."""
    with tempfile.TemporaryDirectory(prefix="ploverspoke-slopes-", dir=memory_backed_folder()) as name:
        world = MeasurementFleet(e, seed, Path(name), settled, acts, ends, watch)
        try:
            await world.play()
        except (ProcessStartError, TimeoutError) as error:
            world.rig.errors.append(str(error) or "a stand-in was not ready in time")
        finally:
            await world.close()
        return world, world.read()


def rewrite(program: DispatcherProgram, config: dict[str, Any]) -> None:
    """Its configuration's file, whole at any moment."""
    path = Path(program.environment["RELAY_CONFIG"])
    fresh = path.with_suffix(".new")
    fresh.write_bytes(msgspec.json.encode(config))
    fresh.replace(path)
