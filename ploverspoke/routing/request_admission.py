"""Admits requests of clients: checks them, sets their deadlines and reports them to the decisions."""

from enum import Enum, auto
from functools import partial

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
from .request_recorder import RequestRecorder
from .requests import Request

# The final answer is due this long before the client gives up, but no more than a tenth of its timeout.
MAX_ANSWER_MARGIN = 20 * MILLISECOND
TIMEOUT_PER_MARGIN = 10


class NotAdmitted(Enum):
    """Why a valid request was not admitted."""

    NO_CAPACITY = auto()  # the caller rejects it
    ANSWERED_BEFORE = auto()  # its client was given the recorded answer


class RequestAdmission(RouterPart):
    """Checks requests of clients and reports those that it admits to the decisions."""

    def __init__(
        self, context: RoutingContext, completion: RequestCompletion, recorder: RequestRecorder | None
    ) -> None:
        """With a `recorder` requests are committed before they are reported to the decisions."""
        super().__init__(context)
        self.completion = completion
        self.recorder = recorder

    def check_head(self, method: str, target: str, headers: dict[str, str]) -> None:
        """Check whether a request with this head can be admitted at all. Raises HttpSyntaxError."""
        self._class_number(target)
        if method != "POST":
            raise MethodNotAllowedError(reason="submissions come by POST")
        if not headers.get(REQUEST_ID):
            raise HttpSyntaxError(reason="request-id is missing")
        self._check_id_is_unused(headers[REQUEST_ID])
        for parse_header in (clients.request_timeout, clients.requested_slots, clients.work_hint):
            parse_header(headers)

    def admit(self, client: Client, message: HttpRequest) -> Request | NotAdmitted:
        """Admit a request whose head was checked. Raises HttpSyntaxError.

        With a store the result may be a request that another client waits for already.
        """
        # Checked once more: the id may have been used, or the class dropped, while the body was received.
        self._check_id_is_unused(message.headers[REQUEST_ID])
        class_number = self._class_number(message.target)
        timeout = self._timeout(message, class_number)
        slots = clients.requested_slots(message.headers)
        work_hint = clients.work_hint(message.headers)
        if self.recorder is not None:
            known = self._find_known(self.recorder, client, message)
            if known is not None:
                return known
        if len(self.requests) >= self.settings.current.max_open_requests:
            self.counters.count_rejected(self.settings.class_name(class_number))
            self.request_journal.rejected_for_capacity()
            return NotAdmitted.NO_CAPACITY
        deadline = self.deadlines.now() + timeout - min(MAX_ANSWER_MARGIN, timeout // TIMEOUT_PER_MARGIN)
        request = Request(client, class_number, message, deadline)
        self._register(request)
        affinity_key = message.headers.get(AFFINITY_KEY, "")
        event = partial(
            self.dispatcher.request_arrived,
            request.number,
            class_number,
            slots,
            deadline,
            work_hint,
            affinity_key,
        )
        if self.recorder is None:
            self.events.emit(event, request.number)
        else:
            on_admitted = partial(self.events.emit, event, request.number)
            on_lost = partial(self.completion.leave_to_leader, request)
            self.recorder.record_request(request, client, on_admitted, on_lost)
        return request

    def count_rejected(self, target: str) -> None:
        """Count a request that the server rejects for lack of capacity, if it names a request class."""
        class_name = clients.request_class_name(target)
        if class_name in self.settings.classes.numbers:
            self.counters.count_rejected(class_name)
            self.request_journal.rejected_for_capacity()

    def _class_number(self, target: str) -> int:
        class_number = self.settings.classes.numbers.get(clients.request_class_name(target))
        if class_number is None:
            raise UnknownRequestClassError(reason="no such service grade")
        return class_number

    def _check_id_is_unused(self, request_id: str) -> None:
        # With a store the request log shows whether it is the same request.
        if request_id in self.requests.recent_ids and self.recorder is None:
            raise RequestIdInUseError(reason="request-id is in use")

    def _timeout(self, message: HttpRequest, class_number: int) -> int:
        """How long (ns) the client waits, which is no longer than its class allows."""
        longest = self.settings.current.classes[class_number].deadline
        stated = clients.request_timeout(message.headers)
        return longest if stated is None else min(stated, longest)

    def _find_known(
        self, recorder: RequestRecorder, client: Client, message: HttpRequest
    ) -> Request | NotAdmitted | None:
        """Let the client of a repeated request wait with the first, or give it the answer again."""
        request = recorder.join(client, message)
        if request is not None:
            return request
        recorded = recorder.recorded_answer(message)
        if recorded is None:
            return None
        client.answer(recorded.answer, recorded.result)
        return NotAdmitted.ANSWERED_BEFORE

    def _register(self, request: Request) -> None:
        self.requests.add(request)
        self.counters.count_admitted()
        # The decisions answer in time; this guards the client against a fault of theirs.
        on_deadline = partial(self.completion.on_deadline, request)
        request.answer_deadline = self.deadlines.schedule(request.deadline, on_deadline)
