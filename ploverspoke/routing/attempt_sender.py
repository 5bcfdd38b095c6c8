"""Sends attempts to workers and reports their outcomes to the decision logic."""

from functools import partial

from ploverspoke.decisions.interface import AttemptResult, SendRefusal
from ploverspoke.decisions.settings import Idempotency
from ploverspoke.protocol import workers
from ploverspoke.protocol.workers import AttemptResponseReader, LoadReport, ResponseListener
from ploverspoke.transport.deadlines import Deadline
from ploverspoke.transport.outcomes import ExchangeOutcome

from .answers import FinalAnswer
from .completion import RequestCompletion
from .context import RouterPart, RoutingContext
from .endpoint_directory import EndpointDirectory
from .outcomes import OUTCOMES
from .request_log import PendingAttempt
from .request_recorder import RequestRecorder
from .requests import Request
from .worker_calls import WorkerCall


class AttemptCall:
    """One attempt; implements `WorkerCallUser` for its worker call."""

    def __init__(self, sender: "AttemptSender", request: Request, index: int, worker: str) -> None:
        """`index` counts the attempts of the request from 0."""
        self.sender = sender
        self.request = request
        self.index = index
        self.worker = worker
        self.address = ""  # of the worker at the start of the call
        self.decided_at = sender.deadlines.now()
        self.send_deadline: Deadline | None = None  # by which it must be written, if before its timeout

    def encode_request(self, time_left: int) -> bytes:
        """Encode the request for the worker, which is given `time_left` ns to answer it."""
        message = self.request.message
        return workers.encode_attempt(
            message.method, message.target, message.headers, message.body, time_left, self.address
        )

    def make_reader(self, listener: ResponseListener) -> AttemptResponseReader:
        """Create a reader for the worker's response."""
        return AttemptResponseReader(listener, self.sender.settings.x0_name, self.request.request_id)

    def may_send(self) -> bool:
        """Whether the attempt may still be written."""
        return self.sender.may_send(self)

    def on_written(self) -> None:
        """Count the attempt, which was written completely."""
        self.sender.deadlines.cancel(self.send_deadline)
        class_name = self.sender.settings.class_name(self.request.class_number)
        self.sender.counters.count_attempt(class_name)

    def on_started(self) -> None:
        """Report that the worker has started the request."""
        event = partial(self.sender.dispatcher.attempt_started, self.request.number, self.index)
        self.sender.events.emit(event, self.request.number)

    def on_progress(self, fraction_done: float) -> None:
        """Report the worker's progress."""
        event = partial(
            self.sender.dispatcher.attempt_progressed, self.request.number, self.index, fraction_done
        )
        self.sender.events.emit(event, self.request.number)

    def on_ended(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        """Pass the outcome to the attempt sender."""
        self.sender.on_ended(self, outcome, result, load)


class AttemptSender(RouterPart):
    """Starts and cancels attempts for the decision logic, and reports their outcomes."""

    def __init__(
        self,
        context: RoutingContext,
        endpoints: EndpointDirectory,
        completion: RequestCompletion,
        recorder: RequestRecorder | None,
    ) -> None:
        """With a `recorder`, attempts are committed before they are sent."""
        super().__init__(context)
        self.endpoints = endpoints
        self.completion = completion
        self.recorder = recorder

    def start(self, request_number: int, worker: str, timeout: int) -> None:
        """Send the request to the worker and wait at most `timeout` ns for its answer."""
        request = self.requests.get(request_number)
        if request is None or request.client is None or worker not in self.endpoints.addresses:
            self._report_not_sent(request_number, request, worker)
            return
        call = AttemptCall(self, request, len(request.attempts), worker)
        request.attempts.append(None)
        timeout = min(timeout, request.deadline - call.decided_at)
        self._limit_send_time(call, timeout)
        if self.recorder is not None and self.recorder.records_attempts(request):
            self._send_after_commit(self.recorder, call, timeout)
        else:
            self._send(call, timeout)

    def cancel(self, request_number: int, index: int) -> None:
        """Stop waiting for the attempt with this index; its end is still reported exactly once."""
        request = self.requests.get(request_number)
        attempt = request.attempts[index] if request is not None else None
        if attempt is not None:
            attempt.cancel()

    def _limit_send_time(self, call: AttemptCall, timeout: int) -> None:
        """Withhold an attempt that may be sent for a shorter time than its timeout, unless it is written."""
        latest_send = self.dispatcher.latest_send(call.request.number)
        if latest_send is not None and latest_send < call.decided_at + timeout:
            call.send_deadline = self.deadlines.schedule(latest_send, partial(self._on_send_deadline, call))

    def _on_send_deadline(self, call: AttemptCall) -> None:
        """End an attempt that was not written in time, so that its request does not wait for it."""
        attempt = call.request.attempts[call.index]
        if isinstance(attempt, PendingAttempt):
            self._count_withheld(call, SendRefusal.SEND_WINDOW_ENDED)
            self.on_ended(call, ExchangeOutcome.NOT_SENT, "", None)
        elif attempt is not None and attempt.withhold():
            self._count_withheld(call, SendRefusal.SEND_WINDOW_ENDED)

    def _report_not_sent(self, request_number: int, request: Request | None, worker: str) -> None:
        """Report that an attempt was not sent because the request had ended or the worker is not known."""
        index = 0
        if request is not None:
            index = len(request.attempts)
            request.attempts.append(None)
        is_closed = request is None or request.client is None
        result = AttemptResult(worker, OUTCOMES[ExchangeOutcome.NOT_SENT], 0, is_closed)
        event = partial(self.dispatcher.attempt_ended, request_number, index, result)
        self.events.emit(event, request_number)

    def _send_after_commit(self, recorder: RequestRecorder, call: AttemptCall, timeout: int) -> None:
        """Send the attempt after its record is committed, for a request that must not run twice."""
        request, send_until = call.request, self.deadlines.now() + timeout
        pending = request.attempts[call.index] = PendingAttempt()

        def on_committed(is_committed: bool) -> None:
            """Send the attempt, unless the commit failed, it was cancelled or its timeout has passed."""
            if request.attempts[call.index] is not pending:
                return
            time_left = send_until - self.deadlines.now()
            if is_committed and time_left > 0 and not pending.cancelled:
                self._send(call, time_left)
            else:
                self.on_ended(call, ExchangeOutcome.NOT_SENT, "", None)

        recorder.record_attempt(request, call.worker, call.index, on_committed)

    def _send(self, call: AttemptCall, timeout: int) -> None:
        request = call.request
        call.address = self.endpoints.addresses[call.worker]
        idempotency = self.settings.idempotency(request.class_number)
        request.attempts[call.index] = WorkerCall(
            self.pool,
            call.address,
            timeout,
            call,
            delay_last_byte=idempotency is Idempotency.NON_IDEMPOTENT,
        )

    def may_send(self, call: AttemptCall) -> bool:
        """Whether an attempt may still be written.

        Every attempt is checked here just before it is written. Since its worker was chosen, it may have
        waited for a connection or a commit, or this process may have been suspended.
        """
        refusal = self._send_refusal(call)
        if refusal is not None:
            self._count_withheld(call, refusal)
            return False
        call.request.may_have_been_sent = True
        return True

    def _send_refusal(self, call: AttemptCall) -> SendRefusal | None:
        """Why the attempt may not be written any more; None if it may."""
        request = call.request
        if request.client is None:
            return SendRefusal.REQUEST_ENDED
        refusal = self.dispatcher.send_refusal(request.number, call.worker)
        if refusal is not None:
            return refusal
        if self.endpoints.addresses.get(call.worker) != call.address:
            return SendRefusal.ADDRESS_CHANGED
        if self.recorder is not None and not self.recorder.is_leader():
            return SendRefusal.NOT_LEADER
        return SendRefusal.CLIENT_DISCONNECTED if request.client.has_disconnected() else None

    def _count_withheld(self, call: AttemptCall, refusal: SendRefusal) -> None:
        elapsed = self.deadlines.now() - call.decided_at
        self.request_journal.attempt_withheld(call.request, call.worker, call.index, refusal, elapsed)

    def on_ended(
        self, call: AttemptCall, outcome: ExchangeOutcome, result: str, load: LoadReport | None
    ) -> None:
        """Answer the request if the outcome is final, and report the outcome to the decision logic."""
        request = call.request
        self.deadlines.cancel(call.send_deadline)
        request.attempts[call.index] = None
        self.completion.reject_if_never_sent(request)
        if self.recorder is not None and self.recorder.records_attempts(request):
            self.recorder.record_outcome(request, call.index, OUTCOMES[outcome])
        if outcome is ExchangeOutcome.SUCCEEDED:
            self.completion.answer(request, FinalAnswer.SUCCEEDED, result)
        elif outcome is ExchangeOutcome.REJECTED:
            # Not retried, or the decision logic would eject one worker after another for the invalid request.
            self.completion.answer(request, FinalAnswer.INVALID_REQUEST)
        elapsed = self.deadlines.now() - call.decided_at
        list_age = self.endpoints.journal.list_age()
        self.request_journal.attempt_ended(request, call.worker, call.index, outcome, elapsed, list_age)
        attempt_result = AttemptResult(call.worker, OUTCOMES[outcome], elapsed, request.client is None, load)
        event = partial(self.dispatcher.attempt_ended, request.number, call.index, attempt_result)
        self.events.emit(event, request.number)
        self.requests.remove_if_ended(request)
