"""Interface to a replicated store, which commits requests, attempts and answers before they take effect.

Without a store the router has no request log, and none of this is called.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.protocol.http_messages import Headers

from .answers import Client, FinalAnswer, RecordedAnswer

# Called with whether the record was committed, and never before the method that records it has returned.
CommitCallback = Callable[[bool], None]


class PreviousOutcome(NamedTuple):
    """The store's record of a request id that was used before."""

    answer: RecordedAnswer | None  # None: not answered yet
    digest: bytes
    attempt_count: int
    bound_worker: str  # the first worker that may have run it; "" if there is none
    time_since_bound: int  # ns since the attempt at `bound_worker`
    bound_group: str = ""  # retry group of `bound_worker` at that time; "" if an older version recorded it


class RequestLog(Protocol):
    """The durable record of requests, shared by the replicas of a store."""

    def is_leader(self) -> bool:
        """Whether this replica may act as the leader: no other replica can be the leader now."""

    def leader_address(self) -> str:
        """The address to redirect clients to; "" if no leader is known."""

    def held_bytes(self) -> int:
        """Estimate the memory that the recorded requests and answers take."""

    def digest(self, method: str, target: str, body: bytes, headers: Headers) -> bytes:
        """A digest that distinguishes different requests with the same id: see `request_digest.py`."""

    def previous_outcome(self, request_id: str) -> PreviousOutcome | None:
        """The record of an earlier request with this id; None if the id is new."""

    def resume(self, request_id: str, class_number: int) -> bool:
        """Take up an open request, which this replica's router answers from now on.

        False if it may not be handled under the rules that its class has now, or is not open: the record of
        a new request with this id then fails.
        """

    def record_request(
        self,
        request_id: str,
        class_number: int,
        digest: bytes,
        time_left: int,
        on_committed: CommitCallback,
    ) -> None:
        """Record an admitted request; `time_left` is the time in ns until its deadline."""

    def record_attempt(
        self, request_id: str, worker: str, index: int, on_committed: CommitCallback, group: str = ""
    ) -> None:
        """Record that the attempt with this index, counted from 0, is about to be sent to the worker.

        `group` names the worker's retry group, if the request is idempotent with a key.
        """

    def record_attempt_outcome(self, request_id: str, index: int, outcome: AttemptOutcome) -> None:
        """Record how an attempt ended; nothing waits for this commit."""

    def record_answer(
        self, request_id: str, answer: RecordedAnswer, digest: bytes, on_committed: CommitCallback
    ) -> None:
        """Record the final answer; the callback gets False if another answer was committed first."""


class PendingAttempt:
    """An attempt whose record is not committed yet; a placeholder for its worker call until then."""

    def __init__(self) -> None:
        """Create an attempt that is sent once committed, unless it is cancelled."""
        self.cancelled = False

    def cancel(self) -> None:
        """Do not send it once it is committed."""
        self.cancelled = True

    def withhold(self) -> None:
        """Do not send it once it is committed."""
        self.cancelled = True


class WaitingClients:
    """All clients that wait for the same request, including clients that have retried with its id."""

    def __init__(self, first: Client) -> None:
        """`first` is the client that sent the request."""
        self.clients = [first]

    def answer(self, answer: FinalAnswer, result: str = "", retry_after: int = 0) -> None:
        """Give all clients the final answer."""
        for client in self._take_clients():
            client.answer(answer, result, retry_after)

    def has_disconnected(self) -> bool:
        """Whether all clients have disconnected; False for a resumed request that has no client yet."""
        # Every client is checked, because the check closes the connection of a client that has disconnected.
        waiting = [client for client in self.clients if not client.has_disconnected()]
        return bool(self.clients) and not waiting

    def disconnect(self) -> None:
        """Close the connections of all clients without an answer."""
        for client in self._take_clients():
            client.disconnect()

    def _take_clients(self) -> list[Client]:
        clients, self.clients = self.clients, []
        return clients
