"""The processes of a config distribution run: config servers, their dispatchers, publishers and probers."""

from collections.abc import Mapping, Sequence
from typing import Any

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND
from ..fakes.config_client_messages import (
    Action,
    ConfigClientsCommand,
    ConfigClientsOpened,
    ConfigClientsReply,
    ConfigClientsSpec,
    request_classes_of,
)
from ..processes.addresses import ProcessAddress
from ..processes.child_process import ChildProcess
from ..processes.readiness import accepts_connections
from ..processes.rig import Rig
from ..processes.running_process import ProcessStartError, RunningProcess
from .distribution_experiment import REGIONS, DistributionScenario
from .replica_files import SECRET, proxied_replicas, write_secret

CLIENTS_MODULE = "ploverspoke.testbed.fakes.config_clients"
CLIENT_PORT, ADMIN_PORT = "clients", "admin"  # names of the ports of a dispatcher
OWN_FILE_TAG = 0  # of the request classes in a dispatcher's own file

# By process name: the module, with its first arguments, that runs in place of the program. Tests of the
# checker run faulty variants in this way.
Replacements = Mapping[str, Sequence[str]]


class DistributionFleet:
    """The processes of one run on a rig."""

    def __init__(self, rig: Rig, scenario: DistributionScenario, replacements: Replacements) -> None:
        """Prepare a fleet; nothing is started before `start`."""
        self.rig, self.scenario, self.replacements = rig, scenario, replacements
        self.servers: list[ProcessAddress] = []
        self.dispatchers: list[ProcessAddress] = []
        self.clients: ChildProcess | None = None
        self.clients_lateness = 0  # ns

    async def start(self) -> None:
        """Start all processes.

        Raises:
            CapacityError, ProcessStartError: see `Rig`.
        """
        rig, scenario = self.rig, self.scenario
        roles = {"servers": scenario.server_names(), "dispatchers": scenario.dispatcher_names()}
        rig.history.add("roles", roles)
        write_secret(rig.folder)
        self._add_servers()
        self.dispatchers = [
            rig.allocate_address(name, direct=[CLIENT_PORT, ADMIN_PORT]) for name in roles["dispatchers"]
        ]
        await rig.open_proxy()
        discovery = await self._start_clients()
        for number, address in enumerate(self.dispatchers):
            self._add_dispatcher(number, address, discovery)
        await rig.start_processes([server.name for server in self.servers], ["--new"])
        await rig.start_processes([dispatcher.name for dispatcher in self.dispatchers])

    async def command_clients(self, action: Action) -> None:
        """Send an action to publishers and probers, and wait until it is done.

        Raises:
            ProcessStartError: the process of publishers and probers has ended.
        """
        assert self.clients is not None
        self.clients.send(ConfigClientsCommand(action))
        reply = await self.clients.receive_as(ConfigClientsReply)
        if reply is None:
            raise ProcessStartError(problem=f"publishers and probers ended before {action!r} was done")
        self.clients_lateness = max(self.clients_lateness, reply.lateness)

    def _add_servers(self) -> None:
        rig, scenario = self.rig, self.scenario
        self.servers = [rig.allocate_address(name, ["peers", "clients"]) for name in scenario.server_names()]
        replicas = proxied_replicas(self.servers)
        for address in self.servers:
            config = {
                "cluster": "testbed",
                "name": address.name,
                "folder": address.name,
                "secret_file": "secret",
                "replicas": replicas,
                "election_ms": scenario.election_timeout // MILLISECOND,
                "snapshot_every": scenario.snapshot_interval,
            }
            path = self._write_json(f"{address.name}.json", config)
            server = self._add_process(address, ["config", "serve", path])
            server.ready = accepts_connections(address.host, address.ports["clients"])

    def _add_dispatcher(self, number: int, address: ProcessAddress, discovery: str) -> None:
        own_file = {
            "name": address.name,
            "listen": address.endpoint(CLIENT_PORT),
            "admin_addr": address.endpoint(ADMIN_PORT),
            "discovery": discovery,
            "settings": self._settings(number),
        }
        own_path = self._write_json(f"{address.name}.own.json", own_file)
        watch_path = self._write_json(f"{address.name}.watch.json", self._watch_file(number, address))
        dispatcher = self._add_process(address, ["serve", own_path, "--watch", watch_path])
        dispatcher.ready = accepts_connections(address.host, address.ports[CLIENT_PORT])

    def _watch_file(self, number: int, address: ProcessAddress) -> dict[str, Any]:
        """Return the watch file, which names the config servers."""
        servers = {server.name: server.proxied_endpoint("clients") for server in self.servers}
        preferred = [
            endpoint for name, endpoint in servers.items() if name.startswith(self.scenario.region(number))
        ]
        if self.scenario.prefers_one_server:
            preferred = [list(servers.values())[number % len(servers)]]
        return {
            "cluster": "testbed",
            "servers": list(servers.values()),
            "near": preferred,
            "secret_file": "secret",
            "cache": f"{address.name}/cache.json",
        }

    def _settings(self, number: int) -> dict[str, Any]:
        """Return the settings in the dispatcher's own file."""
        return {
            "Discovery": "push",
            "Localities": list(REGIONS),
            "HostTypes": ["plain"],
            "Zone": number % len(REGIONS),
            "SlotNo": number,
            "PeersTotal": self.scenario.dispatchers,
            "RoundUs": 2000,
            "Limits": {"MaxHandOffs": 2},
            "Invariants": {
                "ColdShare": 0.3,
                "WarmWithinUs": 1_000_000,
                "TipMultiple": 3.0,
                "FallUs": 2_000_000,
            },
            "ServiceGrades": request_classes_of(OWN_FILE_TAG),
        }

    async def _start_clients(self) -> str:
        """Start publishers and probers, and return the address of their discovery."""
        rig, scenario = self.rig, self.scenario
        spec = ConfigClientsSpec(
            seed=rig.seed,
            history=str(rig.folder / "clients.history"),
            secret=SECRET,
            servers={server.name: server.endpoint("peers") for server in self.servers},
            server_names_by_address={
                server.proxied_endpoint("peers"): server.name for server in self.servers
            },
            dispatchers={
                address.name: [address.endpoint(CLIENT_PORT), address.endpoint(ADMIN_PORT)]
                for address in self.dispatchers
            },
            discovery=rig.block.fake_host(0),
            publishers=scenario.publishers,
            publish_interval=int(scenario.publish_interval),
            retry_share=scenario.retry_share,
            probe_interval=int(scenario.probe_interval),
            pause_interval=int(scenario.publish_pause_interval),
            pause=scenario.within + SECOND,
        )
        self.clients = await rig.start_child(CLIENTS_MODULE, [self._write_json("clients.json", spec)])
        opened = await self.clients.receive_as(ConfigClientsOpened)
        if opened is None:
            raise ProcessStartError(problem="publishers and probers ended at their start")
        return opened.discovery

    def _add_process(self, address: ProcessAddress, arguments: list[str]) -> RunningProcess:
        module, *first_arguments = self.replacements.get(address.name, ["ploverspoke"])
        return self.rig.add_process(address, module, [*first_arguments, *arguments])

    def _write_json(self, name: str, content: object) -> str:
        """Write a JSON file into the run's folder, and return its path."""
        path = self.rig.folder / name
        path.write_bytes(msgspec.json.encode(content))
        return str(path)
