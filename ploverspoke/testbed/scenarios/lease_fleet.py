"""The processes of a lease scenario: lease servers, lease candidates and the resource that leases protect."""

import asyncio
from typing import Any

import msgspec

from ..checkers.lease_checker import EFFECT, RecordedEffect
from ..experiment_files.durations import MILLISECOND, SECOND
from ..fakes.lease_candidate import LeaseCandidateSpec
from ..processes.addresses import ProcessAddress
from ..processes.child_process import ChildProcess
from ..processes.history import read_history
from ..processes.readiness import accepts_connections
from ..processes.rig import Rig
from ..processes.running_process import RunningProcess
from .lease_experiment import LeaseScenario
from .replica_files import proxied_replicas, write_secret

HOLDER_KILLED = "holder killed"  # event of the history
FAKES_MODULE = "ploverspoke.testbed.fakes"
SNAPSHOT_INTERVAL = 200  # log entries
MAX_DURATION_FACTOR = 3  # longest lease that servers grant, as a multiple of the scenario's lease duration
EFFECTS_PER_DURATION = 5  # the longest effect takes the lease's duration divided by this
CLOCK_RATES = (0.95, 1.0, 1.05)  # assigned to the candidates in turn
DOWNTIME_SHARE = 0.25  # share of the interval between kills for which a killed holder stays down


class LeaseFleet:
    """The processes of one run on a rig."""

    def __init__(self, rig: Rig, scenario: LeaseScenario) -> None:
        """Prepare a fleet; nothing is started before `start`."""
        self.rig, self.scenario = rig, scenario
        self.servers: list[ProcessAddress] = []
        self.candidates: list[RunningProcess] = []
        self.resource: ChildProcess | None = None
        self.servers_file = rig.folder / "keepers.json"  # names the lease servers to clients
        self.resource_history = rig.folder / "resource.history"

    async def start(self) -> None:
        """Start all processes.

        Raises:
            CapacityError, ProcessStartError: see `Rig`.
        """
        write_secret(self.rig.folder)
        self._add_servers()
        resource_address = self.rig.allocate_address("r", ["act"])
        for number in range(self.scenario.candidates):
            self._add_candidate(number, resource_address)
        await self.rig.open_proxy()
        await self._start_resource(resource_address)
        await self.rig.start_processes([server.name for server in self.servers], ["--new"])
        await self.rig.start_processes([candidate.name for candidate in self.candidates])

    def _add_servers(self) -> None:
        self.servers = [
            self.rig.allocate_address(f"k{n}", ["peers", "clients"]) for n in range(self.scenario.servers)
        ]
        shared_config = self._server_config()
        self.servers_file.write_bytes(msgspec.json.encode(shared_config))
        for address in self.servers:
            path = self.rig.folder / f"{address.name}.json"
            config = {**shared_config, "name": address.name, "folder": address.name}
            path.write_bytes(msgspec.json.encode(config))
            server = self.rig.add_process(address, "ploverspoke", ["lease-server", str(path)])
            server.ready = accepts_connections(address.host, address.ports["clients"])

    def _server_config(self) -> dict[str, Any]:
        """Return the configuration that all lease servers share."""
        max_duration_ms = self.scenario.lease_duration * MAX_DURATION_FACTOR // MILLISECOND
        return {
            "cluster": "testbed",
            "secret_file": "secret",
            "replicas": proxied_replicas(self.servers),
            "election_ms": self.scenario.election_timeout // MILLISECOND,
            "snapshot_every": SNAPSHOT_INTERVAL,
            "leases": {
                name: {"places": holders, "longest_ms": max_duration_ms}
                for name, holders in self.scenario.holders_by_lease().items()
            },
        }

    def _add_candidate(self, number: int, resource: ProcessAddress) -> None:
        scenario, folder = self.scenario, self.rig.folder
        address = self.rig.allocate_address(f"c{number}")
        spec = LeaseCandidateSpec(
            name=address.name,
            seed=self.rig.seed,
            servers_file=str(self.servers_file),
            resource=resource.proxied_endpoint("act"),
            history=str(folder / f"{address.name}.acts.history"),
            leases=scenario.leases_wanted_by(number),
            duration=int(scenario.lease_duration),
            max_effect_duration=scenario.lease_duration // EFFECTS_PER_DURATION,
            effect_pause=scenario.effect_pause / SECOND,
            hold_share=scenario.hold_share,
            overestimates_duration=scenario.overestimates_duration,
        )
        path = folder / f"{address.name}.spec.json"
        path.write_bytes(msgspec.json.encode(spec))
        candidate = self.rig.add_process(address, f"{FAKES_MODULE}.lease_candidate", [str(path)])
        if scenario.has_drifting_clocks:
            candidate.clock_rate = CLOCK_RATES[number % len(CLOCK_RATES)]
        self.candidates.append(candidate)

    async def _start_resource(self, address: ProcessAddress) -> None:
        # Only leases with a single holder are fenced: with several holders, a lower token may be valid.
        fenced = [
            name
            for name, holders in self.scenario.holders_by_lease().items()
            if holders == 1 and self.scenario.checks_tokens
        ]
        arguments = [address.host, str(address.ports["act"]), str(self.resource_history), *fenced]
        self.resource = await self.rig.start_child(f"{FAKES_MODULE}.protected_resource", arguments)
        await self.resource.receive()

    async def kill_holders(self) -> None:
        """Repeatedly kill the holder of the first lease and start it again a while later."""
        name = next(iter(self.scenario.leases))
        interval = self.scenario.holder_kill_interval / SECOND
        while True:
            await asyncio.sleep(interval)
            holder = self._last_holder(name)
            if holder is not None and holder.is_running():
                self.rig.history.add(HOLDER_KILLED, [holder.name, name])
                await holder.kill()
                await asyncio.sleep(interval * DOWNTIME_SHARE)
                await holder.start()

    def _last_holder(self, name: str) -> RunningProcess | None:
        """Return the candidate with the latest effect under that lease."""
        effects = [
            RecordedEffect(*event.detail)
            for event in read_history(self.resource_history)
            if event.kind == EFFECT
        ]
        candidate_hosts = [effect.candidate for effect in effects if effect.name == name]
        if not candidate_hosts:
            return None
        return next(candidate for candidate in self.candidates if candidate.host == candidate_hosts[-1])
