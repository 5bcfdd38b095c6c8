"""Commits requests, attempts and answers to the store's request log before they take effect."""

from collections.abc import Callable
from functools import partial

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.decisions.settings import Idempotency, RetryScope
from ploverspoke.protocol.clients import HttpRequest
from ploverspoke.protocol.errors import RequestIdInUseError
from ploverspoke.protocol.wire_names import REQUEST_ID
from ploverspoke.transport.memory_account import MemoryHolding, MemoryKind
from ploverspoke.transport.units import LONG_AGO, SECOND

from .answers import Client, RecordedAnswer
from .context import RouterPart, RoutingContext
from .request_digest import DigestMatch, compare_digests
from .request_log import CommitCallback, PreviousOutcome, RequestLog, WaitingClients
from .requests import Request

LOG_SHARE = 0.8  # of the account of memory, for the log
COUNTED_SHARE = 0.5  # of the account: clients may use the rest even if the log is full
UNKNOWN_WORKER = "\0"  # no endpoint list has it
FULL_LOG_INTERVAL_NS = SECOND  # between requests that are let through while the log is full


class RequestRecorder(RouterPart):
    """The router's side of the request log; exists only where there is a store."""

    def __init__(self, context: RoutingContext, request_log: RequestLog) -> None:
        """`request_log` is the log of the store."""
        super().__init__(context)
        self.request_log = request_log
        self.memory_held = MemoryHolding(self.pool.monitor.memory, MemoryKind.REQUEST_LOG)
        self.admitted_at = LONG_AGO
        self.open_requests: dict[str, Request] = {}  # by request id, until the answer is committed

    def is_leader(self) -> bool:
        """Whether this replica may act as the leader: no other replica can be the leader now."""
        return self.request_log.is_leader()

    def leader_redirect(self) -> str | None:
        """The address to redirect clients to; None if this replica leads, "" if no leader is known."""
        return None if self.request_log.is_leader() else self.request_log.leader_address()

    def records_attempts(self, request: Request) -> bool:
        """Whether attempts are recorded; attempts of idempotent requests need no record."""
        return self.settings.idempotency(request.class_number) is not Idempotency.IDEMPOTENT

    def has_room(self) -> bool:
        """Whether the log may record one more request; counts what it holds in the account of memory.

        Only new answers make the log forget old ones, so a few requests are let through beyond its limit.
        """
        account_limit = self.pool.monitor.memory.limit
        held, now = self.request_log.held_bytes(), self.deadlines.now()
        self.memory_held.set(min(held, int(account_limit * COUNTED_SHARE)))
        if held >= account_limit * LOG_SHARE and now - self.admitted_at < FULL_LOG_INTERVAL_NS:
            return False
        self.admitted_at = now
        return True

    # ---- Requests ----

    def join_open_request(self, client: Client, message: HttpRequest) -> Request | None:
        """Let the client wait for the open request with the same id; None if there is none.

        Raises RequestIdInUseError if the open request with this id is a different one.
        """
        request = self.open_requests.get(message.headers[REQUEST_ID])
        if request is None:
            return None
        if request.digest != self._digest(message):
            raise RequestIdInUseError(reason="request-id is in use by another open request")
        # Joining is possible even while the answer is being committed: a new request would be sent again.
        assert request.waiting_clients is not None
        request.waiting_clients.clients.append(client)
        return request

    def is_recorded(self, request_id: str) -> bool:
        """Whether the log knows a request with this id."""
        return self.request_log.previous_outcome(request_id) is not None

    def recorded_answer(self, message: HttpRequest) -> RecordedAnswer | None:
        """The recorded answer of the request with this id; None if it is new or has none yet.

        Raises RequestIdInUseError if the id belongs to a different request, or to one of which the record of
        an older version does not say for whom it was, and whose result may be for nobody else.
        """
        previous = self.request_log.previous_outcome(message.headers[REQUEST_ID])
        if previous is None:
            return None
        match = compare_digests(previous.digest, self._digest(message))
        has_result = previous.answer is not None and bool(previous.answer.result)
        if match is DigestMatch.DIFFERENT:
            raise RequestIdInUseError(reason="request-id is in use by another recorded request")
        if match is DigestMatch.HEADERS_UNKNOWN and has_result:
            raise RequestIdInUseError(reason="request-id is in use, recorded without headers")
        return previous.answer

    def record_request(
        self,
        request: Request,
        client: Client,
        on_admitted: Callable[[], None],
        on_commit_failed: Callable[[], None],
    ) -> None:
        """Call `on_admitted` once the record of the request is committed.

        An idempotent request is admitted without a record, and a request that was recorded before is resumed.
        If the commit fails, `on_commit_failed` is called: the request may have been recorded nevertheless,
        and the leader then answers it.
        """
        request.digest = self._digest(request.message)
        request.client = request.waiting_clients = WaitingClients(client)
        self.open_requests[request.request_id] = request
        previous = self.request_log.previous_outcome(request.request_id)
        if previous is None:
            if self.settings.idempotency(request.class_number) is Idempotency.IDEMPOTENT:
                on_admitted()
                return
        elif self.request_log.resume(request.request_id, request.class_number):
            self._resume(request, previous)
            on_admitted()
            return

        def on_committed(is_committed: bool) -> None:
            if request.client is not None:
                (on_admitted if is_committed else on_commit_failed)()

        time_left = request.deadline - self.deadlines.now()
        self.request_log.record_request(
            request.request_id, request.class_number, request.digest, time_left, on_committed
        )

    def _resume(self, request: Request, previous: PreviousOutcome) -> None:
        """Continue after the attempts of another replica; the first that may have run restricts retries."""
        request.attempts = [None] * previous.attempt_count
        request.may_have_been_sent = previous.attempt_count > 0
        sent_at = self.deadlines.now() - previous.time_since_bound
        bound_worker = previous.bound_worker
        if bound_worker and previous.bound_group != self._retry_group(request, bound_worker):
            bound_worker = UNKNOWN_WORKER  # which workers drop duplicates of its attempt is not known
        event = partial(
            self.dispatcher.request_resumed,
            request.number,
            previous.attempt_count,
            bound_worker,
            sent_at,
        )
        self.events.emit(event, request.number)

    def forget(self, request: Request) -> None:
        """Remove a request that is answered or left to another replica."""
        if self.open_requests.get(request.request_id) is request:
            del self.open_requests[request.request_id]

    def _retry_group(self, request: Request, worker_name: str) -> str:
        """Name the workers that drop the duplicates of an attempt at this worker; "" if they are all or none.

        Numbers of zones differ between replicas, so the name is recorded.
        """
        request_class = self.settings.current.classes[request.class_number]
        worker = self.dispatcher.workers.get(worker_name)
        is_keyed = request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        if not is_keyed or request_class.retry_scope is RetryScope.ALL or worker is None:
            return ""
        if request_class.retry_scope is RetryScope.ZONE:
            return f"zone {self.settings.zone_name(worker.endpoint.zone)}"
        return f"rack {worker.endpoint.rack}"

    def _digest(self, message: HttpRequest) -> bytes:
        return self.request_log.digest(message.method, message.target, message.body, message.headers)

    # ---- Attempts and answers ----

    def record_attempt(self, request: Request, worker: str, index: int, on_committed: CommitCallback) -> None:
        """Commit that an attempt may be sent to the worker."""
        group = self._retry_group(request, worker)
        self.request_log.record_attempt(request.request_id, worker, index, on_committed, group)

    def record_outcome(self, request: Request, index: int, outcome: AttemptOutcome) -> None:
        """Record how an attempt ended; nothing waits for this commit."""
        self.request_log.record_attempt_outcome(request.request_id, index, outcome)

    def record_answer(self, request: Request, answer: RecordedAnswer, on_committed: CommitCallback) -> None:
        """Commit the final answer; the callback gets False if another answer was committed first."""
        self.request_log.record_answer(request.request_id, answer, request.digest, on_committed)
