"""Sockets: the real program, started as users start it, among stand-ins in processes of their own.

All of it stands on the rig of `processes/`: each dispatcher has an address of its own on loopback, by which
the stand-ins know it, and whatever was started is ended with the rig.
"""

import asyncio
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND, Duration, format_duration
from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from ..experiment_files.fault_tables import DispatcherReplaced, SettingsChange
from ..models import event_records
from ..models.clients import LATE_ANSWER_ALLOWANCE
from ..models.deployment_settings import dispatcher_settings
from ..models.dispatcher_outages import dispatcher_outages
from ..models.event_records import Event, EventLog, merge_events, read_events
from ..processes.addresses import ProcessAddress
from ..processes.capacity_check import MEBIBYTE, ResourceDemand, memory_backed_folder
from ..processes.child_process import ChildProcess
from ..processes.fault_timeline import FaultStep
from ..processes.history import HistoryEvent
from ..processes.link_faults import LinkCounters
from ..processes.rig import Rig
from ..processes.running_process import ProcessStartError, RunningProcess

LEAD = 300 * MILLISECOND  # from the word to start to the start
READY_WITHIN = 20.0  # seconds
MAX_LATENESS = 100 * MILLISECOND  # of the load generator and the stand-ins; past that a run is void
FINAL_CALM = SECOND
STAND_IN_MEMORY = 256 * MEBIBYTE
KEPT_BY_DISPATCHERS = 21  # seconds, a connection to a worker that rests

ReportListener = Callable[[dict[str, Any]], None]


class Played(NamedTuple):
    events: list[Event]
    void: str
    took_s: float
    logs: str  # what dispatchers wrote, the last lines
    history: list[HistoryEvent]  # what was done to them, and what they said
    links: LinkCounters  # what the relays counted


class DispatcherProgram(RunningProcess):
    """One dispatcher: the real program, ready once it says so at its door."""

    def __init__(
        self, rig: Rig, place: ProcessAddress, config: dict[str, Any], store: dict[str, Any] | None = None
    ) -> None:
        path = rig.folder / f"{place.name}.json"
        path.write_bytes(msgspec.json.encode(config))
        words = []
        if store is not None:
            file = rig.folder / f"{place.name}.store.json"
            file.write_bytes(msgspec.json.encode(store))
            words = ["serve", str(path), "--store", str(file)]
        environment = {"RELAY_CONFIG": str(path)}
        super().__init__(place, rig.folder, "ploverspoke", words, environment)
        self.door = (place.host, place.ports["clients"])
        self.ready = self._is_ready

    async def start(self, more: Any = ()) -> None:
        # A store that is new begins so; one that was emptied later must not.
        await super().start(["--new"] if self.arguments and not self.starts else more)

    async def _is_ready(self) -> bool:
        reader, writer = await asyncio.open_connection(*self.door)
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: testbed\r\nConnection: close\r\n\r\n")
        first = await reader.readline()
        writer.close()
        return b" 200 " in first


