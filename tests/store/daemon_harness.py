"""Runs the only replica of a store, with its dispatcher, workers and discovery, in one event loop."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import uvloop

from ploverspoke.consensus.cluster_config import read_replica_config
from ploverspoke.routing.request_recorder import RequestRecorder
from ploverspoke.store.daemon import StoreDaemon
from tests.decisions.harness import SETTINGS
from tests.polling import until
from tests.routing.harness import ServiceHarness
from tests.store.cluster_harness import Cluster

Script = Callable[[ServiceHarness, RequestRecorder], Awaitable[None]]


def run_single_replica(
    folder: Path, monkeypatch: pytest.MonkeyPatch, script: Script, workers: int = 1, **settings: object
) -> None:
    """Run the script once the replica leads and knows its workers; clients of the harness connect to it."""

    async def run() -> None:
        harness, cluster = ServiceHarness(), Cluster(folder, 1)
        discovery = await harness.start_workers_and_discovery(workers)
        document = {"listen": "127.0.0.1:1", "discovery": discovery, "settings": {**SETTINGS, **settings}}
        own_file = folder / "dispatcher.json"
        own_file.write_text(json.dumps(document))
        monkeypatch.setenv("RELAY_CONFIG", str(own_file))
        daemon = StoreDaemon(read_replica_config(cluster.write_config("r0")))
        running = asyncio.create_task(daemon.run(True, ""))
        await until(lambda: running.done() or hasattr(daemon, "service"))
        router = daemon.service.router
        recorder = router.recorder
        assert recorder is not None
        await until(recorder.is_leader)
        await until(lambda: len(router.dispatcher.listed_workers()) == workers)
        harness.port = int(cluster.addresses["r0"]["clients"].split(":")[1])
        await script(harness, recorder)
        daemon.service.shut_down()
        await running
        harness.close_servers()

    uvloop.run(asyncio.wait_for(run(), 30))
