"""Fleets of the scale tests: many dispatchers, simulated or each in a process, sampled while they run."""

import asyncio
import sys
import time
from itertools import count
from pathlib import Path
from typing import Any, cast

import msgspec

from ..experiment_files.durations import SECOND, format_duration
from ..experiment_files.experiment import Experiment
from ..fakes.fake_messages import AnsweredCount, FakeCommand
from ..models.request_schedule import draw_schedule
from ..processes.addresses import ProcessAddress
from ..processes.capacity_check import ResourceDemand
from ..processes.child_process import ChildProcess
from ..processes.resource_usage import ProcessEndedError, count_descriptors, read_resource_usage
from ..processes.running_process import ProcessStartError
from ..scale.host_messages import DispatcherAddress, DispatcherHostSpec
from ..scale.simulated_programs import MODULE, SimulatedDispatcherHost, SimulatedDispatcherProgram
from ..scale.usage import FleetUsage, UsageSample
from .dispatcher_program import DispatcherProgram
from .scale_resources import (
    PROCESS_MEMORY,
    ProcessCounts,
    check_cores,
    check_memory,
    check_workers_can_be_split,
    host_demand,
    scaled_fake_demands,
    total_memory,
)
from .socket_fleet import MAX_LATENESS, SocketFleet

LIST_TIMEOUT, LIST_POLL_INTERVAL = 30.0, 0.1  # seconds
SAMPLE_INTERVAL = 2 * SECOND
# ns; after so long without an open request no retry is waiting any more, and the run is over.
QUIET_PERIOD = 3 * SECOND
COUNTERS = ("bytes_in", "bytes_out", "messages_in", "messages_out", "progress_bytes", "probes", "connections")

Report = dict[str, Any]  # the decoded JSON report of a fake process


