"""A dispatcher of a run: the real program with its configuration, started as users start it."""

import asyncio
from collections.abc import Mapping, Sequence

import msgspec

from ..processes.addresses import ProcessAddress
from ..processes.rig import Rig
from ..processes.running_process import RunningProcess

CLIENT_PORT = "clients"
READY_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: testbed\r\nConnection: close\r\n\r\n"


class DispatcherProgram(RunningProcess):
    """One dispatcher process; it is ready once its readiness endpoint answers 200."""

    def __init__(
        self,
        rig: Rig,
        address: ProcessAddress,
        config: Mapping[str, object],
        store: Mapping[str, object] | None = None,
    ) -> None:
        """Write its configuration files into the rig's folder; with `store` it is a replica of a store."""
        config_path = rig.folder / f"{address.name}.json"
        config_path.write_bytes(msgspec.json.encode(config))
        arguments = []
        if store is not None:
            store_path = rig.folder / f"{address.name}.store.json"
            store_path.write_bytes(msgspec.json.encode(store))
            arguments = ["serve", str(config_path), "--store", str(store_path)]
        super().__init__(address, rig.folder, "ploverspoke", arguments, {"RELAY_CONFIG": str(config_path)})
        self.client_address = (address.host, address.ports[CLIENT_PORT])
        self.ready = self._is_ready

    async def start(self, extra_arguments: Sequence[str] = ()) -> None:
        """Start the process; a replica gets `--new`, which creates its store, only at its first start."""
        is_new_replica = bool(self.arguments) and not self.starts
        await super().start(["--new"] if is_new_replica else extra_arguments)

    async def _is_ready(self) -> bool:
        reader, writer = await asyncio.open_connection(*self.client_address)
        writer.write(READY_REQUEST)
        status_line = await reader.readline()
        writer.close()
        return b" 200 " in status_line
