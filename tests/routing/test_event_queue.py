"""Events are delivered whatever fails."""

from functools import partial

from ploverspoke.routing.event_queue import EventQueue


def fail(*_: object) -> None:
    raise ValueError


def test_events_are_delivered_after_a_failure_that_could_not_be_handled() -> None:
    delivered: list[str] = []
    events = EventQueue(fail)
    events.emit(partial(fail), 1)
    events.emit(partial(delivered.append, "later"), 2)
    assert delivered == ["later"]
