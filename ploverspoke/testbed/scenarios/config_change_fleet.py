"""Fleets of the scale tests with many changes of configuration, by signals or from config servers."""

import asyncio
import time
from pathlib import Path
from typing import Any

import msgspec

from ..experiment_files.durations import SECOND
from ..experiment_files.experiment import Experiment
from ..models.deployment_settings import dispatcher_settings
from ..processes.addresses import ProcessAddress
from ..processes.child_process import ChildProcess
from ..processes.readiness import accepts_connections
from ..processes.running_process import ProcessStartError, RunningProcess
from ..scale.config_poller import ChangeApplied, ConfigChange, PollTargets
from ..scale.host_messages import DispatcherAddress
from ..scale.scenario_file import ScaleScenario
from ..scale.simulated_programs import MODULE, SimulatedDispatcherProgram
from .replica_files import SECRET, write_secret
from .scale_fleet import SimulatedScaleFleet
from .scale_resources import ProcessCounts

ADDED_CLASS = "change"  # prefix of the request classes that changes add: change-1, change-2, ...
CLUSTER = "testbed"
PUBLISH_TIMEOUT = 10.0  # seconds until a leader must have accepted a version


class ConfigChangeFleet(SimulatedScaleFleet):
    """Each change adds a request class; every dispatcher gets a new file and a signal."""

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        folder: Path,
        counts: ProcessCounts,
        scenario: ScaleScenario,
    ) -> None:
        """Prepare a fleet; `scenario` states the number of changes."""
        super().__init__(experiment, seed, folder, counts)
        self.scenario = scenario
        self.delays: list[list[int]] = []  # for each change, ns until each dispatcher has applied it
        self.bytes_delivered = 0  # of all changes, to all dispatchers
        self._poller: ChildProcess | None = None

    async def _before_dispatchers(self, addresses: list[ProcessAddress]) -> None:
        await super()._before_dispatchers(addresses)
        self._poller = await self.rig.start_child(f"{MODULE}.config_poller", [])
        self._poller.send(PollTargets([address.endpoint("clients") for address in addresses]))

    def _on_run_start(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        super()._on_run_start(epoch, workers, discovery)
        self.tasks.append(asyncio.create_task(self._read_delays()))
        self.tasks.append(asyncio.create_task(self._make_changes(epoch)))

    async def _read_delays(self) -> None:
        assert self._poller is not None
        while (applied := await self._poller.receive_as(ChangeApplied)) is not None:
            self.delays.append(applied.delays)

    async def _make_changes(self, epoch: int) -> None:
        """Make the changes at regular intervals over the measured time."""
        assert self._poller is not None
        measured_from = epoch + self.experiment.measured_from
        interval = self.scenario.duration // (self.scenario.changes + 1)
        try:
            for number in range(1, self.scenario.changes + 1):
                due = measured_from + number * interval
                await asyncio.sleep(max(0, due - time.monotonic_ns()) / SECOND)
                self._poller.send(ConfigChange(number, f"{ADDED_CLASS}-{number}"))
                await self.deliver(number)
        except (OSError, RuntimeError) as error:
            self.rig.errors.append(f"a change could not be made: {error}")

    def settings_after(self, changes: int, dispatcher: int) -> dict[str, Any]:
        """Return the settings of a dispatcher after that number of changes."""
        classes = self.experiment.request_classes
        added = [
            msgspec.structs.replace(classes[-1], name=f"{ADDED_CLASS}-{number}", weight=1.0 + number / 100)
            for number in range(1, changes + 1)
        ]
        changed = msgspec.structs.replace(self.experiment, request_classes=[*classes, *added])
        return dispatcher_settings(changed, dispatcher)

    async def deliver(self, number: int) -> None:
        """Write a file for each dispatcher and signal it."""
        for dispatcher, program in enumerate(self.programs):
            assert isinstance(program, SimulatedDispatcherProgram)
            program.config = {**program.config, "settings": self.settings_after(number, dispatcher)}
            program.write_config()
            self.bytes_delivered += Path(program.address.config).stat().st_size
            program.reload_config()
            await asyncio.sleep(0)


class WatchedConfigFleet(ConfigChangeFleet):
    """Each change is a version at real config servers, which all dispatchers watch.

    The proxy is between watchers and servers, and counts the bytes in both directions.
    """

    def __init__(
        self,
        experiment: Experiment,
        seed: int,
        folder: Path,
        counts: ProcessCounts,
        scenario: ScaleScenario,
    ) -> None:
        """Prepare a fleet; `scenario` states the numbers of config servers and changes."""
        super().__init__(experiment, seed, folder, counts, scenario)
        self.server_addresses = [
            self.rig.allocate_address(f"c{number}", ["clients"], [], direct=["peers"])
            for number in range(scenario.config_servers)
        ]
        self.servers: list[RunningProcess] = []

    async def _before_dispatchers(self, addresses: list[ProcessAddress]) -> None:
        write_secret(self.folder)
        self.servers = [self._make_server(address) for address in self.server_addresses]
        await asyncio.gather(*(server.start(["--new"]) for server in self.servers))
        await super()._before_dispatchers(addresses)

    def _make_server(self, address: ProcessAddress) -> RunningProcess:
        path = self.folder / f"{address.name}.config.json"
        config = {
            "cluster": CLUSTER,
            "name": address.name,
            "folder": address.name,
            "secret_file": "secret",
            "replicas": {
                server.name: {"peers": server.endpoint("peers"), "clients": server.endpoint("clients")}
                for server in self.server_addresses
            },
        }
        path.write_bytes(msgspec.json.encode(config))
        process = RunningProcess(address, self.folder, "ploverspoke", ["config", "serve", str(path)])
        process.ready = accepts_connections(address.host, address.ports["clients"])
        return process

    def _dispatcher_address(self, number: int, address: ProcessAddress) -> DispatcherAddress:
        servers = [server.proxied_endpoint("clients") for server in self.server_addresses]
        watch_path = self.folder / f"{address.name}.watch.json"
        document = {
            "cluster": CLUSTER,
            "servers": servers,
            "near": [servers[number % len(servers)]],
            "secret_file": "secret",
            "cache": f"{address.name}.cache",
        }
        watch_path.write_bytes(msgspec.json.encode(document))
        return super()._dispatcher_address(number, address)._replace(watch=str(watch_path))

    async def _make_changes(self, epoch: int) -> None:
        bytes_before = await self._proxied_bytes_at(epoch + self.experiment.measured_from)
        await super()._make_changes(epoch)
        bytes_after = await self._proxied_bytes_at(epoch + self.experiment.duration)
        self.bytes_delivered = bytes_after - bytes_before

    async def _proxied_bytes_at(self, due: int) -> int:
        """Wait until `due`, ns of the monotonic clock, and return the bytes that the proxy has passed."""
        await asyncio.sleep(max(0, due - time.monotonic_ns()) / SECOND)
        await self.rig.link_faults.read_counters()
        return self.rig.link_faults.counters.links.bytes_passed

    async def deliver(self, number: int) -> None:
        """Publish one version in the same way as an operator's tool."""
        from ploverspoke.config_distribution.admin_client import publish
        from ploverspoke.config_distribution.cluster_config import ConfigServers
        from ploverspoke.config_distribution.errors import NoServerAvailableError

        settings = self.settings_after(number, 0)
        body = {"settings": {key: settings[key] for key in ("ServiceGrades", "Domain")}}
        text = msgspec.json.encode(body).decode()
        endpoints = {address.name: address.endpoint("peers") for address in self.server_addresses}
        servers = ConfigServers(endpoints, SECRET.encode())
        try:
            reply = await asyncio.to_thread(publish, servers, text, None, CLUSTER, PUBLISH_TIMEOUT)
        except NoServerAvailableError as error:
            raise ProcessStartError(problem=f"no config server leads: {error}") from error
        if not reply.accepted:
            raise ProcessStartError(problem=f"version {number} is not published: {reply.reason}")

    async def close(self) -> None:
        """Kill the config servers, then end all other processes and tasks."""
        await asyncio.gather(*(server.kill() for server in self.servers))
        for server in self.servers:
            server.close()
        await super().close()
