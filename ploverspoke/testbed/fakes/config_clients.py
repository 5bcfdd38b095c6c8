"""The process that calls config servers and dispatchers: publishers and probers, with a fake discovery.

`python -m ploverspoke.testbed.fakes.config_clients SPEC`; its messages are in `config_client_messages`. Each
action and its result are written to a history with times of the machine's clock; the events are described in
`distribution_history`.
"""

import asyncio
import sys
from pathlib import Path

import msgspec
import uvloop

from ..experiment_files.durations import MILLISECOND
from ..processes.history import History
from ..processes.lateness import LatenessMeter
from ..processes.pipe_messages import input_lines, send_message
from .config_client_messages import (
    ConfigClientsCommand,
    ConfigClientsOpened,
    ConfigClientsReply,
    ConfigClientsSpec,
)
from .config_probers import ConfigProber
from .config_publishers import ConfigPublishers
from .faulty_discovery import ScriptedDiscovery

DISCOVERY_ADDRESSES = 2  # published bodies name them in turn
MAX_HOLD_S = 2.0  # longest wait of a watch of the endpoint list
LATENESS_CHECK_INTERVAL_NS = 50 * MILLISECOND


class ConfigClients:
    """Publishers, probers and a discovery whose endpoint list is empty."""

    def __init__(self, spec: ConfigClientsSpec) -> None:
        """Create the history and the discovery; nothing listens or is sent yet."""
        self.spec = spec
        self.history = History(Path(spec.history), "clients")
        self.discovery = ScriptedDiscovery([], host=spec.discovery, max_hold=MAX_HOLD_S)
        self.lateness = LatenessMeter(LATENESS_CHECK_INTERVAL_NS)
        self.tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Start the discovery and report its address."""
        addresses = [await self.discovery.address_for(number) for number in range(DISCOVERY_ADDRESSES)]
        self.publishers = ConfigPublishers(self.spec, self.history, addresses)
        send_message(ConfigClientsOpened(addresses[0]))

    async def on_command(self, command: ConfigClientsCommand) -> None:
        """Carry out a command and reply."""
        if command.action == "start":
            self._start()
        elif command.action == "publish last":
            await self.publishers.publish_final_versions()
        else:
            await self.publishers.record_servers()
        send_message(ConfigClientsReply(command.action, self.lateness.max_lateness))

    def _start(self) -> None:
        self.publishers.start()
        probers = [
            ConfigProber(self.spec, self.history, name, lambda: self.publishers.last_tag)
            for name in self.spec.dispatchers
        ]
        self.tasks = [asyncio.create_task(prober.run()) for prober in probers]
        self.tasks.append(asyncio.create_task(self.lateness.run()))


async def main() -> None:
    """Run the config clients, with the spec file on the command line, until the input ends."""
    spec: ConfigClientsSpec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ConfigClientsSpec)
    clients = ConfigClients(spec)
    await clients.open()
    async for line in input_lines():
        await clients.on_command(msgspec.json.decode(line, type=ConfigClientsCommand))


if __name__ == "__main__":
    uvloop.run(main())
