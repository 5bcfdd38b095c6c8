"""The state of an admitted request, kept until it is answered and all its attempts have ended."""

from ploverspoke.protocol.clients import HttpRequest
from ploverspoke.protocol.wire_names import REQUEST_ID
from ploverspoke.transport.deadlines import Deadline

from .answers import Client
from .request_log import PendingAttempt, WaitingClients
from .worker_calls import WorkerCall


class Request:
    """State of one admitted request."""

    def __init__(self, client: Client, class_number: int, message: HttpRequest, deadline: int) -> None:
        """`deadline` is the time (monotonic ns) by which the final answer is given."""
        self.number = 0  # in the request table; the decision logic uses it as the id of the request
        self.client: Client | None = client  # None: answered, or the client has disconnected
        self.class_number = class_number
        self.message = message
        self.request_id = message.headers[REQUEST_ID]
        self.deadline = deadline
        self.digest = b""  # of the message; only set if there is a store
        # With a store: the first client and all clients that have retried with the same id.
        self.waiting_clients: WaitingClients | None = None
        self.may_have_been_sent = False  # an attempt was allowed to write to a worker
        self.attempts: list[WorkerCall | PendingAttempt | None] = []  # by attempt index; None: ended
        self.answer_deadline: Deadline | None = None  # timer that answers if the decision logic fails to

    def has_active_attempt(self) -> bool:
        """Whether an attempt has not ended yet."""
        return any(attempt is not None for attempt in self.attempts)
