"""What the router asks of a store, where there is one: what is written down before what may happen.

Without a store the router has no scribe, and none of this is called.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

CommitCallback = Callable[[bool], None]  # told whether it is committed; not from inside the call


class PreviousOutcome(NamedTuple):
    """What the store knows of an id from before."""

    answer: tuple[str, str] | None  # how and result, where it is answered
    digest: bytes
    hand_offs: int  # spent
    bound_to: str  # the worker that may have run it; "": none may
    bound_for: int  # ns since it was sent there


class RequestLog(Protocol):
    def leads(self) -> bool:
        """Whether this replica may act: no other can lead now."""

    def leader_address(self) -> str:
        """Where clients are to go instead; "" where nobody is known to lead."""

    def digest(self, method: str, target: str, body: bytes) -> bytes:
        """Tells two requests under one id apart."""

    def past(self, request_id: str) -> PreviousOutcome | None: ...

    def take(self, request_id: str, grade: int, digest: bytes, left: int, then: CommitCallback) -> None:
        """`left` is ns until its abandon time."""

    def intend(self, request_id: str, worker: str, index: int, then: CommitCallback) -> None: ...

    def outcome(self, request_id: str, index: int, outcome: str) -> None: ...

    def answer(self, request_id: str, how: str, result: str, digest: bytes, then: CommitCallback) -> None: ...


class PendingAttempt:
    """A hand-off whose intent is on its way to be committed; in the place of its errand until then."""

    def __init__(self) -> None:
        self.called_off = False

    def give_up(self) -> None:
        self.called_off = True

    def withhold(self) -> None:
        self.called_off = True


class WaitingClients:
    """All clients that wait for one submission; a client that comes back with its id joins the others."""

    def __init__(self, first: Any) -> None:
        self.clients: list[Any] = [first]

    def satisfied(self, result: str) -> None:
        self._all(lambda client: client.satisfied(result))

    def nacked(self, come_back_after: int) -> None:
        self._all(lambda client: client.nacked(come_back_after))

    def abandoned(self) -> None:
        self._all(lambda client: client.abandoned())

    def rejected(self) -> None:
        self._all(lambda client: client.rejected())

    def has_left(self) -> bool:
        """All have; what was resumed for nobody yet goes on."""
        return bool(self.clients) and all([client.has_left() for client in self.clients])

    def dropped(self) -> None:
        self._all(lambda client: client.dropped())

    def _all(self, give: Callable[[Any], None]) -> None:
        clients, self.clients = self.clients, []
        for client in clients:
            give(client)
