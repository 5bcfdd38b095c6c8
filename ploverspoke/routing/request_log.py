"""Interface of the router to a replicated store, which commits requests, attempts and answers in advance.

Without a store the router has no request log, and none of this is called.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from ploverspoke.decisions.interface import AttemptOutcome

from .answers import Client, FinalAnswer, RecordedAnswer

CommitCallback = Callable[[bool], None]  # called with whether it was committed; never from inside the call


class PreviousOutcome(NamedTuple):
    """What the store knows of a request id that was used before."""

    answer: RecordedAnswer | None  # None: not answered yet
    digest: bytes
    attempt_count: int
    bound_worker: str  # the first worker that may have run it; "": none may have
    time_since_bound: int  # ns since the attempt at that worker


class RequestLog(Protocol):
    """The durable record of requests, shared by the replicas of a store."""

    def is_leader(self) -> bool:
        """Whether this replica may act: no other one can be the leader now."""

    def leader_address(self) -> str:
        """The address that clients are redirected to; "" where no leader is known."""

    def digest(self, method: str, target: str, body: bytes) -> bytes:
        """A digest that distinguishes two different requests under one id."""

    def previous_outcome(self, request_id: str) -> PreviousOutcome | None:
        """What is known of the id from before; None if it is new."""

    def record_request(
        self,
        request_id: str,
        class_number: int,
        digest: bytes,
        time_left: int,
        on_committed: CommitCallback,
    ) -> None:
        """Record an admitted request; `time_left` is in ns until its deadline."""

    def record_attempt(self, request_id: str, worker: str, index: int, on_committed: CommitCallback) -> None:
        """Record that the attempt with this index, counted from 0, is about to be sent to the worker."""

    def record_attempt_outcome(self, request_id: str, index: int, outcome: AttemptOutcome) -> None:
        """Record how an attempt ended; nothing waits for this commit."""

    def record_answer(
        self, request_id: str, answer: RecordedAnswer, digest: bytes, on_committed: CommitCallback
    ) -> None:
        """Record the final answer; the callback gets False where another answer was committed first."""


class PendingAttempt:
    """An attempt whose record is not committed yet; it stands in the place of its worker call until then."""

    def __init__(self) -> None:
        """To be sent, unless it is cancelled."""
        self.cancelled = False

    def cancel(self) -> None:
        """Do not send it once it is committed."""
        self.cancelled = True

    def withhold(self) -> None:
        """Do not send it once it is committed."""
        self.cancelled = True


class WaitingClients:
    """All clients that wait for one request: a client that retries with its id joins the others."""

    def __init__(self, first: Client) -> None:
        """`first` is the client that sent the request."""
        self.clients = [first]

    def answer(self, answer: FinalAnswer, result: str = "", retry_after: int = 0) -> None:
        """Give all of them the final answer."""
        for client in self._release():
            client.answer(answer, result, retry_after)

    def has_disconnected(self) -> bool:
        """Whether all have; a request that was resumed and has no client yet goes on."""
        # Each is checked, as the check closes the connection of a client that has disconnected.
        waiting = [client for client in self.clients if not client.has_disconnected()]
        return bool(self.clients) and not waiting

    def disconnect(self) -> None:
        """Close all their connections without an answer."""
        for client in self._release():
            client.disconnect()

    def _release(self) -> list[Client]:
        clients, self.clients = self.clients, []
        return clients