class ScaleFleet(SocketFleet):
    """A fleet that is sampled while it runs, and stops once no client waits for an answer."""

    def __init__(self, experiment: Experiment, seed: int, folder: Path, counts: ProcessCounts) -> None:
        """Draw the schedule of requests; nothing is started before `run`."""
        super().__init__(experiment, seed, folder, self._on_report)
        self.counts = counts
        self.worker_processes = counts.workers
        self.reports_traffic = True
        self.request_count = len(draw_schedule(experiment, seed))
        self.samples: list[UsageSample] = []
        self._latest: dict[int, Report] = {}  # the latest report of each fake process, by `child`
        self._quiet_since = -1  # ns since the start of the run; -1: requests are open
        self._first_late = ""  # the first fake that was too late, and when it reported that

    # ---- Before the run ----

    def _client_processes(self) -> int:
        return self.counts.clients

    def _resource_demands(self) -> list[ResourceDemand]:
        check_workers_can_be_split(self.experiment, self.counts.workers)
        demands = [self._dispatcher_demand(), *scaled_fake_demands(self.experiment, self.counts)]
        check_cores(self.experiment, self.counts.cores)
        check_memory(demands, total_memory())
        return demands

    def _dispatcher_demand(self) -> ResourceDemand:
        """Return the resources that the dispatchers need."""
        raise NotImplementedError

    async def run(self) -> None:
        """Run as the base class does, and take a last sample."""
        await super().run()
        self.samples.append(await self.sample())

    async def _on_dispatchers_started(self, discovery: ChildProcess) -> None:
        """Wait until all dispatchers have the endpoint list.

        Applying it delays them, and during the run so many never do so at the same time.
        """
        expected = self.experiment.dispatchers.count
        async with asyncio.timeout(LIST_TIMEOUT):
            while True:
                discovery.send(FakeCommand(asks_for_answered_count=True))
                answered = (await self._first_message(discovery, AnsweredCount)).dispatchers
                if answered >= expected and await self._count_with_list() >= expected:
                    return
                await asyncio.sleep(LIST_POLL_INTERVAL)

    async def _count_with_list(self) -> int:
        """Return how many dispatchers have the list; all, unless a subclass can observe it."""
        return self.experiment.dispatchers.count

    # ---- During the run ----

    def _on_run_start(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        self.tasks.append(asyncio.create_task(self._read_reports(discovery, discovery)))
        self.tasks.append(asyncio.create_task(self._sample(epoch)))

    def _on_report(self, report: Report) -> None:
        self._latest[report["child"]] = report
        if report.get("late", 0) > MAX_LATENESS and not self._first_late:
            self._first_late = f"{_kind_of_fake(report)} by {report['at'] / SECOND:.1f} s"
        if "sent" in report:
            self._finish_if_quiet(report["at"])

    def _finish_if_quiet(self, now: int) -> None:
        """End the run once all requests were sent and none was open for a while.

        `now` is ns since the start of the run.
        """
        clients = [report for report in self._latest.values() if "sent" in report]
        sent = sum(report["sent"] for report in clients)
        if len(clients) < self.counts.clients or sent < self.request_count:
            return
        if now < self.experiment.duration or any(report["out"] for report in clients):
            self._quiet_since = -1
        elif self._quiet_since < 0:
            self._quiet_since = now
        elif now - self._quiet_since > QUIET_PERIOD:
            self.rig.timeline.end_requested.set()

    async def _sample(self, epoch: int) -> None:
        try:
            for number in count():
                due = epoch + number * SAMPLE_INTERVAL
                await asyncio.sleep(max(0, due - time.monotonic_ns()) / SECOND)
                self.samples.append(await self.sample())
        except (ProcessStartError, OSError) as error:
            self.rig.errors.append(f"what dispatchers use could not be seen: {error}")

    async def sample(self) -> UsageSample:
        """Return the resources that dispatchers use, and the traffic that fakes have counted so far."""
        usage = await self.read_usage()
        traffic: dict[str, dict[str, int]] = {}
        for report in self._latest.values():
            if "traffic" not in report:
                continue
            counters = traffic.setdefault(_kind_of_fake(report), dict.fromkeys(COUNTERS, 0))
            for dispatcher_traffic in report["traffic"]:
                for key in COUNTERS:
                    counters[key] += dispatcher_traffic[key]
        running = sum(report["running"] for report in self._latest.values() if "running" in report)
        return UsageSample(self.rig.timeline.now(), usage, traffic, running)

    async def read_usage(self) -> FleetUsage:
        """Return the resources that all dispatchers use."""
        raise NotImplementedError

    def void_reason(self) -> str:
        """Return why the run proves nothing, with the first late fake; "" if the run is valid."""
        reason = super().void_reason()
        return f"{reason} (first {self._first_late})" if reason and self._first_late else reason


class SimulatedScaleFleet(ScaleFleet):
    """A fleet of many simulated dispatchers in a few host processes."""

    def __init__(self, experiment: Experiment, seed: int, folder: Path, counts: ProcessCounts) -> None:
        """Prepare a fleet that has no host processes yet."""
        super().__init__(experiment, seed, folder, counts)
        self.hosts: list[SimulatedDispatcherHost] = []
        self.loop_lateness = 0  # ns, the most by which a host's event loop was late
        self._first_late_at = 0  # ns since the start of the run, when a loop was first too late

    def _dispatcher_demand(self) -> ResourceDemand:
        return host_demand(self.experiment, self.counts.hosts)

    async def _before_dispatchers(self, addresses: list[ProcessAddress]) -> None:
        await super()._before_dispatchers(addresses)
        addresses_by_host: list[list[DispatcherAddress]] = [[] for _ in range(self.counts.hosts)]
        for number, address in enumerate(addresses):
            addresses_by_host[number % self.counts.hosts].append(self._dispatcher_address(number, address))
        spec = self.folder / "hosts.json"
        spec.write_bytes(msgspec.json.encode(DispatcherHostSpec(addresses_by_host)))
        for number in range(self.counts.hosts):
            child = await self.rig.start_child(MODULE, [str(spec), str(number)], log=f"d-host-{number}")
            self.hosts.append(SimulatedDispatcherHost(child))
        for host in self.hosts:
            await host.listen()
            assert host.listen_task is not None
            self.tasks.append(host.listen_task)

    def _dispatcher_address(self, number: int, address: ProcessAddress) -> DispatcherAddress:
        config = self.folder / f"{address.name}.json"
        return DispatcherAddress(number, address.name, address.host, str(config))

    def _program(
        self, address: ProcessAddress, config: dict[str, Any], store: dict[str, Any] | None
    ) -> DispatcherProgram:
        number = len(self.programs)
        host = self.hosts[number % self.counts.hosts]
        program = SimulatedDispatcherProgram(host, self._dispatcher_address(number, address), config)
        # It has the attributes of a process that the rig uses, and the rig starts, stops and kills it in the
        # same way.
        return cast(DispatcherProgram, program)

    async def _count_with_list(self) -> int:
        counts = await asyncio.gather(*(host.counts() for host in self.hosts))
        return sum(host_counts.listed for host_counts in counts)

    def _on_run_start(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        for host in self.hosts:
            host.begin_run()
        super()._on_run_start(epoch, workers, discovery)

    async def read_usage(self) -> FleetUsage:
        """Return the resources that all host processes use."""
        counts = await asyncio.gather(*(host.counts() for host in self.hosts))
        lateness = max(host_counts.lateness for host_counts in counts)
        if lateness > MAX_LATENESS >= self.loop_lateness:
            self._first_late_at = self.rig.timeline.now()
        self.loop_lateness = max(self.loop_lateness, lateness)
        held_counts: dict[str, int] = {}
        for host_counts in counts:
            for key, value in host_counts.inside.items():
                held_counts[key] = held_counts.get(key, 0) + value
        return FleetUsage(
            cpu_ns=sum(host_counts.cpu_ns for host_counts in counts),
            resident_bytes=sum(host_counts.resident for host_counts in counts),
            descriptors=max(host_counts.descriptors for host_counts in counts),
            serving=sum(host_counts.serving for host_counts in counts),
            held_counts=held_counts,
        )

    def void_reason(self) -> str:
        """Return why the run proves nothing; a delay among the dispatchers of one host is reported first."""
        if self.loop_lateness > MAX_LATENESS:
            lateness = format_duration(self.loop_lateness)
            first = f"first by {self._first_late_at / SECOND:.0f} s"
            return f"simulated dispatchers delayed each other: their loop was late by {lateness} ({first})"
        return super().void_reason()


class SingleDispatcherProgram(DispatcherProgram):
    """The real program in its own process; the rig sets only the address from which it sends."""

    def command(self) -> list[str]:
        """Return the command line without its arguments."""
        return [sys.executable, "-m", f"{MODULE}.single_dispatcher", self.host, self.module]


class RealScaleFleet(ScaleFleet):
    """A fleet with one process for each dispatcher, as in production; the reference for simulated fleets."""

    def _dispatcher_demand(self) -> ResourceDemand:
        dispatchers = self.experiment.dispatchers
        return ResourceDemand("dispatchers", dispatchers.count, PROCESS_MEMORY, dispatchers.max_sockets)

    def _program(
        self, address: ProcessAddress, config: dict[str, Any], store: dict[str, Any] | None
    ) -> DispatcherProgram:
        return SingleDispatcherProgram(self.rig, address, config, store)

    async def read_usage(self) -> FleetUsage:
        """Return the resources that the processes of all dispatchers use."""
        cpu_ns = resident = descriptors = serving = 0
        for program in self.programs:
            if program.process is None or not program.is_running():
                continue
            pid = program.process.pid
            try:
                usage = read_resource_usage(pid)
                open_descriptors = count_descriptors(pid)
            except ProcessEndedError:
                continue
            cpu_ns += usage.cpu_time_ns
            resident += usage.memory_bytes
            descriptors = max(descriptors, open_descriptors)
            serving += 1
        return FleetUsage(cpu_ns, resident, descriptors, serving, {})


def _kind_of_fake(report: Report) -> str:
    """Return the kind of fake that sent a report, by a key that only reports of that kind have."""
    return "workers" if "workers" in report else "clients" if "sent" in report else "discovery"
