"""The interface through which a watch on discovery reports lists and failures."""

from typing import Protocol

from ploverspoke.protocol.discovery import EndpointList

from .watch_journal import CallOutcome


class WatchListener(Protocol):
    """Receives the lists and the failures of a watch."""

    def receive_list(self, body: bytes) -> EndpointList:
        """Apply the list in a response body. Raises EndpointListError."""

    def list_confirmed(self, as_of: int) -> None:
        """Everything that discovery had at `as_of` (monotonic ns) has been received."""

    def list_time_left(self) -> int | None:
        """Time in ns until the list expires, negative after the expiry; None if it never expires."""

    def call_timed_out(self, as_of: int) -> None:
        """A call that began at `as_of` (ns) and requested an immediate response has timed out."""

    def watch_failed(self, outcome: CallOutcome) -> None:
        """The watch has ended with a failure."""
