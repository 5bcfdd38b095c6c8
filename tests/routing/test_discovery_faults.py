"""A drain is respected within 6 s after discovery has it and is reachable, whatever faults came before."""

import itertools

import pytest

from ploverspoke.transport.units import SECOND
from tests.decisions.harness import SETTINGS
from tests.routing.faulty_discovery import FAULTS, WatchHarness
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.race_harness import (
    LENIENT_SETTINGS,
    run_loop_turns,
    wait_until,
)

RUNS_LONG = True  # scheduled first: see tests/conftest.py


def run_with_faults(faults: list[tuple[str, int]], dispatchers: int, poll_interval: int, mode: str) -> None:
    async def script(harness: ServiceHarness) -> None:
        await wait_until(lambda: harness.watch_count)
        await run_loop_turns()
        watch = WatchHarness(harness)
        await watch.replace_discovery()
        for fault, times in faults:
            await watch.fail_calls(fault, times)
        await watch.check_drain_is_respected()

    rules = {**SETTINGS["Invariants"], "MustAskInUs": poll_interval // 1000}
    run_script(
        script,
        workers=2,
        **{**LENIENT_SETTINGS, "Invariants": rules, "PeersTotal": dispatchers, "Discovery": mode},
    )


MODES = pytest.mark.parametrize("mode", ["ask", "push"])
REJECTING = ("503", "503, closed", "429")
KINDS_OF_FAULT = ("refuses", "never up", "silent", "half, then ends", "garbage", "503")


@MODES
@pytest.mark.parametrize("times", [1, 8])
@pytest.mark.parametrize("fault", [fault for fault in FAULTS if fault not in REJECTING])
def test_drain_is_respected_in_time_after_one_kind_of_failure(fault: str, times: int, mode: str) -> None:
    run_with_faults([(fault, times)], 1, 10 * SECOND, mode)


@pytest.mark.parametrize("order", list(itertools.permutations(KINDS_OF_FAULT, 2)))
def test_drain_is_respected_in_time_after_two_kinds_of_failure(order: tuple[str, ...]) -> None:
    run_with_faults([(fault, 2) for fault in order], 1, 10 * SECOND, "ask")


@MODES
@pytest.mark.parametrize("first", range(len(KINDS_OF_FAULT)))
def test_drain_is_respected_in_time_after_each_kind_of_failure(first: int, mode: str) -> None:
    run_with_faults(
        [(fault, 1) for fault in KINDS_OF_FAULT[first:] + KINDS_OF_FAULT[:first]], 1, 10 * SECOND, mode
    )


@MODES
@pytest.mark.parametrize("dispatchers", [5, 30, 177, 3000])
def test_drain_is_respected_in_time_after_rejected_watches(dispatchers: int, mode: str) -> None:
    # Guards against this failure: a discovery that is down may respond 503, and the backoff after the last
    # rejection grew to 10 s.
    for fault in REJECTING:
        run_with_faults([(fault, 6)], dispatchers, 10 * SECOND, mode)


def test_drain_is_respected_in_time_where_the_list_is_polled_rarely() -> None:
    # The backoff is derived from the poll interval in the settings, up to an interval of 12 s.
    for fault in ("refuses", "never up", "garbage", "silent"):
        run_with_faults([(fault, 6)], 5, 60 * SECOND, "ask")
