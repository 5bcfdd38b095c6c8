"""One client that sends odd or small requests at full speed does not hold up the others."""

from pathlib import Path

import pytest

from tests.limits.crowd_harness import CrowdedDispatcher
from tests.routing.harness import run_on_loop

RUNS_LONG = True  # scheduled first: see tests/conftest.py
FLOOD_S = 3.0
MAX_ANSWER_S = 0.5  # the latency objective of the usual client's class
KINDS = (
    "pipelined_status",
    "pipelined_requests",
    "pipelined_behind",
    "repeated_fields",
    "tiny_chunks",
    "new_names",
    "unsound",
)


@pytest.mark.parametrize("kind", KINDS)
def test_flood_of_one_client_delays_and_rejects_no_other(kind: str, tmp_path: Path) -> None:
    async def run() -> None:
        dispatcher = CrowdedDispatcher(tmp_path, 192, descriptors=1024)
        await dispatcher.start()
        try:
            await dispatcher.crowd(kind, 1, FLOOD_S)
            assert dispatcher.process.returncode is None, dispatcher.log.read_text()
            assert dispatcher.served_share() == 1.0
            assert dispatcher.slowest() <= MAX_ANSWER_S
        finally:
            await dispatcher.stop()

    run_on_loop(run)
