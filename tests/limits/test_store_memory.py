"""A dispatcher with a store stays within its memory limit, whatever its request log has to keep."""

import asyncio
import json
import os
from pathlib import Path

import pytest

from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.limits.crowd_harness import ROOT, CrowdedDispatcher
from tests.polling import until
from tests.routing.harness import run_on_loop

MEMORY_MB = 64
CLIENTS = 100
CROWD_S = 4.0


class DispatcherWithStore(CrowdedDispatcher):
    """A dispatcher that is the only replica of a store."""

    async def start_program(self) -> None:
        """Start the program, and wait until it leads."""
        [peer_port] = reserve_ports(1)
        (self.folder / "secret").write_text("a secret that is long enough")
        addresses = {"peers": f"127.0.0.1:{peer_port}", "clients": f"127.0.0.1:{self.harness.port}"}
        document = {"cluster": "t", "name": "r0", "folder": "r0", "secret_file": "secret"}
        store_path = self.folder / "store.json"
        store_path.write_text(json.dumps({**document, "replicas": {"r0": addresses}}))
        serve = f".venv/bin/python -m ploverspoke serve {self.config_path} --store {store_path} --new"
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("/bin/sh", "-c", f"ulimit -n {self.limits['sockets']}; exec {serve}"),
                cwd=ROOT,
                env={**os.environ, "TMPDIR": str(self.folder)},
                stderr=log,
            )
        await until(lambda: "r0 is the leader" in self.log.read_text(), seconds=30.0)


@pytest.mark.parametrize("kind", ["long_ids", "whole_bodies", "unread_answers"])
def test_request_log_stays_within_the_memory_limit(kind: str, tmp_path: Path) -> None:
    async def run() -> None:
        dispatcher = DispatcherWithStore(tmp_path, MEMORY_MB, descriptors=1024)
        await dispatcher.start()
        try:
            await dispatcher.crowd(kind, CLIENTS, CROWD_S)
            assert dispatcher.process.returncode is None, dispatcher.log.read_text()
            assert dispatcher.resident_mb(peak=True) <= MEMORY_MB
            assert {exchange.status for exchange in dispatcher.exchanges} <= {200, 503}
        finally:
            await dispatcher.stop()

    run_on_loop(run)
