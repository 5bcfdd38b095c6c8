"""Stand-in clients: one process's part of the schedule, over connections that are kept and used again."""

import asyncio
from collections import Counter
from typing import Any, cast

from ..experiment_files.durations import MILLISECOND
from ..models.clients import ClientRequest, Clients
from ..models.dispatcher_outages import dispatcher_outages
from ..models.request_schedule import draw_schedule
from .fake_process import FakeProcess, FakeProcessSpec, send_message
from .http_wire import HttpReader, HttpSyntaxError

SENT_ON = 307
HOWS = {200: "satisfied", 503: "nacked", 429: "nacked", 504: "abandoned"}
CROSSED = 20 * MILLISECOND  # an end without an answer so soon on a kept connection: it crossed our request
FRONT_NOTICES = 300 * MILLISECOND  # that a dispatcher is leaving, and sends it no new connections


class ClientConnection(asyncio.Protocol):
    def __init__(self, clients: "FakeClients", dispatcher: int) -> None:
        self.clients = clients
        self.dispatcher = dispatcher
        self.reader = HttpReader()
        self.transport: asyncio.Transport | None = None
        self.request: ClientRequest | None = None
        self.used = 0
        self.wrote_at = 0
        self.traffic = clients.counters.of(dispatcher)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.traffic.connected += 1
        self.traffic.connections += 1

    def carry(self, request: ClientRequest) -> None:
        assert self.transport is not None
        self.request = request
        request.connection = self
        self.used += 1
        self.wrote_at = self.clients.clock.now()
        data = self.clients.message(request)
        self.traffic.bytes_in += len(data)
        self.traffic.messages_in += 1
        self.transport.write(data)
        self.clients.model.taken(request)

    def data_received(self, data: bytes) -> None:
        self.traffic.bytes_out += len(data)
        try:
            for message in self.reader.feed(data):
                self.traffic.messages_out += 1
                request, self.request = self.request, None
                if request is None:
                    send_message({"fault": f"an answer that nobody waits for: {message.first[:40]!r}"})
                    continue
                status = int(message.first.split(" ")[1])
                if status == SENT_ON:
                    self.clients.rest(self)
                    self.clients.model.sent_on(
                        request, self.clients.dispatcher_at(message.headers["location"])
                    )
                    continue
                if status == 503 and message.body == b"no replica leads":
                    # Nobody has taken it: that is no nack, it is brought again.
                    self.clients.rest(self)
                    self.clients.model.never_taken(request)
                    continue
                come_back = float(message.headers.get("retry-after", 0))
                how = HOWS.get(status, "rejected")
                if how == "satisfied" and message.body != f"{request.id} done".encode():
                    send_message({"fault": f"{request.id} was answered with another's result"})
                    how = "rejected"
                if message.headers.get("connection", "") != "close":
                    self.clients.rest(self)
                self.clients.count[how] += 1
                self.clients.model.answered(request, how, int(come_back * 1e9))
        except (HttpSyntaxError, ValueError) as error:
            send_message({"fault": f"a dispatcher's answer: {error}"})
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.traffic.connections -= 1
        self.clients.forget(self)
        request, self.request = self.request, None
        if request is None or request.over:
            return
        if self.clients.e.dispatchers.store:
            self.clients.broke(request)
            return
        soon = self.clients.clock.now() - self.wrote_at < CROSSED
        if self.used > 1 and soon and not self.reader.is_inside():
            self.clients.connect(request, again=True)
        else:
            self.clients.broke(request)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class FakeClients(FakeProcess):
    def __init__(self, spec: FakeProcessSpec, part: int) -> None:
        super().__init__(spec, part)
        jobs = draw_schedule(self.e, self.seed)[part :: spec.clients]
        self.model = Clients(self.e, self.seed, jobs, self.clock, self.seen, self._send, self._close, part)
        self.jobs = len(jobs)
        self.idle: dict[int, list[ClientConnection]] = {d: [] for d in range(self.e.dispatchers.count)}
        self.dispatchers: list[str] = []
        self.count: Counter[str] = Counter()
        self.heads = [
            f"POST /{g.name} HTTP/1.1\r\nHost: testbed\r\nContent-Length: 4\r\n"
            for g in self.e.request_classes
        ]
        self.leaving = [
            (begin + FRONT_NOTICES, end, d)
            for begin, end, d, how in dispatcher_outages(self.e, self.seed)
            if how == "restarted"
        ]
        self.tasks: set[asyncio.Task[None]] = set()

    async def prepare(self) -> dict[str, Any]:
        return {"jobs": self.jobs}

    def begin(self, told: dict[str, Any]) -> None:
        self.dispatchers = told["dispatchers"]
        self.model.start()

    def counts(self) -> dict[str, Any]:
        return {
            "answers": dict(self.count),
            "sent": self.model.next,
            "out": self.model.out,
            "behind": self.model.latest,
        }

    def message(self, request: ClientRequest) -> bytes:
        job = request.job
        left = max(1, (request.abandon_at - self.clock.now()) // MILLISECOND)
        lines = [f"Request-Id: {request.id}\r\nRequest-Timeout-Ms: {left}\r\n"]
        if job.affinity_key:
            lines.append(f"Affinity-Key: {job.affinity_key}\r\n")
        if job.slots != 1.0:
            lines.append(f"Request-Info: slots={job.slots:g}\r\n")
        if request.label:
            lines.append(f"Job-Label: {request.label}\r\n")
        lines.append(f"Tenant: {self.e.tenants[job.tenant].name}\r\n\r\nwork")
        return (self.heads[job.request_class] + "".join(lines)).encode("latin-1")

    # ---- Connections ----

    def _send(self, request: ClientRequest) -> None:
        idle = self.idle[request.asked_at]
        if idle:
            idle.pop().carry(request)
            return
        now = self.clock.now()
        if any(begin <= now < end and d == request.asked_at for begin, end, d in self.leaving):
            self.model.never_taken(request)
        else:
            self.connect(request)

    def connect(self, request: ClientRequest, again: bool = False) -> None:
        task = self.loop.create_task(self._connect(request, again))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, request: ClientRequest, again: bool) -> None:
        connection = ClientConnection(self, request.asked_at)
        try:
            host, _, port = self.dispatchers[request.asked_at].rpartition(":")
            await self.loop.create_connection(lambda: connection, host, int(port))
        except OSError:
            if again:
                self.broke(request)
            else:
                self.model.never_taken(request)
            return
        if not request.is_asked() or connection.transport is None:
            connection.close()
            if not request.over:
                self.broke(request)
        else:
            connection.carry(request)

    def dispatcher_at(self, location: str) -> int:
        """Of a URL that another replica gave."""
        return self.dispatchers.index(location.split("/")[2])

    def broke(self, request: ClientRequest) -> None:
        self.count["broken"] += 1
        self.model.answered(request, "broken")

    def rest(self, connection: ClientConnection) -> None:
        if connection.transport is not None and not connection.transport.is_closing():
            self.idle[connection.dispatcher].append(connection)

    def forget(self, connection: ClientConnection) -> None:
        idle = self.idle[connection.dispatcher]
        if connection in idle:
            idle.remove(connection)

    def _close(self, request: ClientRequest) -> None:
        connection = request.connection
        if isinstance(connection, ClientConnection) and connection.request is request:
            connection.request = None
            connection.close()
