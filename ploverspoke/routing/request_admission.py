"""Admits client requests: checks them, sets their deadlines and reports them to the decision logic."""

from enum import Enum, auto
from functools import partial
from hashlib import blake2b

from ploverspoke.protocol import clients
from ploverspoke.protocol.clients import HttpRequest
from ploverspoke.protocol.errors import (
    HttpSyntaxError,
    MethodNotAllowedError,
    RequestIdInUseError,
    UnknownRequestClassError,
)
from ploverspoke.protocol.wire_names import AFFINITY_KEY, REQUEST_ID
from ploverspoke.transport.units import MILLISECOND

from .answers import Client
from .completion import RequestCompletion
from .context import RouterPart, RoutingContext
from .request_id_table import IdClaim
from .request_ids import RequestIds
from .request_journal import CapacityLimit
from .request_recorder import RequestRecorder
from .requests import Request
from .responses import OWN_TARGET_PREFIX

# The final answer is due this long before the client times out, or a tenth of its timeout if that is less.
MAX_ANSWER_MARGIN_NS = 20 * MILLISECOND
ANSWER_MARGIN_DIVISOR = 10
MAX_RECORDED_ID_LENGTH = 256  # characters; with a store each entry of the log holds the id
MAX_KEY_LENGTH = 128  # characters; of a longer affinity key the decisions get a hash
KEY_DIGEST_BYTES = 32


class NotAdmitted(Enum):
    """Why a valid request was not admitted."""

    NO_CAPACITY = auto()  # the caller must reject the request
    ANSWERED_BEFORE = auto()  # its client has been given the recorded answer


