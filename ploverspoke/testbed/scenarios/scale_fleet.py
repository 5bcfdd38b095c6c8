"""The stage of a fleet: many dispatchers, hollow or each in a process, and what they use and carry."""

import asyncio
import sys
import time
from os import sched_getaffinity
from pathlib import Path
from typing import Any, NamedTuple, cast

import msgspec

from ..experiment_files.durations import SECOND, format_duration
from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import Idempotency
from ..fakes.fake_messages import AnsweredCount, FakeCommand
from ..models.request_schedule import draw_schedule
from ..processes.addresses import ProcessAddress
from ..processes.capacity_check import MEBIBYTE, CapacityError, ResourceDemand, free_memory
from ..processes.child_process import ChildProcess
from ..processes.running_process import ProcessStartError
from ..scale import simulated_dispatcher
from ..scale.dispatcher_host import DispatcherHostSpec
from ..scale.simulated_programs import MODULE, SimulatedDispatcherHost, SimulatedDispatcherProgram
from .dispatcher_program import DispatcherProgram
from .socket_resources import fake_resource_demands
from .socket_run import MAX_LATENESS, ReportListener, SocketFleet

LISTS_WITHIN, LOOKS_EVERY = 30.0, 0.1  # seconds
COUNTS_EVERY = 2 * SECOND
QUIET = 3 * SECOND  # nothing is out for so long: no retry waits any more, and the run is over
# What is reckoned before a run; the most that was seen, and some more.
PROCESS_MEMORY, DISPATCHER_MEMORY = 48 * MEBIBYTE, 10 * MEBIBYTE
CORES_A_TASK = (
    0.0012  # running, with a progress report a second: its dispatcher's, its worker's, its client's
)
CORES_A_START = 0.006
CORES_A_DISPATCHER = 0.001
DESCRIPTORS_A_DISPATCHER = 32
TRAFFIC = ("bytes_in", "bytes_out", "messages_in", "messages_out", "progress_bytes", "probes", "connections")


class ProcessCounts(NamedTuple):
    """How a run is spread over processes."""

    hollow: int  # 0: each dispatcher is a process of its own
    workers: int
    clients: int
    cores: float = 0.0  # that may be used; 0: all that we may run on


class Used(NamedTuple):
    """By all dispatchers together."""

    cpu_ns: int
    resident: int  # bytes
    descriptors: int  # the most of one process
    serving: int
    inside: dict[str, int]


class UsageSample(NamedTuple):
    at: int  # ns of the run
    used: Used
    traffic: dict[str, dict[str, int]]  # by kind of stand-in, over all dispatchers
    running: int  # tasks, as the workers have it


