"""Ends requests: by the final answer, when a client disconnects, or when the leader steps down."""

import traceback
from functools import partial

from ploverspoke.decisions.interface import EndReason
from ploverspoke.decisions.settings import Idempotency
from ploverspoke.transport.rate_limited_log import log_line

from .answers import Client, FinalAnswer, RecordedAnswer
from .context import RouterPart, RoutingContext
from .counters import RequestEnd, UnansweredEnd
from .request_recorder import RequestRecorder
from .requests import Request


class RequestCompletion(RouterPart):
    """Ends each request exactly once."""

    def __init__(self, context: RoutingContext, recorder: RequestRecorder | None) -> None:
        """With a `recorder`, answers are committed before they are given."""
        super().__init__(context)
        self.recorder = recorder

    def answer(
        self, request: Request | None, answer: FinalAnswer, result: str = "", retry_after: int = 0
    ) -> None:
        """Give the final answer, unless the request already has one or its client has disconnected.

        `retry_after` (ns) advises a rejected client when to retry; 0 gives no advice.
        """
        if request is None or request.client is None:
            return
        client = request.client
        self._close(request, answer)
        if self.recorder is None:
            client.answer(answer, result, retry_after)
        else:
            recorded = RecordedAnswer(answer, result)
            self._answer_after_commit(self.recorder, request, client, recorded, retry_after)
        self.requests.remove_if_ended(request)

    def _answer_after_commit(
        self,
        recorder: RequestRecorder,
        request: Request,
        client: Client,
        recorded: RecordedAnswer,
        retry_after: int,
    ) -> None:
        """Commit the answer before it is given: a retry at any replica must get the same answer."""

        def on_committed(is_committed: bool) -> None:
            """Answer the client, or leave the answer to the leader."""
            recorder.forget(request)
            if is_committed:
                client.answer(recorded.answer, recorded.result, retry_after)
            else:
                client.disconnect()

        recorder.record_answer(request, recorded, on_committed)

    def on_client_disconnected(self, request: Request, client: Client) -> None:
        """End the request of a client that has disconnected.

        With a store, a request that may have been sent to a worker continues: the client may retry and get
        its answer.
        """
        if request.waiting_clients is not None:
            if client in request.waiting_clients.clients:
                request.waiting_clients.clients.remove(client)
            self.reject_if_never_sent(request)
        elif request.client is not None:
            self._close(request, UnansweredEnd.CLIENT_DISCONNECTED)
            self._report_client_disconnected(request)
            self.requests.remove_if_ended(request)

    def reject_if_never_sent(self, request: Request) -> None:
        """Reject a request that no client waits for and that was sent to no worker.

        A client that retries is then told that the request has not run.
        """
        waiting = request.waiting_clients
        if waiting is None or waiting.clients or request.may_have_been_sent:
            return
        if request.client is not None and not request.has_active_attempt():
            self.answer(request, FinalAnswer.REJECTED)
            self._report_client_disconnected(request)

    def on_deadline(self, request: Request) -> None:
        """Answer a request that the decision logic has not answered in time."""
        if request.client is not None:
            log_line(f"request {request.request_id} was not answered in time by the decisions")
            self.answer_without_decision(request)

    def on_joined_client_deadline(self, request: Request, client: Client) -> None:
        """Answer a client that joined an open request and may wait less long; the request goes on."""
        waiting = request.waiting_clients
        if waiting is None or client not in waiting.clients:
            return
        waiting.clients.remove(client)
        is_idempotent = self.settings.idempotency(request.class_number) is Idempotency.IDEMPOTENT
        client.answer(FinalAnswer.REJECTED if is_idempotent else FinalAnswer.FAILED)
        self.reject_if_never_sent(request)

    def answer_without_decision(self, request: Request | None) -> None:
        """After a fault or at shutdown: reject what cannot have run or is idempotent, and fail the rest."""
        if request is None or request.client is None:
            return
        self.request_journal.request_ended(request, "answered", EndReason.NO_DECISION)
        idempotency = self.settings.idempotency(request.class_number)
        if request.may_have_been_sent and idempotency is not Idempotency.IDEMPOTENT:
            self.answer(request, FinalAnswer.FAILED)
        else:
            self.answer(request, FinalAnswer.REJECTED)
        self._report_client_disconnected(request)

    def give_up(self, request: Request) -> None:
        """Answer a request at once whose client sends so much that its end could not be noticed."""
        self.answer_without_decision(request)

    def answer_all(self) -> None:
        """Answer every open request because the process is about to exit."""
        for request in self.requests:
            try:
                self.answer_without_decision(request)
            except Exception:  # the others still wait for their answers
                log_line(f"request {request.request_id} could not be answered: {traceback.format_exc()}")

    def leave_all_to_leader(self) -> None:
        """Leave all open requests to the leader. Sent attempts continue; their outcomes are not needed."""
        for request in self.requests:
            if request.client is not None:
                self.leave_to_leader(request)
                self._report_client_disconnected(request)

    def leave_to_leader(self, request: Request) -> None:
        """Disconnect the clients of a request that another replica answers."""
        client = request.client
        if client is not None:
            self._close(request, UnansweredEnd.LEFT_TO_LEADER)
        if self.recorder is not None:
            self.recorder.forget(request)
        if client is not None:
            client.disconnect()
        self.requests.remove_if_ended(request)

    def _close(self, request: Request, end: RequestEnd) -> None:
        """Count the end, and send nothing more for the request."""
        request.client = None
        self.counters.count_end(self.settings.class_name(request.class_number), end)
        self.deadlines.cancel(request.answer_deadline)
        for attempt in request.attempts:
            if attempt is not None:
                attempt.withhold()

    def _report_client_disconnected(self, request: Request) -> None:
        event = partial(self.dispatcher.client_disconnected, request.number)
        self.events.emit(event, request.number)
