"""The fake clients of an experiment: one process's part of the schedule, over persistent connections."""

import asyncio
from collections import Counter

from ..experiment_files.durations import MILLISECOND, SECOND
from ..models.clients import ClientRequest, Clients
from ..models.dispatcher_outages import OutageKind, dispatcher_outages
from ..models.event_records import BROKEN, FAILED, INVALID_ANSWER, REJECTED, SUCCEEDED
from ..models.request_schedule import draw_schedule
from ..processes.pipe_messages import send_message
from .fake_messages import ClientsReady, ClientsStatus, FakeCommand, FakeProcessSpec, FaultReport
from .fake_process import FakeProcess
from .http_connection import CountedConnection
from .http_wire import HttpMessage, HttpSyntaxError

TEMPORARY_REDIRECT = 307  # the replica that leads the store is elsewhere
SERVICE_UNAVAILABLE = 503
NO_LEADER_BODY = b"no replica leads"
OUTCOMES = {200: SUCCEEDED, 503: REJECTED, 429: REJECTED, 504: FAILED}  # by status
CROSSING_TIME = 20 * MILLISECOND  # an idle connection that ends so soon after a request crossed it
LEAVING_NOTICE = 300 * MILLISECOND  # after which no new connections go to a dispatcher that is leaving


class ClientConnection(CountedConnection):
    """One persistent connection to a dispatcher; it carries one request at a time."""

    def __init__(self, clients: "FakeClients", dispatcher: int) -> None:
        """A connection that is about to be made."""
        super().__init__(clients.counters, dispatcher)
        self.clients = clients
        self.request: ClientRequest | None = None
        self.requests_sent = 0
        self.sent_at = 0

    def send(self, request: ClientRequest) -> None:
        """Send a request."""
        assert self.transport is not None
        self.request = request
        request.connection = self
        self.requests_sent += 1
        self.sent_at = self.clients.clock.now()
        self.write(self.clients.encode_request(request))
        self.clients.model.accepted(request)

    def data_received(self, data: bytes) -> None:
        """Hand the responses in it to the model."""
        try:
            super().data_received(data)
        except (HttpSyntaxError, ValueError) as error:
            send_message(FaultReport(f"a dispatcher's response: {error}"))
            self.abort()

    def on_message(self, message: HttpMessage) -> None:
        """Hand a response to the model.

        Raises:
            ValueError: its status, or a header that belongs to it, is invalid.
        """
        request, self.request = self.request, None
        if request is None:
            send_message(FaultReport(f"an unexpected response: {message.start_line[:40]!r}"))
        else:
            self._on_response(request, message)

    def _on_response(self, request: ClientRequest, message: HttpMessage) -> None:
        status = message.status
        if status == TEMPORARY_REDIRECT:
            self.clients.release(self)
            leader = self.clients.dispatcher_at(message.headers["location"])
            self.clients.model.redirected(request, leader)
        elif status == SERVICE_UNAVAILABLE and message.body == NO_LEADER_BODY:
            # No replica has taken the request: that does not count as a rejection.
            self.clients.release(self)
            self.clients.model.connect_failed(request)
        else:
            self._on_final_answer(request, status, message)

    def _on_final_answer(self, request: ClientRequest, status: int, message: HttpMessage) -> None:
        retry_after = float(message.headers.get("retry-after", 0))
        outcome = OUTCOMES.get(status, INVALID_ANSWER)
        if outcome == SUCCEEDED and message.body != f"{request.id} done".encode():
            send_message(FaultReport(f"{request.id} was answered with another's result"))
            outcome = INVALID_ANSWER
        if message.headers.get("connection", "") != "close":
            self.clients.release(self)
        self.clients.outcomes[outcome] += 1
        self.clients.model.answered(request, outcome, int(retry_after * SECOND))

    def connection_lost(self, exc: Exception | None) -> None:
        """Send the request again where it crossed the end of an idle connection, else it is broken."""
        super().connection_lost(exc)
        self.clients.forget(self)
        request, self.request = self.request, None
        if request is None or request.is_over:
            return
        has_crossed = (
            self.requests_sent > 1
            and self.clients.clock.now() - self.sent_at < CROSSING_TIME
            and not self.reader.has_partial_message()
        )
        if has_crossed and not self.clients.experiment.dispatchers.store:
            self.clients.connect(request, is_resend=True)
        else:
            self.clients.on_broken(request)