def client_processes(e: Experiment) -> int:
    """As many as the offered load wants: one carries some thousands of submissions a second."""
    return max(1, min(4, int(_most_a_second(e) // 1500) + 1))


def _most_a_second(e: Experiment) -> float:
    return sum(max(t.rate, t.end_rate or 0.0) * (1 + t.wave_amplitude) for t in e.traffic)


def resource_demands(e: Experiment) -> list[ResourceDemand]:
    """What stand-ins need beside the dispatchers: memory, and descriptors in one process."""
    dispatchers, rate = e.dispatchers.count, _most_a_second(e)
    workers = sum(group.count for group in e.workers)
    # Each hand-off may leave a connection behind that rests, but there is no more than one a slot and pair.
    resting = min(dispatchers * workers * 4, int(rate * 1.5 * KEPT_BY_DISPATCHERS))
    return [
        ResourceDemand("workers", 1, STAND_IN_MEMORY, 64 + 2 * workers + resting),
        ResourceDemand("discovery", 1, STAND_IN_MEMORY, 64 + 2 * dispatchers),
        ResourceDemand("clients", client_processes(e), STAND_IN_MEMORY, 64 + 8 * dispatchers),
    ]


def outage_steps(e: Experiment, seed: int) -> list[FaultStep]:
    """What the file's troubles do to dispatchers, and its timeline, in order of time."""
    whats = {"killed": "kill", "paused": "pause", "restarted": "restart"}
    found = [
        FaultStep(
            start=Duration(begin), kind=whats[how], processes=[f"d{number}"], duration=Duration(end - begin)
        )
        for begin, end, number, how in dispatcher_outages(e, seed)
    ]
    return sorted([*found, *e.timeline], key=lambda step: step.start)


class SocketFleet:
    """All processes of one run."""

    def __init__(self, e: Experiment, seed: int, folder: Path, told: ReportListener | None) -> None:
        self.e = e
        self.seed = seed
        self.folder = folder
        self.told = told
        self.seen = EventLog()
        self.rig = Rig(folder, seed)
        self.rig.timeline.on_process_down, self.rig.timeline.on_process_up = self._down, self._up
        self.rig.timeline.stop_timeout = max(g.deadline for g in e.request_classes) / SECOND + 0.7
        self.behind = 0
        self.late = 0  # the stand-ins
        self.programs: list[DispatcherProgram] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.tells_traffic = False
        self.worker_processes = 1

    async def play(self) -> None:
        e, rig = self.e, self.rig
        if any(isinstance(t, DispatcherReplaced | SettingsChange) for t in e.faults):
            raise ExperimentError("troubles: replacing and changed settings are played on virtual time only")
        clients, parts = self._client_processes(), self.worker_processes
        streams, datagrams = ["peers"] * e.dispatchers.store, ["talk"] * e.dispatchers.gossip
        names = [f"d{number}" for number in range(e.dispatchers.count)]
        places = [rig.allocate_address(name, streams, datagrams, direct=["clients"]) for name in names]
        spec = self.folder / "spec.json"
        told = {
            "experiment": msgspec.to_builtins(e, enc_hook=int),
            "seed": self.seed,
            "records": str(self.folder),
            "clients": clients,
            "hosts": self._hosts(places),
            "own_hosts": {"workers": rig.block.fake_host(1), "discovery": rig.block.fake_host(2)},
            "tells_traffic": self.tells_traffic,
            "worker_processes": parts,
        }
        spec.write_bytes(msgspec.json.encode(told))
        rig.check_capacity(self._wants())
        await rig.open_proxy()
        kinds = {"workers": parts, "discovery": 1, "clients": clients}
        stand_ins = [
            await rig.start_child("ploverspoke.testbed.fakes", [kind, str(spec), str(part)])
            for kind, count in kinds.items()
            for part in range(count)
        ]
        workers, discovery, others = stand_ins[:parts], stand_ins[parts], stand_ins[parts + 1 :]
        worker_addresses: dict[str, str] = {}
        for child in workers:
            worker_addresses |= (await self._first(child))["addresses"]
        discovery_address = (await self._first(discovery))["address"]
        for child in others:
            await self._first(child)
        # Discovery answers dispatchers from their start on, so it hears of the workers before them.
        discovery.send({"workers": worker_addresses})
        await self._before(places)
        for number, place in enumerate(places):
            config = self._config(number, places, discovery_address)
            store = self._store(number, places) if e.dispatchers.store else None
            program = self._program(place, config, store)
            rig.processes[place.name] = program
            self.programs.append(program)
        await rig.start_processes()
        await self._started(discovery)
        epoch = time.monotonic_ns() + LEAD
        for child in stand_ins:
            child.send({"start": epoch, "dispatchers": [place.endpoint("clients") for place in places]})
        self.tasks += [asyncio.create_task(self._listen(child, discovery)) for child in (*workers, *others)]
        self._begins(epoch, workers[0], discovery)
        await rig.run_timeline(outage_steps(e, self.seed), self._end(), epoch)

    # ---- What another stage may do in another way ----

    def _hosts(self, places: list[ProcessAddress]) -> list[str]:
        """The addresses that dispatchers send from."""
        return [place.host for place in places]

    def _client_processes(self) -> int:
        return client_processes(self.e)

    def _wants(self) -> list[ResourceDemand]:
        return resource_demands(self.e)

    async def _before(self, places: list[ProcessAddress]) -> None:
        """What dispatchers need to be there before they are."""

    async def _started(self, discovery: ChildProcess) -> None:
        """All dispatchers serve, and the run is about to begin."""

    def _program(
        self, place: ProcessAddress, config: dict[str, Any], store: dict[str, Any] | None
    ) -> DispatcherProgram:
        return DispatcherProgram(self.rig, place, config, store)

    def _begins(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        """All has started; the run begins then."""

    def _end(self) -> int:
        end = self.e.duration + max(g.deadline for g in self.e.request_classes) + FINAL_CALM
        return end + (LATE_ANSWER_ALLOWANCE if self.e.dispatchers.store else 0)

    async def _first(self, child: ChildProcess) -> dict[str, Any]:
        told = await asyncio.wait_for(child.receive(), READY_WITHIN)
        if told is None:
            raise ProcessStartError("a stand-in ended at its start")
        return told

    def _config(self, number: int, places: list[ProcessAddress], discovery: str) -> dict[str, Any]:
        e = self.e
        config: dict[str, Any] = {
            "name": f"d{number}",
            "listen": places[number].endpoint("clients"),
            "discovery": discovery,
            "seed": f"{self.seed * 1_000_003 + number:x}",
            "limits": {"sockets": e.dispatchers.max_sockets, "memory_mb": e.dispatchers.memory_mb},
            "settings": dispatcher_settings(e, number),
        }
        if e.dispatchers.gossip:
            config["peers"] = [place.proxied_endpoint("talk") for place in places]
        return config

    def _store(self, number: int, places: list[ProcessAddress]) -> dict[str, Any]:
        (self.folder / "secret").write_text("a secret of the testbed's own")
        replicas = {
            f"r{n}": {"peers": place.proxied_endpoint("peers"), "clients": place.endpoint("clients")}
            for n, place in enumerate(places)
        }
        folder = places[number].name
        told = {"cluster": "testbed", "name": f"r{number}", "folder": folder, "secret_file": "secret"}
        return {**told, "replicas": replicas, "snapshot_every": self.e.dispatchers.snapshot_interval}

    async def _listen(self, child: ChildProcess, discovery: ChildProcess) -> None:
        while (told := await child.receive()) is not None:
            if "fault" in told:
                self.rig.errors.append(told["fault"])
            if "fell" in told or "back" in told:
                discovery.send(told)
            self.behind = max(self.behind, told.get("behind", 0))
            self.late = max(self.late, told.get("late", 0))
            if self.told is not None:
                self.told({"at": self.rig.timeline.now(), "child": id(child), **told})

    def _down(self, name: str, how: str) -> None:
        what = event_records.DISPATCHER_TERMINATING if how == "restart" else event_records.DISPATCHER_KILLED
        self.seen.add(Event(self.rig.timeline.now(), what, dispatcher=int(name[1:])))

    def _up(self, name: str) -> None:
        self.seen.add(
            Event(self.rig.timeline.now(), event_records.DISPATCHER_STARTED, dispatcher=int(name[1:]))
        )

    async def close(self) -> None:
        """End all that was started, whatever happened."""
        await self.rig.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def void(self) -> str:
        if self.behind > MAX_LATENESS:
            return f"the load generator fell behind by {format_duration(self.behind)}"
        if self.late > MAX_LATENESS:
            return f"the machine was too slow: a stand-in was late by {format_duration(self.late)}"
        if self.rig.errors:
            return f"{len(self.rig.errors)} faults, the first: {self.rig.errors[0]}"
        return self.rig.void_reason()


def run_on_sockets(e: Experiment, seed: int, told: ReportListener | None = None) -> Played:
    """Run once, in real time. Raises ProcessStartError, and CapacityError where it does not fit."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="ploverspoke-testbed-", dir=memory_backed_folder()) as name:
        folder = Path(name)
        stage = SocketFleet(e, seed, folder, told)
        asyncio.run(_play(stage))
        parts = [read_events(path) for path in sorted(folder.glob("*.jsonl"))]
        events = merge_events([stage.seen.events, *parts])
        history = stage.rig.read_events()
        logs = "\n".join(path.read_text()[-2000:] for path in sorted(folder.glob("d*.log")))
    counts = stage.rig.link_faults.counters.links
    return Played(events, stage.void(), time.monotonic() - began, logs, history, counts)


async def _play(stage: SocketFleet) -> None:
    try:
        await stage.play()
    finally:
        await stage.close()
