"""The processes of an experiment on sockets: the real program, started as users start it, among fakes.

All processes run on a rig: each dispatcher has its own loopback address, by which the fakes identify it, and
closing the rig ends every process that was started.
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND, format_duration
from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from ..experiment_files.fault_tables import DispatcherReplaced, SettingsChange
from ..fakes.fake_messages import (
    ClientsReady,
    DiscoveryOpened,
    FakeCommand,
    FakeProcessSpec,
    ReportSummary,
    WorkersOpened,
)
from ..models import event_records
from ..models.clients import STORE_ANSWER_GRACE
from ..models.deployment_settings import dispatcher_settings
from ..models.event_records import Event, EventLog
from ..processes.addresses import ProcessAddress
from ..processes.capacity_check import ResourceDemand
from ..processes.child_process import ChildProcess
from ..processes.rig import Rig
from ..processes.running_process import ProcessStartError
from .dispatcher_program import CLIENT_PORT, DispatcherProgram
from .fake_children import FakeChildren
from .outage_steps import outage_steps
from .replica_files import write_secret
from .socket_resources import count_client_processes, fake_resource_demands

START_DELAY = 300 * MILLISECOND  # ns from the start command to the fakes until the start of the run
FIRST_MESSAGE_TIMEOUT = 20.0  # seconds
MAX_LATENESS = 100 * MILLISECOND  # ns, of the load generator and the fakes; if one is later, the run is void
FINAL_CALM = SECOND  # ns after the last deadline until the run ends
STOP_GRACE = 0.7  # seconds that a dispatcher has to stop after the last deadline
SEED_FACTOR = 1_000_003  # so that dispatchers of runs with different seeds have different seeds
FAKES_MODULE = "ploverspoke.testbed.fakes"
VIRTUAL_TIME_ONLY = "replacing and changed settings run on virtual time only"

Message = TypeVar("Message")
ReportListener = Callable[[dict[str, Any]], None]  # called with each report of a fake as it arrives


class SocketFleet:
    """All processes of one run. Subclasses replace the methods below "Extension points"."""

    def __init__(
        self, experiment: Experiment, seed: int, folder: Path, on_report: ReportListener | None
    ) -> None:
        """Reserve a block of addresses; nothing is started before `run`."""
        self.experiment = experiment
        self.seed = seed
        self.folder = folder
        self.on_report = on_report
        self.records = EventLog()
        self.rig = Rig(folder, seed)
        self.rig.timeline.on_process_down, self.rig.timeline.on_process_up = self._on_down, self._on_up
        self.rig.timeline.stop_timeout = self._last_deadline() / SECOND + STOP_GRACE
        self.lag = 0  # ns, the most by which the load generator was late
        self.lateness = 0  # ns, the most by which a fake was late
        self.programs: list[DispatcherProgram] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.reports_traffic = False
        self.worker_processes = 1

    async def run(self) -> None:
        """Start all processes and run the experiment to its end.

        Raises:
            ExperimentError: the experiment has faults that need virtual time.
            CapacityError: the experiment does not fit on the machine.
            ProcessStartError: a process did not become ready.
        """
        if any(isinstance(fault, DispatcherReplaced | SettingsChange) for fault in self.experiment.faults):
            raise ExperimentError(VIRTUAL_TIME_ONLY, location="troubles")
        addresses = self._allocate_addresses()
        self.rig.check_capacity(self._resource_demands())
        await self.rig.open_proxy()
        fakes = await self._start_fakes(addresses)
        discovery_address = await self._connect_fakes(fakes)
        await self._before_dispatchers(addresses)
        self._add_programs(addresses, discovery_address)
        await self.rig.start_processes()
        await self._on_dispatchers_started(fakes.discovery)
        epoch = time.monotonic_ns() + START_DELAY
        endpoints = [address.endpoint(CLIENT_PORT) for address in addresses]
        start_command = FakeCommand(start=epoch, dispatchers=endpoints)
        for child in fakes.all():
            child.send(start_command)
        for child in (*fakes.workers, *fakes.clients):
            self.tasks.append(asyncio.create_task(self._read_reports(child, fakes.discovery)))
        self._on_run_start(epoch, fakes.workers[0], fakes.discovery)
        await self.rig.run_timeline(outage_steps(self.experiment, self.seed), self._end(), epoch)

    def _allocate_addresses(self) -> list[ProcessAddress]:
        dispatchers = self.experiment.dispatchers
        streams, datagrams = ["peers"] * dispatchers.store, ["talk"] * dispatchers.gossip
        return [
            self.rig.allocate_address(f"d{number}", streams, datagrams, direct=[CLIENT_PORT])
            for number in range(dispatchers.count)
        ]

    async def _start_fakes(self, addresses: list[ProcessAddress]) -> FakeChildren:
        block, spec_path = self.rig.block, self.folder / "spec.json"
        spec = FakeProcessSpec(
            experiment=msgspec.to_builtins(self.experiment, enc_hook=int),
            seed=self.seed,
            records=str(self.folder),
            client_processes=self._client_processes(),
            dispatcher_hosts=self._hosts(addresses),
            fake_hosts={"workers": block.fake_host(1), "discovery": block.fake_host(2)},
            worker_processes=self.worker_processes,
            reports_traffic=self.reports_traffic,
        )
        spec_path.write_bytes(msgspec.json.encode(spec))

        async def start(kind: str, count: int) -> list[ChildProcess]:
            """Start the processes of one kind."""
            return [
                await self.rig.start_child(FAKES_MODULE, [kind, str(spec_path), str(number)])
                for number in range(count)
            ]

        workers = await start("workers", spec.worker_processes)
        [discovery] = await start("discovery", 1)
        return FakeChildren(workers, discovery, await start("clients", spec.client_processes))

    async def _connect_fakes(self, fakes: FakeChildren) -> str:
        """Wait until all fakes are ready, tell discovery the workers, and return discovery's address.

        Discovery answers dispatchers from their start, so it must know the workers before they start.
        """
        worker_addresses: dict[str, str] = {}
        for child in fakes.workers:
            opened = await self._first_message(child, WorkersOpened)
            worker_addresses |= opened.addresses
        discovery_address = (await self._first_message(fakes.discovery, DiscoveryOpened)).address
        for child in fakes.clients:
            await self._first_message(child, ClientsReady)
        fakes.discovery.send(FakeCommand(workers=worker_addresses))
        return discovery_address

    async def _first_message(self, child: ChildProcess, message_type: type[Message]) -> Message:
        message = await asyncio.wait_for(child.receive_as(message_type), FIRST_MESSAGE_TIMEOUT)
        if message is None:
            raise ProcessStartError(problem="a fake process ended at its start")
        return message

    def _add_programs(self, addresses: list[ProcessAddress], discovery_address: str) -> None:
        for number, address in enumerate(addresses):
            config = self._config(number, addresses, discovery_address)
            store = self._store(number, addresses) if self.experiment.dispatchers.store else None
            program = self._program(address, config, store)
            self.rig.processes[address.name] = program
            self.programs.append(program)

    # ---- Extension points ----

    def _hosts(self, addresses: list[ProcessAddress]) -> list[str]:
        """Return the hosts from which dispatchers send."""
        return [address.host for address in addresses]

    def _client_processes(self) -> int:
        """Return the number of client processes to start."""
        return count_client_processes(self.experiment)

    def _resource_demands(self) -> list[ResourceDemand]:
        """Return the resources that the fakes need."""
        return fake_resource_demands(self.experiment)

    async def _before_dispatchers(self, addresses: list[ProcessAddress]) -> None:
        """Start the processes that dispatchers need when they start."""

    async def _on_dispatchers_started(self, discovery: ChildProcess) -> None:
        """Called once all dispatchers serve, before the run starts."""

    def _program(
        self, address: ProcessAddress, config: dict[str, Any], store: dict[str, Any] | None
    ) -> DispatcherProgram:
        """Return the process of one dispatcher."""
        return DispatcherProgram(self.rig, address, config, store)

    def _on_run_start(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        """Called once all processes are started; the run begins at `epoch`, ns of the monotonic clock."""

    def _end(self) -> int:
        """Return the time at which the run ends, in ns since its start."""
        end = self.experiment.duration + self._last_deadline() + FINAL_CALM
        return end + (STORE_ANSWER_GRACE if self.experiment.dispatchers.store else 0)

    def _last_deadline(self) -> int:
        return max(request_class.deadline for request_class in self.experiment.request_classes)

    # ---- Configuration of dispatchers ----

    def _config(self, number: int, addresses: Sequence[ProcessAddress], discovery: str) -> dict[str, Any]:
        dispatchers = self.experiment.dispatchers
        config: dict[str, Any] = {
            "name": f"d{number}",
            "listen": addresses[number].endpoint(CLIENT_PORT),
            "discovery": discovery,
            "seed": f"{self.seed * SEED_FACTOR + number:x}",
            "limits": {"sockets": dispatchers.max_sockets, "memory_mb": dispatchers.memory_mb},
            "settings": dispatcher_settings(self.experiment, number),
        }
        if dispatchers.gossip:
            config["peers"] = [address.proxied_endpoint("talk") for address in addresses]
        return config

    def _store(self, number: int, addresses: Sequence[ProcessAddress]) -> dict[str, Any]:
        write_secret(self.folder)
        replicas = {
            f"r{n}": {"peers": address.proxied_endpoint("peers"), "clients": address.endpoint(CLIENT_PORT)}
            for n, address in enumerate(addresses)
        }
        return {
            "cluster": "testbed",
            "name": f"r{number}",
            "folder": addresses[number].name,
            "secret_file": "secret",
            "replicas": replicas,
            "snapshot_every": self.experiment.dispatchers.snapshot_interval,
        }

    # ---- During the run ----

    async def _read_reports(self, child: ChildProcess, discovery: ChildProcess) -> None:
        while (report := await child.receive()) is not None:
            summary = msgspec.convert(report, ReportSummary)
            if summary.fault:
                self.rig.errors.append(summary.fault)
            if summary.overloaded_worker or summary.recovered_worker:
                discovery.send(
                    FakeCommand(
                        overloaded_worker=summary.overloaded_worker, recovered_worker=summary.recovered_worker
                    )
                )
            self.lag = max(self.lag, summary.lag)
            self.lateness = max(self.lateness, summary.lateness)
            if self.on_report is not None:
                self.on_report({"at": self.rig.timeline.now(), "child": id(child), **report})

    def _on_down(self, name: str, step_kind: str) -> None:
        is_restart = step_kind == "restart"
        kind = event_records.DISPATCHER_TERMINATING if is_restart else event_records.DISPATCHER_KILLED
        self._record(kind, name)

    def _on_up(self, name: str) -> None:
        self._record(event_records.DISPATCHER_STARTED, name)

    def _record(self, kind: str, name: str) -> None:
        self.records.add(Event(self.rig.timeline.now(), kind, dispatcher=int(name[1:])))

    async def close(self) -> None:
        """End all processes and tasks that were started, also after a failure."""
        await self.rig.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def void_reason(self) -> str:
        """Return why the run proves nothing; "" if it is valid."""
        if self.lag > MAX_LATENESS:
            return f"the load generator fell behind by {format_duration(self.lag)}"
        if self.lateness > MAX_LATENESS:
            return f"the machine was too slow: a fake was late by {format_duration(self.lateness)}"
        if self.rig.errors:
            return f"{len(self.rig.errors)} errors, the first: {self.rig.errors[0]}"
        return self.rig.void_reason()
