"""A fleet in which one load has a value, and what its dispatchers used over a settled interval.

A dispatcher that is measured alone is the program as users start it, with nothing between it and the kernel:
the rig's launcher would cost it time at each look at the clock. Fleets of several dispatchers need the
launcher, by which each has an address of its own; they are read for messages and bytes.
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

from ...experiment_files.durations import MILLISECOND, SECOND
from ...experiment_files.experiment import Experiment
from ...processes.addresses import ProcessAddress
from ...processes.capacity_check import memory_backed_folder
from ...processes.child_process import ChildProcess
from ...processes.link_faults import LinkCounters
from ...processes.resource_usage import ResourceUsage, read_resource_usage
from ...processes.running_process import ProcessStartError, RunningProcess
from ...scenarios.dispatcher_program import DispatcherProgram
from ...scenarios.socket_fleet import SocketFleet
from .fake_reports import FAKES, TRAFFIC, FakeReports, increase_rate
from .measurement import FOLDER_PREFIX
from .replica_usage import core_share, memory_growth

SAMPLE_INTERVAL = 500 * MILLISECOND
REPORT_DELAY = 400 * MILLISECOND  # after the end of the interval, until the fakes have reported it
LOOPBACK = "127.0.0.1"  # the kernel's own choice of a sender's address
MAX_UNSUCCESSFUL = 0.02  # share of the answers; with more the fleet did not carry its load
MIN_ANSWERS = 50  # that the share is taken of
SETTINGS_APPLIED = "new configuration: settings applied"  # in a dispatcher's log

Action = Callable[["MeasurementFleet"], Awaitable[None] | None]


class Reading(NamedTuple):
    """What one fleet has shown. Rates are a second and a dispatcher."""

    load_amounts: dict[str, float]  # as they were in the interval, where they can be counted
    metrics: dict[str, float]
    void: str  # why the run proves nothing; empty where it does


class PlainDispatcher(DispatcherProgram):
    """The program without the rig's launcher: it sends from the kernel's own choice of address."""

    def command(self) -> list[str]:
        """Return the command line without its arguments."""
        return [sys.executable, "-m", self.module]

    def watch(self, watch_file: Path) -> None:
        """Start it with versions of the configuration from the servers that this file names."""
        self.arguments = ["serve", self.environment["RELAY_CONFIG"], "--watch", str(watch_file)]

    async def start(self, more: Sequence[str] = ()) -> None:
        """Start it without a store."""
        await RunningProcess.start(self, more)


class MeasurementFleet(SocketFleet):
    """A fleet on sockets that is measured while it runs."""

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        folder: Path,
        interval: tuple[int, int],
        actions: Sequence[tuple[int, Action]] = (),
        watch: Path | None = None,
    ) -> None:
        """`interval` and the times of `actions` are ns from the start of the run."""
        self.reports = FakeReports()
        super().__init__(experiment, seed, folder, self.reports.add)
        self.reports_traffic = True
        self.settled, self.ends = interval
        self.configs: list[dict[str, Any]] = []  # of the dispatchers
        self.expected_reloads = 0
        self.samples: list[list[tuple[int, ResourceUsage]]] = []  # by dispatcher
        self._watch = watch
        self._actions = sorted(actions, key=lambda action: action[0])
        self._is_alone = experiment.dispatchers.count == 1
        self._proxied: list[tuple[int, LinkCounters]] = []  # the proxy's counters, with the time of each

    # ---- In place of the base's own ----

    def _hosts(self, addresses: list[ProcessAddress]) -> list[str]:
        return [LOOPBACK] if self._is_alone else super()._hosts(addresses)

    def _program(
        self, address: ProcessAddress, config: dict[str, Any], store: dict[str, Any] | None
    ) -> DispatcherProgram:
        self.configs.append(config)
        if not self._is_alone:
            return DispatcherProgram(self.rig, address, config, store)
        program = PlainDispatcher(self.rig, address, config, store)
        if self._watch is not None:
            program.watch(self._watch)
        return program

    def _on_run_start(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        for task in (self._read_reports(discovery, discovery), self._sample(epoch), self._act(epoch)):
            self.tasks.append(asyncio.create_task(task))

    def _end(self) -> int:
        return self.experiment.duration + REPORT_DELAY

    # ---- While it runs ----

    async def _sample(self, epoch: int) -> None:
        self.samples = [[] for _ in self.programs]
        at = self.settled
        try:
            while at <= self.ends:
                await asyncio.sleep(max(0, epoch + at - time.monotonic_ns()) / SECOND)
                self._sample_dispatchers(epoch)
                is_edge = at == self.settled or at + SAMPLE_INTERVAL > self.ends
                if is_edge and self.rig.link_faults.is_open():
                    await self.rig.link_faults.read_counters()
                    counters = self.rig.link_faults.counters.links
                    self._proxied.append((time.monotonic_ns() - epoch, counters))
                at += SAMPLE_INTERVAL
        except OSError as error:
            self.rig.errors.append(f"a dispatcher could not be looked at: {error}")

    def _sample_dispatchers(self, epoch: int) -> None:
        for samples, program in zip(self.samples, self.programs, strict=True):
            if program.process is not None and program.is_running():
                samples.append((time.monotonic_ns() - epoch, read_resource_usage(program.process.pid)))

    async def _act(self, epoch: int) -> None:
        for at, action in self._actions:
            await asyncio.sleep(max(0, epoch + at - time.monotonic_ns()) / SECOND)
            try:
                pending = action(self)
                if pending is not None:
                    await pending
            except (OSError, ProcessStartError, FrameError) as error:
                self.rig.errors.append(f"what was to be done could not be: {error}")

    # ---- What it comes to ----

    def read(self) -> Reading:
        """Return what was measured; a fleet that cannot be read is void."""
        void = self.void_reason() or self._too_little_seen()
        if void:
            return Reading({}, {}, void)
        reloads = sum(program.log_path.read_text().count(SETTINGS_APPLIED) for program in self.programs)
        if reloads != self.expected_reloads:
            return Reading({}, {}, f"{self.expected_reloads} reloads were asked for, {reloads} were taken")
        return Reading(self._observed_amounts(), self._usage() | self._traffic(), self._load_not_carried())

    def _too_little_seen(self) -> str:
        interval = self.settled, self.ends
        has_reports = all(len(self.reports.between(fake, *interval)) >= 2 for fake in FAKES)
        has_samples = all(len(samples) >= 2 for samples in self.samples)
        return "" if has_reports and has_samples else "too little was seen of the stretch"

    def _usage(self) -> dict[str, float]:
        """Return CPU and memory, the means over the dispatchers."""
        return {
            "core_share": float(np.mean([core_share(samples) for samples in self.samples])),
            "memory_bytes": float(np.mean([samples[-1][1].memory for samples in self.samples])),
            "memory_growth_bytes": float(np.mean([memory_growth(samples) for samples in self.samples])),
        }

    def _traffic(self) -> dict[str, float]:
        """Return all that a dispatcher sends and receives, and its bytes by the other side."""
        count = len(self.programs)
        metrics: dict[str, float] = {}
        totals = dict.fromkeys(TRAFFIC, 0.0)
        for fake in FAKES:
            for key, rate in self.reports.rates(fake, TRAFFIC, self.settled, self.ends).items():
                totals[key] += rate / count
                if key.startswith("bytes"):
                    metrics[f"{key}_{fake}"] = rate / count
        between_peers = self._peer_traffic(count)
        for key, rate in totals.items():
            metrics[key] = rate + between_peers.get(f"peer_{key}", 0.0)
        return metrics | between_peers

    def _peer_traffic(self, count: int) -> dict[str, float]:
        """Return what passed between dispatchers; the proxy loses no datagrams here."""
        if len(self._proxied) < 2:
            return {}
        (begin, first), (end, last) = self._proxied[0], self._proxied[-1]
        seconds = (end - begin) / SECOND * count
        bytes_passed = (last.bytes_passed - first.bytes_passed) / seconds
        datagrams = (last.passed - first.passed) / seconds
        return {
            "peer_bytes_in": bytes_passed,
            "peer_bytes_out": bytes_passed,
            "peer_messages_in": datagrams,
            "peer_messages_out": datagrams,
        }

    def _observed_amounts(self) -> dict[str, float]:
        interval = self.settled, self.ends
        count = len(self.programs)
        running = [report["running"] for report in self.reports.between("workers", *interval)]
        sent = self.reports.between("clients", *interval)
        versions = self.reports.between("discovery", *interval)
        return {
            "tasks_running": float(np.mean(running)) / count,
            "starts_a_second": increase_rate(sent, "sent") / count,
            "list_changes_a_second": increase_rate(versions, "version"),
        }

    def _load_not_carried(self) -> str:
        answers: dict[str, int] = self.reports.latest("clients")["answers"]
        unsuccessful = sum(count for outcome, count in answers.items() if outcome != "satisfied")
        if unsuccessful > MAX_UNSUCCESSFUL * max(MIN_ANSWERS, sum(answers.values())):
            return f"the load was not carried: {answers}"
        return ""


async def run_fleet(
    experiment: Experiment,
    seed: int,
    settled: int,
    actions: Sequence[tuple[int, Action]] = (),
    ends: int = 0,
    watch: Path | None = None,
) -> tuple[MeasurementFleet, Reading]:
    """Run one fleet in real time; one that does not start is void.

    The interval begins at `settled` and ends at `ends`, ns from the start; 0: with the experiment. Raises
    CapacityError where the fleet does not fit on the machine.
    """
    interval = settled, ends or experiment.duration
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX, dir=memory_backed_folder()) as folder:
        fleet = MeasurementFleet(experiment, seed, Path(folder), interval, actions, watch)
        try:
            await fleet.run()
        except (ProcessStartError, TimeoutError) as error:
            fleet.rig.errors.append(str(error) or "a fake was not ready in time")
        finally:
            await fleet.close()
        return fleet, fleet.read()


def replace_config(program: DispatcherProgram, config: dict[str, Any]) -> None:
    """Replace a dispatcher's configuration file, which is whole at any moment."""
    path = Path(program.environment["RELAY_CONFIG"])
    fresh = path.with_suffix(".new")
    fresh.write_bytes(msgspec.json.encode(config))
    fresh.replace(path)
