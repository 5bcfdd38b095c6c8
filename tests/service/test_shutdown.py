"""The phases of a shutdown: no client waits longer than the process may live."""

import asyncio
from dataclasses import replace

import pytest

from ploverspoke.service.settings import parse_settings
from ploverspoke.service.shutdown import shutdown_schedule
from ploverspoke.transport.units import MILLISECOND, SECOND
from tests.decisions.harness import SETTINGS
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.race_harness import wait_until
from tests.routing.worker_behaviours import stay_silent

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


class FailingClient:
    """A client whose answer raises an error."""

    def answer(self, *_: object) -> None:
        raise ValueError

    def has_disconnected(self) -> bool:
        return False


def test_one_answer_that_fails_at_the_end_takes_no_other_client_its_answer() -> None:
    async def script(harness: ServiceHarness) -> None:
        harness.behaviours = dict.fromkeys(("w0", "w1"), stay_silent)
        clients = [await harness.connect() for _ in range(2)]
        for number, (_, writer) in enumerate(clients):
            writer.write(harness.request(f"r{number}", "book"))
        requests = harness.service.router.requests
        await wait_until(lambda: len(requests) == 2)
        first, _ = requests
        first.client = FailingClient()  # type: ignore[assignment]
        harness.service.router.completion.answer_all()
        answered = [asyncio.ensure_future(reader.readuntil(b"\r\n")) for reader, _ in clients]
        done, _ = await asyncio.wait(answered, timeout=0.5, return_when=asyncio.FIRST_COMPLETED)
        assert [task.result()[:12] in (b"HTTP/1.1 503", b"HTTP/1.1 504") for task in done] == [True]
        for _, writer in clients:
            writer.transport.abort()

    run_script(script)


def test_shutdown_goes_on_after_an_error_in_one_of_its_steps() -> None:
    async def script(harness: ServiceHarness) -> None:
        def fail() -> None:
            raise ValueError

        harness.service.client_server.stop_accepting = fail  # type: ignore[method-assign]
        harness.service.shut_down()
        await asyncio.wait_for(harness.service.stopped.wait(), 4)

    run_script(script)
