"""Config servers on a separate rig, for measurements."""

import asyncio
import contextlib
import json
import time
from pathlib import Path
from typing import Any

import msgspec

from ploverspoke.config_distribution.admin_client import publish
from ploverspoke.config_distribution.cluster_config import ConfigServers
from ploverspoke.config_distribution.errors import NoServerAvailableError
from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import call_replica

from ...experiment_files.reader import parse_experiment
from ...models.deployment_settings import dispatcher_settings
from ...processes.addresses import ProcessAddress
from ...processes.readiness import accepts_connections
from ...processes.rig import Rig
from ...processes.running_process import ProcessStartError
from ...scenarios.replica_files import SECRET, proxied_replicas, write_secret
from .dispatcher import dispatcher_experiment, measurement_interval

SERVER_COUNT = 3
CLUSTER = "testbed"
ELECTION_TIMEOUT = 20.0  # seconds
POLL_INTERVAL = 0.1  # seconds
PUBLISH_TIMEOUT = 5.0  # seconds


def make_body(size: int, number: int) -> str:
    """Return a configuration body of about `size` bytes; each number gives another weight.

    Teams are added until the body has its size.
    """
    experiment = parse_experiment(dispatcher_experiment(measurement_interval(quick=True)))
    classes = dispatcher_settings(experiment, 0)["ServiceGrades"]
    classes[0]["Benefit"] = 1.0 + (number + 1) / 1000
    teams: list[dict[str, Any]] = []
    length = len(_encode_body(classes, teams))
    while length < size:
        teams.append({"Name": f"team-{len(teams)}", "Portion": 1.0})
        length += len(json.dumps(teams[-1])) + len(", ")
    return _encode_body(classes, teams)


def _encode_body(classes: list[dict[str, Any]], teams: list[dict[str, Any]]) -> str:
    return json.dumps({"settings": {"ServiceGrades": classes, "Tenants": teams}})


class ConfigServerFleet:
    """Config servers behind the proxy of a rig."""

    def __init__(self, rig: Rig) -> None:
        """Create the fleet without starting any server."""
        self.rig = rig
        self.addresses: list[ProcessAddress] = []
        self._published = 0

    async def start(self) -> None:
        """Start the servers with empty folders. Raises ProcessStartError."""
        rig = self.rig
        write_secret(rig.folder)
        self.addresses = [
            rig.allocate_address(f"c{number}", ["peers", "clients"]) for number in range(SERVER_COUNT)
        ]
        replicas = proxied_replicas(self.addresses)
        for address in self.addresses:
            config = {
                "cluster": CLUSTER,
                "secret_file": "secret",
                "replicas": replicas,
                "name": address.name,
                "folder": address.name,
            }
            path = self.config_path(address)
            path.write_bytes(msgspec.json.encode(config))
            server = rig.add_process(address, "ploverspoke", ["config", "serve", str(path)])
            server.ready = accepts_connections(address.host, address.ports["clients"])
        await rig.open_proxy()
        await rig.start_processes(None, ["--new"])

    def config_path(self, address: ProcessAddress) -> Path:
        """Return the path of one server's configuration."""
        return self.rig.folder / f"{address.name}.json"

    async def find_leader(self) -> ProcessAddress:
        """Return the leader's address. Raises ProcessStartError if there is none within ELECTION_TIMEOUT."""
        deadline = time.monotonic() + ELECTION_TIMEOUT
        while time.monotonic() < deadline:
            for address in self.addresses:
                with contextlib.suppress(OSError, FrameError):
                    status = await asyncio.to_thread(
                        call_replica,
                        address.endpoint("peers"),
                        SECRET.encode(),
                        StatusRequest(),
                        StatusRow,
                    )
                    if status.leads:
                        return address
            await asyncio.sleep(POLL_INTERVAL)
        reason = "no config server leads"
        raise ProcessStartError(reason)

    async def publish(self, size: int) -> None:
        """Publish the next version, with a body of about `size` bytes. Raises ProcessStartError."""
        endpoints = {address.name: address.endpoint("peers") for address in self.addresses}
        servers = ConfigServers(endpoints, SECRET.encode())
        body = make_body(size, self._published)
        self._published += 1
        try:
            reply = await asyncio.to_thread(publish, servers, body, None, "slopes", PUBLISH_TIMEOUT)
        except NoServerAvailableError as error:
            reason = f"a version could not be published: {error}"
            raise ProcessStartError(reason) from error
        if not reply.accepted:
            reason = f"a version was not taken: {reply.reason}"
            raise ProcessStartError(reason)

    def write_watch_file(self, address: ProcessAddress) -> Path:
        """Write the watch file of a dispatcher that watches this server, and return its path."""
        path = self.rig.folder / "watch.json"
        document = {
            "cluster": CLUSTER,
            "servers": [address.proxied_endpoint("clients")],
            "secret_file": "secret",
            "cache": "cache.json",
        }
        path.write_bytes(msgspec.json.encode(document))
        return path
