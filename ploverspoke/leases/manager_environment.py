"""The interface between a `LeaseManager`, which does no I/O, and its driver."""

from collections.abc import Callable
from typing import Protocol

from .messages import LeaseResponse
from .state_machine import LeaseCommand


class LeaseManagerEnvironment(Protocol):
    """The functions that a `LeaseManager` needs from its driver."""

    def now(self) -> int:
        """Return nanoseconds of a monotonic clock."""

    def propose(self, command: LeaseCommand, on_decided: Callable[[bool], None], /) -> None:
        """Propose a command for the log; call `on_decided` later with whether it was committed."""

    def confirm_leadership(self, on_decided: Callable[[bool], None]) -> None:
        """Call `on_decided` with whether a majority confirms, after this call, that this server leads."""

    def send(self, holder: str, response: LeaseResponse) -> None:
        """Send to a holder; the response is dropped if the holder is not connected."""
