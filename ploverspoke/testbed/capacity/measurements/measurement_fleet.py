"""A fleet with a given load, and the resources that its dispatchers use over a steady interval.

A single dispatcher is measured as users start it, without the rig's launcher, which would cost it time at
each reading of the clock. Fleets of several dispatchers need the launcher, which gives each of them a
separate address; they are measured for messages and bytes.
"""

import asyncio
import contextlib
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import numpy as np

from ploverspoke.consensus.framing import FrameError

from ...experiment_files.durations import MILLISECOND, SECOND
from ...experiment_files.experiment import Experiment
from ...processes.addresses import ProcessAddress
from ...processes.capacity_check import memory_backed_folder
from ...processes.child_process import ChildProcess
from ...processes.link_faults import LinkCounters
from ...processes.resource_usage import ProcessEndedError, ResourceUsage, read_resource_usage
from ...processes.running_process import ProcessStartError, RunningProcess
from ...scenarios.dispatcher_program import DispatcherProgram
from ...scenarios.socket_fleet import SocketFleet
from .fake_reports import FAKES, TRAFFIC, FakeReports, increase_rate
from .measurement import FOLDER_PREFIX
from .replica_usage import core_share, memory_growth

SAMPLE_INTERVAL = 500 * MILLISECOND
REPORT_DELAY = 400 * MILLISECOND  # from the end of the interval until the fakes have reported on it
LOOPBACK = "127.0.0.1"  # the source address that the kernel chooses by default
MAX_UNSUCCESSFUL = 0.02  # share of the answers; with a larger share the fleet did not carry its load
MIN_ANSWERS = 50  # the share is taken of at least this number of answers
SETTINGS_APPLIED = "new configuration: settings applied"  # line in the log of a dispatcher

Action = Callable[["MeasurementFleet"], Awaitable[None] | None]


class Reading(NamedTuple):
    """The measurements of one fleet. Rates are per second and per dispatcher."""

    load_amounts: dict[str, float]  # the observed amounts of the loads that can be counted
    metrics: dict[str, float]
    void: str  # why the run is void; empty if it is valid


class PlainDispatcher(DispatcherProgram):
    """A dispatcher without the rig's launcher; the kernel chooses its source address."""

    def command(self) -> list[str]:
        """Return the command without its arguments."""
        return [sys.executable, "-m", self.module]

    def watch_config_servers(self, watch_file: Path) -> None:
        """Make the dispatcher watch the config servers that the file names."""
        self.arguments = ["serve", self.environment["RELAY_CONFIG"], "--watch", str(watch_file)]

    async def start(self, extra_arguments: Sequence[str] = ()) -> None:
        """Start the dispatcher without a store."""
        await RunningProcess.start(self, extra_arguments)