class FakeClients(FakeProcess):
    """One process of clients."""

    def __init__(self, spec: FakeProcessSpec, part: int) -> None:
        """Every n-th job of the schedule, for n processes."""
        super().__init__(spec, part)
        experiment = self.experiment
        jobs = draw_schedule(experiment, self.seed)[part :: spec.clients]
        self.model = Clients(self.context, jobs, self, part)
        self.job_count = len(jobs)
        self.idle: dict[int, list[ClientConnection]] = {n: [] for n in range(experiment.dispatchers.count)}
        self.dispatchers: list[str] = []
        self.outcomes: Counter[str] = Counter()
        self.request_heads = [
            f"POST /{request_class.name} HTTP/1.1\r\nHost: testbed\r\nContent-Length: 4\r\n"
            for request_class in experiment.request_classes
        ]
        self.leaving = [
            (begin + LEAVING_NOTICE, end, dispatcher)
            for begin, end, dispatcher, kind in dispatcher_outages(experiment, self.seed)
            if kind is OutageKind.RESTARTED
        ]
        self.tasks: set[asyncio.Task[None]] = set()

    async def prepare(self) -> ClientsReady:
        """Return the number of jobs; connections are made when they are needed."""
        return ClientsReady(self.job_count)

    def begin(self, command: FakeCommand) -> None:
        """Send what the schedule says."""
        self.dispatchers = command.dispatchers
        self.model.start()

    def status(self) -> ClientsStatus:
        """Return the counts of requests by outcome."""
        return ClientsStatus(
            answers=dict(self.outcomes),
            sent=self.model.sent_count,
            unanswered=self.model.open_count,
            lag=self.model.max_lateness,
        )

    def encode_request(self, request: ClientRequest) -> bytes:
        """Return the request as HTTP."""
        job = request.job
        timeout_ms = max(1, (request.deadline - self.clock.now()) // MILLISECOND)
        lines = [f"Request-Id: {request.id}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"]
        if job.affinity_key:
            lines.append(f"Affinity-Key: {job.affinity_key}\r\n")
        if job.slots != 1.0:
            lines.append(f"Request-Info: slots={job.slots:g}\r\n")
        if request.idempotency_key:
            lines.append(f"Job-Label: {request.idempotency_key}\r\n")
        lines.append(f"Tenant: {self.experiment.tenants[job.tenant].name}\r\n\r\nwork")
        return (self.request_heads[job.request_class] + "".join(lines)).encode("latin-1")

    # ---- Connections ----

    def send(self, request: ClientRequest) -> None:
        """Send a request on an idle connection, else on a new one."""
        idle = self.idle[request.target]
        if idle:
            idle.pop().send(request)
        elif self._is_leaving(request.target):
            self.model.connect_failed(request)
        else:
            self.connect(request)

    def _is_leaving(self, dispatcher: int) -> bool:
        now = self.clock.now()
        return any(begin <= now < end and number == dispatcher for begin, end, number in self.leaving)

    def connect(self, request: ClientRequest, is_resend: bool = False) -> None:
        """Send the request on a new connection."""
        task = self.loop.create_task(self._connect(request, is_resend))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, request: ClientRequest, is_resend: bool) -> None:
        connection = ClientConnection(self, request.target)
        host, _, port = self.dispatchers[request.target].rpartition(":")
        try:
            await self.loop.create_connection(lambda: connection, host, int(port))
        except OSError:
            if is_resend:
                self.on_broken(request)
            else:
                self.model.connect_failed(request)
            return
        if request.expects_answer() and connection.transport is not None:
            connection.send(request)
            return
        connection.abort()
        if not request.is_over:
            self.on_broken(request)

    def dispatcher_at(self, location: str) -> int:
        """Return the number of the dispatcher in a URL that another replica gave.

        Raises:
            ValueError: there is none.
        """
        return self.dispatchers.index(location.split("/")[2])

    def on_broken(self, request: ClientRequest) -> None:
        """Note a request whose connection ended without an answer."""
        self.outcomes[BROKEN] += 1
        self.model.answered(request, BROKEN)

    def release(self, connection: ClientConnection) -> None:
        """Keep an open connection for later requests."""
        if connection.transport is not None and not connection.transport.is_closing():
            self.idle[connection.dispatcher].append(connection)

    def forget(self, connection: ClientConnection) -> None:
        """Use a connection no more."""
        idle = self.idle[connection.dispatcher]
        if connection in idle:
            idle.remove(connection)

    def close(self, request: ClientRequest) -> None:
        """Close the connection of a request whose answer is no longer waited for."""
        connection = request.connection
        if isinstance(connection, ClientConnection) and connection.request is request:
            connection.request = None
            connection.abort()
