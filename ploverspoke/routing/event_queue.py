"""Delivers events to the decision logic, never from within one of its own calls."""

import traceback
from collections import deque
from collections.abc import Callable
from functools import partial

from ploverspoke.transport.rate_limited_log import log_line


class EventQueue:
    """Calls event methods of the decision logic one after the other, in the order of their emission."""

    def __init__(self, on_failure: Callable[[int], None]) -> None:
        """`on_failure` is given the number of the request whose event raised an exception."""
        self.on_failure = on_failure
        self.events: deque[tuple[partial[None], int | None]] = deque()
        self.is_delivering = False

    def emit(self, event: partial[None], request_number: int | None = None) -> None:
        """Deliver an event now, or after the event that is being delivered, if there is one.

        An exception is logged with its traceback, and `on_failure` is called for the request.
        """
        self.events.append((event, request_number))
        if self.is_delivering:
            return
        self.is_delivering = True
        while self.events:
            event, request_number = self.events.popleft()
            try:
                event()
            except Exception:  # any fault of the decision logic: later events must be delivered
                name = getattr(event.func, "__name__", event.func)
                log_line(f"a decision failed in {name}: {traceback.format_exc()}")
                self._report_failure(request_number)
        self.is_delivering = False

    def _report_failure(self, request_number: int | None) -> None:
        if request_number is None:
            return
        try:
            self.on_failure(request_number)
        except Exception:  # the timer at the request's deadline is left; later events must be delivered
            log_line(f"a request could not be answered after a failure: {traceback.format_exc()}")
