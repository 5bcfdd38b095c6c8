"""Fake clients of an experiment: one process sends its share of the schedule, on persistent connections."""

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

TEMPORARY_REDIRECT = 307  # sent by a store replica that is not the leader
SERVICE_UNAVAILABLE = 503
NO_LEADER_BODY = b"no replica leads"
OUTCOMES = {200: SUCCEEDED, 503: REJECTED, 429: REJECTED, 504: FAILED}  # by HTTP status
# A reused connection that ends this soon after a request was sent is taken to have been closed as idle before
# the dispatcher read the request.
IDLE_CLOSE_RACE_NS = 20 * MILLISECOND
# From this long after the start of a dispatcher's restart, clients open no new connections to it.
RESTART_NOTICE_NS = 300 * MILLISECOND


class ClientConnection(CountedConnection):
    """A persistent connection to a dispatcher that carries one request at a time."""

    def __init__(self, clients: "FakeClients", dispatcher: int) -> None:
        """Create the protocol of a connection that is not open yet."""
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
        """Pass the received responses to the client model."""
        try:
            super().data_received(data)
        except (HttpSyntaxError, ValueError) as error:
            send_message(FaultReport(f"a dispatcher's response: {error}"))
            self.abort()

    def on_message(self, message: HttpMessage) -> None:
        """Pass a response to the client model.

        Raises:
            ValueError: the status, the `Location` header or the `Retry-After` header is invalid.
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
            # No replica has accepted the request, so this does not count as a rejection.
            self.clients.release(self)
            self.clients.model.connect_failed(request)
        else:
            self._on_final_response(request, status, message)

    def _on_final_response(self, request: ClientRequest, status: int, message: HttpMessage) -> None:
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
        """Resend a request that raced with the close of an idle connection; record any other as broken."""
        super().connection_lost(exc)
        self.clients.remove(self)
        request, self.request = self.request, None
        if request is None or request.is_over:
            return
        is_idle_close_race = (
            self.requests_sent > 1
            and self.clients.clock.now() - self.sent_at < IDLE_CLOSE_RACE_NS
            and not self.reader.has_partial_message()
        )
        if is_idle_close_race and not self.clients.experiment.dispatchers.store:
            self.clients.connect(request, is_resend=True)
        else:
            self.clients.on_connection_broken(request)


class FakeClients(FakeProcess):
    """One of the processes of fake clients."""

    def __init__(self, spec: FakeProcessSpec, number: int) -> None:
        """Take every n-th job of the schedule, where n is the number of client processes."""
        super().__init__(spec, number)
        experiment = self.experiment
        jobs = draw_schedule(experiment, self.seed)[number :: spec.client_processes]
        self.model = Clients(self.context, jobs, self, number)
        self.job_count = len(jobs)
        self.idle_connections: dict[int, list[ClientConnection]] = {
            n: [] for n in range(experiment.dispatchers.count)
        }
        self.dispatcher_addresses: list[str] = []  # by number
        self.outcomes: Counter[str] = Counter()
        self.request_heads = [
            f"POST /{request_class.name} HTTP/1.1\r\nHost: testbed\r\nContent-Length: 4\r\n"
            for request_class in experiment.request_classes
        ]
        self.restarts = [  # start and end of the time without new connections (ns), dispatcher
            (start + RESTART_NOTICE_NS, end, dispatcher)
            for start, end, dispatcher, kind in dispatcher_outages(experiment, self.seed)
            if kind is OutageKind.RESTARTED
        ]
        self.tasks: set[asyncio.Task[None]] = set()

    async def prepare(self) -> ClientsReady:
        """Return the number of jobs; connections are opened when they are needed."""
        return ClientsReady(self.job_count)

    def on_run_start(self, command: FakeCommand) -> None:
        """Start sending the scheduled requests."""
        self.dispatcher_addresses = command.dispatchers
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
        """Send a request on an idle connection, or on a new one if none is idle."""
        idle = self.idle_connections[request.target]
        if idle:
            idle.pop().send(request)
        elif self._is_restarting(request.target):
            self.model.connect_failed(request)
        else:
            self.connect(request)

    def _is_restarting(self, dispatcher: int) -> bool:
        now = self.clock.now()
        return any(start <= now < end and number == dispatcher for start, end, number in self.restarts)

    def connect(self, request: ClientRequest, is_resend: bool = False) -> None:
        """Send the request on a new connection."""
        task = self.loop.create_task(self._connect(request, is_resend))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, request: ClientRequest, is_resend: bool) -> None:
        connection = ClientConnection(self, request.target)
        host, _, port = self.dispatcher_addresses[request.target].rpartition(":")
        try:
            await self.loop.create_connection(lambda: connection, host, int(port))
        except OSError:
            if is_resend:
                self.on_connection_broken(request)
            else:
                self.model.connect_failed(request)
            return
        if request.expects_answer() and connection.transport is not None:
            connection.send(request)
            return
        connection.abort()
        if not request.is_over:
            self.on_connection_broken(request)

    def dispatcher_at(self, location: str) -> int:
        """Return the number of the dispatcher whose address is in a redirect URL.

        Raises:
            ValueError: no dispatcher has that address.
        """
        return self.dispatcher_addresses.index(location.split("/")[2])

    def on_connection_broken(self, request: ClientRequest) -> None:
        """Record a request whose connection ended without a response."""
        self.outcomes[BROKEN] += 1
        self.model.answered(request, BROKEN)

    def release(self, connection: ClientConnection) -> None:
        """Keep a connection, if it is still open, for later requests."""
        if connection.transport is not None and not connection.transport.is_closing():
            self.idle_connections[connection.dispatcher].append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the idle ones."""
        idle = self.idle_connections[connection.dispatcher]
        if connection in idle:
            idle.remove(connection)

    def close(self, request: ClientRequest) -> None:
        """Close the connection of a request whose response is no longer needed."""
        connection = request.connection
        if isinstance(connection, ClientConnection) and connection.request is request:
            connection.request = None
            connection.abort()
