"""The time limits of one client's connection: to send a whole request, and to read a response."""

from collections.abc import Callable
from enum import Enum, auto
from functools import partial
from typing import NamedTuple

from ploverspoke.transport.deadlines import Deadline, Deadlines
from ploverspoke.transport.units import MILLISECOND, SECOND

REQUEST_TIMEOUT_NS = 2500 * MILLISECOND  # to receive a whole request; the first is timed from the connect
INPUT_DELAY_NS = 300 * MILLISECOND  # added once if a request has been received and is not parsed yet
RESPONSE_TIMEOUT_NS = 10 * SECOND  # for the client to read a response
CLOSE_TIMEOUT_NS = SECOND  # for the client to read the last response


class InputState(NamedTuple):
    """What the client owes, as far as this side has read."""

    has_to_send: bool  # a whole request is not there yet
    has_to_read: bool  # a part of a response has not left this process
    is_behind: bool  # this side has received bytes that it has not parsed


class ClientTimeout(Enum):
    """Which limit was exceeded."""

    RESPONSE_NOT_READ = auto()
    REQUEST_NOT_PARSED = auto()  # by this side, though its bytes may have come in time
    REQUEST_INCOMPLETE = auto()


class ClientTimeouts:
    """One deadline at a time, which a client that sends or reads byte by byte does not extend."""

    def __init__(
        self,
        deadlines: Deadlines,
        state: Callable[[], InputState],
        on_timeout: Callable[[ClientTimeout], None],
    ) -> None:
        """`state` is asked when a deadline is due; `on_timeout` is called with the exceeded limit."""
        self.deadlines = deadlines
        self.state = state
        self.on_timeout = on_timeout
        self.deadline: Deadline | None = None
        self.is_extended = False

    def update(self, has_to_send: bool, has_to_read: bool) -> None:
        """Set a deadline while the client has to do something, unless one is set already."""
        if not has_to_send and not has_to_read:
            self.cancel()
        elif self.deadline is None:
            self.is_extended = False
            self._set(REQUEST_TIMEOUT_NS if has_to_send else RESPONSE_TIMEOUT_NS)

    def cancel(self) -> None:
        """Set no deadline until the next update."""
        self.deadlines.cancel(self.deadline)
        self.deadline = None

    def abort_later(self, abort: Callable[[], None]) -> None:
        """Give the client the time to read the last response, then abort."""
        self.cancel()
        self.deadline = self.deadlines.schedule(self.deadlines.now() + CLOSE_TIMEOUT_NS, abort)

    def close(self) -> None:
        """End all limits, and refer to nothing any more."""
        self.cancel()
        del self.state, self.on_timeout

    def _set(self, timeout: int) -> None:
        self.deadline = self.deadlines.schedule(self.deadlines.now() + timeout, partial(self._on_due))

    def _on_due(self) -> None:
        self.deadline = None
        state = self.state()
        if state.has_to_read:
            self.on_timeout(ClientTimeout.RESPONSE_NOT_READ)
        elif not state.has_to_send and not state.is_behind:
            return
        elif not state.is_behind:
            self.on_timeout(ClientTimeout.REQUEST_INCOMPLETE)
        elif self.is_extended:
            self.on_timeout(ClientTimeout.REQUEST_NOT_PARSED)
        else:
            self.is_extended = True
            self._set(INPUT_DELAY_NS)
