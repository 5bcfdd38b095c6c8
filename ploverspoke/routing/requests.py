"""One submission taken from a client, until it is answered and its hand-offs have ended."""

from ploverspoke.transport.deadlines import Deadline

from .answers import Client
from .request_log import PendingAttempt, WaitingClients
from .worker_calls import WorkerCall


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
