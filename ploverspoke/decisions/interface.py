"""What the decisions ask of whoever runs them.

A host calls one method of `dispatcher.Dispatcher` for each thing that happens, and the dispatcher acts by
calling the methods below before it returns. Times are whole nanoseconds of one monotonic clock.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple, Protocol

Load = Mapping[str, float] | None  # what a worker reports of itself
NEVER_RAN = frozenset({"full", "unreachable", "not_sent"})  # outcomes of hand-offs that are known not to have


def never_ran(full_may_have_run: bool) -> frozenset[str]:
    """Where workers also shed what they had begun, "full" is no proof."""
    return NEVER_RAN - {"full"} if full_may_have_run else NEVER_RAN


class Endpoint(NamedTuple):
    """One worker as the roster shows it."""

    worker: str
    zone: int
    machine_kind: int
    rack: int
    condition: str  # "ready", "draining" or "gone"
    weight: float
    started_at: int  # 0: long past


class DispatchActions(Protocol):
    """The actions open to a dispatcher."""

    def now(self) -> int:
        """The clock."""

    def start_attempt(self, submission_id: int, worker: str, time_out: int) -> None:
        """Send the submission to the worker and wait at most `time_out` for its answer."""

    def cancel_attempt(self, submission_id: int, hand_off: int) -> None:
        """Stop waiting for one hand-off, counted from 0; its end is still reported, once."""

    def reject(self, submission_id: int, come_back_after: int) -> None:
        """Final answer: not done, and trying again is harmless; 0 gives no advice on when."""

    def fail(self, submission_id: int) -> None:
        """Final answer: not done as far as is known, with no promise about its effect."""

    def wake_at(self, token: int, when: int) -> None:
        """Call `timer_fired(token)` at that time or as soon as possible after it."""

    def probe(self, worker: str) -> None:
        """Ask a worker for its load."""

    def send_gossip(
        self, to: Iterable[int] | None, zone: int, number: int, lateness: float, held: Iterable[str]
    ) -> None:
        """Tell other dispatchers, None: all of them, where we have slots in flight and how late our starts
        were, 0 to 1; it may not arrive."""

    def watch_endpoints(self) -> None:
        """Subscribe to the roster; answered by one roster call, and then by one for each change."""

    def log(self, line: str) -> None:
        """Say something to the person on call."""