class MeasurementFleet(SocketFleet):
    """A fleet of real dispatchers on sockets that is measured while it runs."""

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        folder: Path,
        interval: tuple[int, int],
        actions: Sequence[tuple[int, Action]] = (),
        watch_file: Path | None = None,
    ) -> None:
        """`interval` and the times of `actions` are in ns from the start of the run."""
        self.reports = FakeReports()
        super().__init__(experiment, seed, folder, self.reports.add)
        self.reports_traffic = True
        self.interval_start, self.interval_end = interval
        self.dispatcher_configs: list[dict[str, Any]] = []  # by dispatcher
        self.expected_reloads = 0
        self.samples: list[list[tuple[int, ResourceUsage]]] = []  # by dispatcher
        self._watch_file = watch_file
        self._actions = sorted(actions, key=lambda action: action[0])
        self._has_single_dispatcher = experiment.dispatchers.count == 1
        self._proxy_counters: list[tuple[int, LinkCounters]] = []  # with their times in ns

    # ---- Overridden methods of SocketFleet ----

    def _hosts(self, addresses: list[ProcessAddress]) -> list[str]:
        return [LOOPBACK] if self._has_single_dispatcher else super()._hosts(addresses)

    def _program(
        self, address: ProcessAddress, config: dict[str, Any], store: dict[str, Any] | None
    ) -> DispatcherProgram:
        self.dispatcher_configs.append(config)
        if not self._has_single_dispatcher:
            return DispatcherProgram(self.rig, address, config, store)
        program = PlainDispatcher(self.rig, address, config, store)
        if self._watch_file is not None:
            program.watch_config_servers(self._watch_file)
        return program

    def _on_run_start(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        for task in (self._read_reports(discovery, discovery), self._sample(epoch), self._run_actions(epoch)):
            self.tasks.append(asyncio.create_task(task))

    def _end(self) -> int:
        return self.experiment.duration + REPORT_DELAY

    # ---- Samples and actions during the run ----

    async def _sample(self, epoch: int) -> None:
        self.samples = [[] for _ in self.programs]
        at = self.interval_start
        try:
            while at <= self.interval_end:
                await asyncio.sleep(max(0, epoch + at - time.monotonic_ns()) / SECOND)
                self._sample_dispatchers(epoch)
                is_edge = at == self.interval_start or at + SAMPLE_INTERVAL > self.interval_end
                if is_edge and self.rig.link_faults.is_open():
                    await self.rig.link_faults.read_counters()
                    counters = self.rig.link_faults.counters.links
                    self._proxy_counters.append((time.monotonic_ns() - epoch, counters))
                at += SAMPLE_INTERVAL
        except OSError as error:
            self.rig.errors.append(f"a dispatcher could not be looked at: {error}")

    def _sample_dispatchers(self, epoch: int) -> None:
        for samples, program in zip(self.samples, self.programs, strict=True):
            if program.process is not None and program.is_running():
                with contextlib.suppress(ProcessEndedError):
                    usage = read_resource_usage(program.process.pid)
                    samples.append((time.monotonic_ns() - epoch, usage))

    async def _run_actions(self, epoch: int) -> None:
        for at, action in self._actions:
            await asyncio.sleep(max(0, epoch + at - time.monotonic_ns()) / SECOND)
            try:
                pending = action(self)
                if pending is not None:
                    await pending
            except (OSError, ProcessStartError, FrameError) as error:
                self.rig.errors.append(f"what was to be done could not be: {error}")

    # ---- Results ----

    def read(self) -> Reading:
        """Return the measurements; they are void if they are incomplete or the load was not carried."""
        void = self.void_reason() or self._missing_data_reason()
        if void:
            return Reading({}, {}, void)
        reloads = sum(program.log_path.read_text().count(SETTINGS_APPLIED) for program in self.programs)
        if reloads != self.expected_reloads:
            return Reading({}, {}, f"{self.expected_reloads} reloads were asked for, {reloads} were taken")
        return Reading(self._observed_loads(), self._usage() | self._traffic(), self._overload_reason())

    def _missing_data_reason(self) -> str:
        interval = self.interval_start, self.interval_end
        has_reports = all(len(self.reports.in_interval(fake, *interval)) >= 2 for fake in FAKES)
        has_samples = all(len(samples) >= 2 for samples in self.samples)
        return "" if has_reports and has_samples else "too little was seen of the stretch"

    def _usage(self) -> dict[str, float]:
        """Return CPU and memory use, averaged over the dispatchers."""
        return {
            "core_share": float(np.mean([core_share(samples) for samples in self.samples])),
            "memory_bytes": float(np.mean([samples[-1][1].memory_bytes for samples in self.samples])),
            "memory_growth_bytes": float(np.mean([memory_growth(samples) for samples in self.samples])),
        }

    def _traffic(self) -> dict[str, float]:
        """Return the total traffic of a dispatcher, and its bytes for each kind of fake."""
        count = len(self.programs)
        metrics: dict[str, float] = {}
        totals = dict.fromkeys(TRAFFIC, 0.0)
        for fake in FAKES:
            for key, rate in self.reports.rates(
                fake, TRAFFIC, self.interval_start, self.interval_end
            ).items():
                totals[key] += rate / count
                if key.startswith("bytes"):
                    metrics[f"{key}_{fake}"] = rate / count
        between_peers = self._peer_traffic(count)
        for key, rate in totals.items():
            metrics[key] = rate + between_peers.get(f"peer_{key}", 0.0)
        return metrics | between_peers

    def _peer_traffic(self, count: int) -> dict[str, float]:
        """Return the traffic between dispatchers.

        The proxy drops no datagrams here, so as many come in as go out.
        """
        if len(self._proxy_counters) < 2:
            return {}
        (start, first), (end, last) = self._proxy_counters[0], self._proxy_counters[-1]
        seconds = (end - start) / SECOND * count
        bytes_passed = (last.bytes_passed - first.bytes_passed) / seconds
        datagrams = (last.passed - first.passed) / seconds
        return {
            "peer_bytes_in": bytes_passed,
            "peer_bytes_out": bytes_passed,
            "peer_messages_in": datagrams,
            "peer_messages_out": datagrams,
        }

    def _observed_loads(self) -> dict[str, float]:
        interval = self.interval_start, self.interval_end
        count = len(self.programs)
        running = [report["running"] for report in self.reports.in_interval("workers", *interval)]
        client_reports = self.reports.in_interval("clients", *interval)
        discovery_reports = self.reports.in_interval("discovery", *interval)
        return {
            "tasks_running": float(np.mean(running)) / count,
            "starts_a_second": increase_rate(client_reports, "sent") / count,
            "list_changes_a_second": increase_rate(discovery_reports, "version"),
        }

    def _overload_reason(self) -> str:
        answers: dict[str, int] = self.reports.latest("clients")["answers"]
        unsuccessful = sum(count for outcome, count in answers.items() if outcome != "satisfied")
        if unsuccessful > MAX_UNSUCCESSFUL * max(MIN_ANSWERS, sum(answers.values())):
            return f"the load was not carried: {answers}"
        return ""


async def run_fleet(
    experiment: Experiment,
    seed: int,
    interval_start: int,
    actions: Sequence[tuple[int, Action]] = (),
    interval_end: int = 0,
    watch_file: Path | None = None,
) -> tuple[MeasurementFleet, Reading]:
    """Run one fleet in real time; the reading is void if the fleet does not start.

    `interval_start` and `interval_end` are in ns from the start of the run; an `interval_end` of 0 means the
    end of the experiment. Raises CapacityError if the fleet does not fit on the machine.
    """
    interval = interval_start, interval_end or experiment.duration
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX, dir=memory_backed_folder()) as folder:
        fleet = MeasurementFleet(experiment, seed, Path(folder), interval, actions, watch_file)
        try:
            await fleet.run()
        except (ProcessStartError, TimeoutError) as error:
            fleet.rig.errors.append(str(error) or "a fake was not ready in time")
        finally:
            await fleet.close()
        return fleet, fleet.read()


def replace_config(program: DispatcherProgram, config: dict[str, Any]) -> None:
    """Replace the configuration file of a dispatcher atomically."""
    path = Path(program.environment["RELAY_CONFIG"])
    new_path = path.with_suffix(".new")
    new_path.write_bytes(msgspec.json.encode(config))
    new_path.replace(path)
