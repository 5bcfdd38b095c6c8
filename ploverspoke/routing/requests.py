"""One submission taken from a client, until it is answered and its hand-offs have ended."""

from typing import Protocol

from ploverspoke.transport.deadlines import Deadline

from .request_log import PendingAttempt, WaitingClients
from .worker_calls import WorkerCall


class Client(Protocol):
    """Who waits for the answer."""

    def satisfied(self, result: str) -> None: ...

    def nacked(self, come_back_after: int) -> None: ...

    def abandoned(self) -> None: ...

    def rejected(self) -> None:
        """The request is at fault."""

    def has_left(self) -> bool:
        """Whether nobody waits any more, be it that we have not been told yet."""

    def dropped(self) -> None:
        """No answer can be given here: another replica has it, or will have."""


class Request:
    def __init__(
        self,
        client: Client,
        grade: int,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        abandon_at: int,
    ) -> None:
        self.number = 0
        self.client: Client | None = client  # None: answered, or the client has left
        self.grade = grade
        self.method = method
        self.target = target
        self.headers = headers
        self.request_id = headers["request-id"]
        self.body = body
        self.abandon_at = abandon_at
        self.digest = b""  # of the request, where a store keeps it
        self.waiters: WaitingClients | None = (
            None  # the same client and those that came back, where there is a store
        )
        self.sent = False  # something of it was written to a worker
        self.hand_offs: list[WorkerCall | PendingAttempt | None] = []  # None: ended
        self.last_answer: Deadline | None = None

    def out(self) -> bool:
        return any(errand is not None for errand in self.hand_offs)