class ScaleFleet(SocketFleet):
    """A stage that is counted as it is played, and over once nobody waits for anything."""

    def __init__(
        self,
        e: Experiment,
        seed: int,
        folder: Path,
        shape: ProcessCounts,
        told: ReportListener | None = None,
    ) -> None:
        super().__init__(e, seed, folder, self._noted)
        self.listener = told
        self.shape = shape
        self.worker_processes = shape.workers
        self.reports_traffic = True
        self.jobs = len(draw_schedule(e, seed))
        self.latest: dict[int, dict[str, Any]] = {}  # what each stand-in told last
        self.samples: list[UsageSample] = []
        self.quiet_since = -1
        self.late_first = ""  # which stand-in first was too late, and when

    # ---- Before ----

    def _client_processes(self) -> int:
        return self.shape.clients

    def _resource_demands(self) -> list[ResourceDemand]:
        if self.shape.workers > 1 and (
            self.experiment.store is not None
            or any(
                g.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and g.retry_scope == "all"
                for g in self.experiment.request_classes
            )
        ):
            raise ExperimentError("worker processes: what all zones share can't be spread over several")
        found = [self._dispatchers_want()]
        for want in fake_resource_demands(self.experiment):
            count = {"workers": self.shape.workers, "clients": self.shape.clients}.get(want.name, 1)
            found.append(want._replace(processes=count, descriptors=want.descriptors // count + 64))
        self._must_have_cores()
        half = total_memory() // 2
        wanted = sum(want.processes * want.memory for want in found)
        if wanted > half:
            raise CapacityError(
                f"{wanted // MEBIBYTE} MiB wanted, {half // MEBIBYTE} are half of the machine's"
            )
        return found

    def _dispatchers_want(self) -> ResourceDemand:
        raise NotImplementedError

    def _must_have_cores(self) -> None:
        needed, running, starts = cores_for(self.experiment)
        has = self.shape.cores or len(sched_getaffinity(0))
        if needed > has:
            raise CapacityError(
                f"{needed:.1f} cores wanted ({running:.0f} tasks running, {starts:.0f} starts a second, "
                f"{self.experiment.dispatchers.count} dispatchers), {has:g} are there"
            )

    async def run(self) -> None:
        await super().run()
        self.samples.append(await self.sample())

    async def _on_dispatchers_started(self, discovery: ChildProcess) -> None:
        """All have the list: at no other time so many take it in at once, and that held them up."""
        count = self.experiment.dispatchers.count
        async with asyncio.timeout(LISTS_WITHIN):
            while True:
                discovery.send(FakeCommand(asks_who_was_answered=True))
                answered = (await self._first_message(discovery, AnsweredCount)).dispatchers
                if answered >= count and await self._listed() >= count:
                    return
                await asyncio.sleep(LOOKS_EVERY)

    async def _listed(self) -> int:
        """How many have taken the list in, where that can be seen."""
        return self.experiment.dispatchers.count

    # ---- While it runs ----

    def _on_run_start(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        self.tasks.append(asyncio.create_task(self._read_reports(discovery, discovery)))
        self.tasks.append(asyncio.create_task(self._sample(epoch)))

    def _noted(self, told: dict[str, Any]) -> None:
        self.latest[told["child"]] = told
        if told.get("late", 0) > MAX_LATENESS and not self.late_first:
            self.late_first = f"{kind_of(told)} by {told['at'] / SECOND:.1f} s"
        if self.listener is not None:
            self.listener(told)
        if "sent" in told:
            clients = [one for one in self.latest.values() if "sent" in one]
            if len(clients) < self.shape.clients or sum(one["sent"] for one in clients) < self.jobs:
                return
            if told["at"] < self.experiment.duration or any(one["out"] for one in clients):
                self.quiet_since = -1
            elif self.quiet_since < 0:
                self.quiet_since = told["at"]
            elif told["at"] - self.quiet_since > QUIET:
                self.rig.timeline.finished.set()

    async def _sample(self, epoch: int) -> None:
        try:
            for number in range(1 << 30):
                await asyncio.sleep(max(0, epoch + number * COUNTS_EVERY - time.monotonic_ns()) / SECOND)
                self.samples.append(await self.sample())
        except (ProcessStartError, OSError) as error:
            self.rig.errors.append(f"what dispatchers use could not be seen: {error}")

    async def sample(self) -> UsageSample:
        used = await self.used()
        traffic: dict[str, dict[str, int]] = {}
        for told in self.latest.values():
            kind = kind_of(told)
            if "traffic" not in told:
                continue
            there = traffic.setdefault(kind, dict.fromkeys(TRAFFIC, 0))
            for one in told["traffic"]:
                for key in TRAFFIC:
                    there[key] += one[key]
        running = sum(told["running"] for told in self.latest.values() if "running" in told)
        return UsageSample(self.rig.timeline.now(), used, traffic, running)

    async def used(self) -> Used:
        raise NotImplementedError

    def void_reason(self) -> str:
        found = super().void_reason()
        return f"{found} (first {self.late_first})" if found and self.late_first else found


class SimulatedScaleFleet(ScaleFleet):
    def __init__(
        self,
        e: Experiment,
        seed: int,
        folder: Path,
        shape: ProcessCounts,
        told: ReportListener | None = None,
    ) -> None:
        super().__init__(e, seed, folder, shape, told)
        self.children: list[SimulatedDispatcherHost] = []
        self.hollow_late = self.hollow_late_at = 0  # ns; when it was first seen to be too much

    def _dispatchers_want(self) -> ResourceDemand:
        each = -(-self.experiment.dispatchers.count // self.shape.hollow)
        _, running, starts = cores_for(self.experiment)
        per = (
            running / self.experiment.dispatchers.count * 3 + starts / self.experiment.dispatchers.count * 30
        )
        descriptors = 64 + int(each * (DESCRIPTORS_A_DISPATCHER + per))
        return ResourceDemand(
            "hollow processes", self.shape.hollow, PROCESS_MEMORY + each * DISPATCHER_MEMORY, descriptors
        )

    async def _before_dispatchers(self, places: list[ProcessAddress]) -> None:
        await super()._before_dispatchers(places)
        parts: list[list[simulated_dispatcher.DispatcherAddress]] = [[] for _ in range(self.shape.hollow)]
        for number, place in enumerate(places):
            parts[number % self.shape.hollow].append(self._place(number, place))
        spec = self.folder / "hollow.json"
        spec.write_bytes(msgspec.json.encode(DispatcherHostSpec(parts)))
        for part in range(self.shape.hollow):
            child = await self.rig.start_child(MODULE, [str(spec), str(part)], log=f"d-hollow-{part}")
            self.children.append(SimulatedDispatcherHost(child))
        for one in self.children:
            await one.listen()
            assert one.listening is not None
            self.tasks.append(one.listening)

    def _place(self, number: int, place: ProcessAddress) -> simulated_dispatcher.DispatcherAddress:
        return simulated_dispatcher.DispatcherAddress(
            number, place.name, place.host, str(self.folder / f"{place.name}.json")
        )

    def _program(
        self, place: ProcessAddress, config: dict[str, Any], store: dict[str, Any] | None
    ) -> DispatcherProgram:
        number = len(self.programs)
        child = self.children[number % self.shape.hollow]
        # To the rig it is a process like others: it is started, ended and killed in the same way.
        return cast(DispatcherProgram, SimulatedDispatcherProgram(child, self._place(number, place), config))

    async def _listed(self) -> int:
        told = await asyncio.gather(*(one.counts() for one in self.children))
        return sum(one["listed"] for one in told)

    def _on_run_start(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        for one in self.children:
            one.child.send({"begin": True})
        super()._on_run_start(epoch, workers, discovery)

    async def used(self) -> Used:
        told = await asyncio.gather(*(one.counts() for one in self.children))
        late = max(one["late"] for one in told)
        if late > MAX_LATENESS >= self.hollow_late:
            self.hollow_late_at = self.rig.timeline.now()
        self.hollow_late = max(self.hollow_late, late)
        inside: dict[str, int] = {}
        for one in told:
            for key, value in one["inside"].items():
                inside[key] = inside.get(key, 0) + value
        return Used(
            sum(one["cpu_ns"] for one in told),
            sum(one["resident"] for one in told),
            max(one["descriptors"] for one in told),
            sum(one["serving"] for one in told),
            inside,
        )

    def void_reason(self) -> str:
        if self.hollow_late > MAX_LATENESS:
            late = format_duration(self.hollow_late)
            first = f"first by {self.hollow_late_at / SECOND:.0f} s"
            return f"hollow dispatchers held each other up: their loop was late by {late} ({first})"
        return super().void_reason()


class Alone(DispatcherProgram):
    """The program in a process of its own, with nothing of the rig's in it but an address to send from."""

    def command(self) -> list[str]:
        return [sys.executable, "-m", f"{MODULE}.single_dispatcher", self.host, self.module]


class RealScaleFleet(ScaleFleet):
    """Each dispatcher a process, as it is in use: what hollow ones are compared with."""

    def _dispatchers_want(self) -> ResourceDemand:
        return ResourceDemand(
            "dispatchers",
            self.experiment.dispatchers.count,
            PROCESS_MEMORY,
            self.experiment.dispatchers.max_sockets,
        )

    def _program(
        self, place: ProcessAddress, config: dict[str, Any], store: dict[str, Any] | None
    ) -> DispatcherProgram:
        return Alone(self.rig, place, config, store)

    async def used(self) -> Used:
        cpu = resident = most = serving = 0
        for program in self.programs:
            if program.process is None or not program.is_running():
                continue
            proc = Path(f"/proc/{program.process.pid}")
            cpu += sum(int(path.read_text().split()[0]) for path in proc.glob("task/*/schedstat"))
            resident += int((proc / "statm").read_text().split()[1]) * 4096
            most = max(most, sum(1 for _ in (proc / "fd").iterdir()))
            serving += 1
        return Used(cpu, resident, most, serving, {})


def kind_of(told: dict[str, Any]) -> str:
    """Which stand-in has told that: each has a word that only it says."""
    return "workers" if "workers" in told else "clients" if "sent" in told else "discovery"


def cores_for(e: Experiment) -> tuple[float, float, float]:
    """Cores that a run wants, with the tasks running and the starts a second at its peak."""
    starts = max(max(t.rate, t.end_rate or 0.0) * (1 + t.wave_amplitude) for t in e.traffic)
    whole = sum(g.share for g in e.request_classes)
    running = starts * sum(g.share / whole * g.work.mean / SECOND for g in e.request_classes)
    reports = SECOND / e.worker_rules.progress_interval
    needed = running * reports * CORES_A_TASK + starts * CORES_A_START
    return needed + e.dispatchers.count * CORES_A_DISPATCHER, running, starts


def total_memory() -> int:
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("MemTotal:"):
            return int(line.split()[1]) * 1024
    return free_memory()
