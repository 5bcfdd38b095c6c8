"""The memory limit holds under crowds of clients, memory is given back, and other clients are answered."""

import asyncio
from pathlib import Path

import pytest

from tests.limits.crowd_harness import CrowdedDispatcher
from tests.limits.crowd_messages import MESSAGES
from tests.routing.harness import run_on_loop

RUNS_LONG = True  # scheduled first: see tests/conftest.py
CLIENTS = 450
CROWD_S = 2.5
REST_S = 3.0  # after the crowd; a client that reads no answer is closed by then
MAX_ANSWER_S = 1.0  # the deadline of the usual client's class, and some slack
KEPT_SHARE = 0.5  # of the room between an idle process and the limit that may be kept after a crowd

CASES = [
    *((kind, 64) for kind in MESSAGES),
    *((kind, 192) for kind in ("pipelined_behind", "large_ahead", "half_a_body", "long_ids")),
    *((kind, 40) for kind in ("pipelined_behind", "half_a_body", "many_fields")),
]


@pytest.mark.parametrize(("kind", "memory_mb"), CASES)
def test_crowd_stays_within_the_memory_limit_and_others_are_answered(
    kind: str, memory_mb: int, tmp_path: Path
) -> None:
    async def run() -> None:
        dispatcher = CrowdedDispatcher(tmp_path, memory_mb, descriptors=1024)
        await dispatcher.start()
        try:
            idle_mb = dispatcher.resident_mb()
            await dispatcher.crowd(kind, CLIENTS, CROWD_S)
            await asyncio.sleep(REST_S)
            assert dispatcher.process.returncode is None, dispatcher.log.read_text()
            assert dispatcher.resident_mb(peak=True) <= memory_mb
            assert dispatcher.resident_mb() <= idle_mb + KEPT_SHARE * (memory_mb - idle_mb)
            assert dispatcher.slowest() <= MAX_ANSWER_S
            assert {exchange.status for exchange in dispatcher.exchanges} <= {200, 503}
            held = {name: size for name, size in (await dispatcher.metrics()).items() if "held_bytes" in name}
            assert sum(held.values()) < 1024 * 1024, held
        finally:
            await dispatcher.stop()

    run_on_loop(run)
