"""The phases of a shutdown: no client waits longer than the process may live."""

from dataclasses import replace

import pytest

from ploverspoke.service.settings import parse_settings
from ploverspoke.service.shutdown import shutdown_schedule
from ploverspoke.transport.units import MILLISECOND, SECOND
from tests.decisions.harness import SETTINGS

CURRENT = parse_settings(SETTINGS)


def phase_ends_ms(deadline: int) -> list[int]:
    """Return the ends of the four phases in ms, for a dispatcher with its own listening socket."""
    classes = tuple(replace(request_class, deadline=deadline) for request_class in CURRENT.classes)
    schedule = shutdown_schedule(replace(CURRENT, classes=classes), shares_socket=False)
    phases = (schedule.accept_until, schedule.serve_until, schedule.answer_at, schedule.exit_at)
    return [phase // MILLISECOND for phase in phases]


@pytest.mark.parametrize("deadline", [3 * SECOND, 60 * SECOND])
def test_long_deadlines_count_as_three_seconds(deadline: int) -> None:
    assert phase_ends_ms(deadline) == [700, 2200, 3400, 3550]


def test_shutdown_is_over_before_the_longest_deadline_has_passed() -> None:
    assert phase_ends_ms(1 * SECOND) == [700, 1200, 1600, 1650]


def test_process_that_hands_over_accepts_nothing_more() -> None:
    schedule = shutdown_schedule(CURRENT, shares_socket=True)
    assert schedule.accept_until == 0 and schedule.serve_until == 600 * MILLISECOND


def test_dropped_class_does_not_prolong_the_shutdown() -> None:
    dropped = replace(CURRENT.classes[0], deadline=60 * SECOND)
    settings = replace(CURRENT, classes=(*CURRENT.classes, dropped))
    assert shutdown_schedule(settings, shares_socket=False) == shutdown_schedule(CURRENT, shares_socket=False)