class RequestAdmission(RouterPart):
    """Checks client requests and reports the admitted ones to the decision logic."""

    def __init__(
        self, context: RoutingContext, completion: RequestCompletion, recorder: RequestRecorder | None
    ) -> None:
        """With a `recorder`, requests are committed before they are reported to the decision logic."""
        super().__init__(context)
        self.completion = completion
        self.recorder = recorder
        self.request_ids = RequestIds(context.deadlines)

    def check_head(self, method: str, target: str, headers: dict[str, str]) -> None:
        """Check whether a request with this head can be admitted at all. Raises HttpSyntaxError.

        A request that the dispatcher itself answers is not checked here.
        """
        if target.startswith(OWN_TARGET_PREFIX):
            return
        is_recorded = self._is_recorded(headers)
        class_number = None if is_recorded else self._class_number(target)
        if method != "POST":
            raise MethodNotAllowedError(reason="submissions come by POST")
        if not headers.get(REQUEST_ID):
            raise HttpSyntaxError(reason="request-id is missing")
        is_new_to_log = self.recorder is not None and not is_recorded
        if is_new_to_log and len(headers[REQUEST_ID]) > MAX_RECORDED_ID_LENGTH:
            raise HttpSyntaxError(reason=f"request-id is over {MAX_RECORDED_ID_LENGTH} characters")
        if class_number is not None:
            self._check_id_is_unused(headers[REQUEST_ID], class_number)
        for parse_header in (clients.request_timeout, clients.requested_slots, clients.work_hint):
            parse_header(headers)

    def admit(self, client: Client, message: HttpRequest) -> Request | NotAdmitted:
        """Admit a request whose head was checked. Raises HttpSyntaxError.

        With a store, the result may be an open request that another client is already waiting for.
        """
        if self.recorder is not None:
            repeat_result = self._handle_repeat(self.recorder, client, message)
            if repeat_result is not None:
                return repeat_result
        # Again, as below for the id: the class may have been removed while the body was being received.
        class_number = self._class_number(message.target)
        timeout = self._timeout(message, class_number)
        slots = clients.requested_slots(message.headers)
        work_hint = clients.work_hint(message.headers)
        exceeded = self._exceeded_limit() or self._claim_id(message.headers[REQUEST_ID], class_number)
        if exceeded is not None:
            self.counters.count_rejected(self.settings.class_name(class_number))
            self.request_journal.rejected_for_capacity(exceeded)
            return NotAdmitted.NO_CAPACITY
        due_at = self._answer_due_at(timeout)
        request = Request(client, class_number, message, due_at)
        self._register(request)
        affinity_key = _bounded_key(message.headers.get(AFFINITY_KEY, ""))
        event = partial(
            self.dispatcher.request_arrived,
            request.number,
            class_number,
            slots,
            due_at,
            work_hint,
            affinity_key,
        )
        if self.recorder is None:
            self.events.emit(event, request.number)
        else:
            on_admitted = partial(self.events.emit, event, request.number)
            on_commit_failed = partial(self.completion.leave_to_leader, request)
            self.recorder.record_request(request, client, on_admitted, on_commit_failed)
        return request

    def count_rejected(self, target: str, limit: CapacityLimit) -> None:
        """Count a request that the server rejects for lack of capacity, if it names a request class."""
        class_name = clients.request_class_name(target)
        if class_name in self.settings.classes.numbers:
            self.counters.count_rejected(class_name)
            self.request_journal.rejected_for_capacity(limit)

    def _exceeded_limit(self) -> CapacityLimit | None:
        """The limit that one more open request would exceed, if any."""
        if self.recorder is not None and not self.recorder.has_room():
            return CapacityLimit.REQUEST_LOG
        if len(self.requests) >= self.settings.current.max_open_requests:
            return CapacityLimit.OPEN_REQUESTS
        if self.pool.monitor.memory.is_full_for_clients():
            return CapacityLimit.MEMORY
        return None

    def _class_number(self, target: str) -> int:
        class_number = self.settings.classes.numbers.get(clients.request_class_name(target))
        if class_number is None:
            raise UnknownRequestClassError(reason="no such service grade")
        return class_number

    def _is_recorded(self, headers: dict[str, str]) -> bool:
        """Whether there is a store that knows the id; its class may have been removed since."""
        return self.recorder is not None and self.recorder.is_recorded(headers.get(REQUEST_ID, ""))

    def _check_id_is_unused(self, request_id: str, class_number: int) -> None:
        # With a store, the request log tells a retry of the same request from a different request.
        idempotency = self.settings.idempotency(class_number)
        if self.recorder is None and self.request_ids.is_used(request_id, idempotency):
            raise RequestIdInUseError(reason="request-id is in use")

    def _claim_id(self, request_id: str, class_number: int) -> CapacityLimit | None:
        """Remember the id; returns a limit if it cannot be known whether it was used.

        Raises RequestIdInUseError if another process has used it since it was checked.
        """
        if self.recorder is not None:
            return None
        claim = self.request_ids.claim(request_id, self.settings.idempotency(class_number))
        if claim is IdClaim.KNOWN:
            raise RequestIdInUseError(reason="request-id is in use")
        return CapacityLimit.REQUEST_IDS if claim is IdClaim.NOT_KNOWABLE else None

    def _timeout(self, message: HttpRequest, class_number: int) -> int:
        """The client's timeout in ns, limited to the deadline of the request class."""
        max_timeout = self.settings.current.classes[class_number].deadline
        requested = clients.request_timeout(message.headers)
        return max_timeout if requested is None else min(requested, max_timeout)

    def _answer_due_at(self, timeout: int) -> int:
        """The time (ns) by which a client with this timeout gets its final answer."""
        return self.deadlines.now() + timeout - min(MAX_ANSWER_MARGIN_NS, timeout // ANSWER_MARGIN_DIVISOR)

    def _handle_repeat(
        self, recorder: RequestRecorder, client: Client, message: HttpRequest
    ) -> Request | NotAdmitted | None:
        """Let the client of a repeated request wait for the open one, or give it the recorded answer.

        Returns None if the request is new or has no answer yet.
        """
        request = recorder.join_open_request(client, message)
        if request is not None:
            due_at = self._answer_due_at(self._timeout(message, request.class_number))
            if due_at < request.deadline:
                on_deadline = partial(self.completion.on_joined_client_deadline, request, client)
                self.deadlines.schedule(due_at, on_deadline)
            return request
        recorded = recorder.recorded_answer(message)
        if recorded is None:
            return None
        client.answer(recorded.answer, recorded.result)
        return NotAdmitted.ANSWERED_BEFORE

    def _register(self, request: Request) -> None:
        self.requests.add(request)
        self.counters.count_admitted()
        # The decision logic should answer before this; the timer answers the client if a fault prevents that.
        on_deadline = partial(self.completion.on_deadline, request)
        request.answer_deadline = self.deadlines.schedule(request.deadline, on_deadline)


def _bounded_key(affinity_key: str) -> str:
    """Return the key itself, or a hash of it if it is long: it is stored, and hashed once for each worker."""
    if len(affinity_key) <= MAX_KEY_LENGTH:
        return affinity_key
    return blake2b(affinity_key.encode("latin-1", "replace"), digest_size=KEY_DIGEST_BYTES).hexdigest()
