"""Stand-in workers: the models of a fleet behind a listening socket for each worker.

Dispatchers are known by their addresses, so that zones, cuts and latencies can be played on loopback.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgspec

from ..models import event_records
from ..models.event_records import Event
from ..models.faults import ConnectionFaults, StoreFaults, WorkerFaults, ZoneCuts
from ..models.random_streams import RandomStreams
from ..models.request_schedule import ScheduledRequest, draw_schedule
from ..models.worker import Execution, Worker
from ..models.worker_fleet import RESET_WITHIN, IgnoringListener, WorkerFleet
from ..processes.addresses import bind_without_listening
from ..processes.capacity_check import descriptor_limit
from .fake_process import FakeProcess, FakeProcessSpec, send_message
from .http_wire import LAST_CHUNK, HttpMessage, HttpReader, HttpSyntaxError, encode_chunk, encode_response

BACKLOG = 256


class WorkerConnection(asyncio.Protocol):
    """One connection of a dispatcher; plays the listener of the run that it carries."""

    def __init__(self, there: "Listening") -> None:
        self.there = there
        self.fleet = there.fleet
        self.dispatcher = self.zone = -1
        self.reader = HttpReader()
        self.transport: asyncio.Transport | None = None
        self.run: Execution | None = None
        self.requests = 0
        self.silent = False  # whatever is written is swallowed
        self.traffic = there.fleet.counters.of(-1)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.dispatcher = self.fleet.dispatchers.get(transport.get_extra_info("peername")[0], -1)
        if self.dispatcher < 0:
            send_message({"fault": f"{self.there.worker.name} was called by somebody who is no dispatcher"})
            self.abort()
            return
        self.zone = self.dispatcher % len(self.fleet.e.zones())
        self.there.connections.add(self)
        self.traffic = self.fleet.counters.of(self.dispatcher)
        self.traffic.connected += 1
        self.traffic.connections += 1

    def data_received(self, data: bytes) -> None:
        self.traffic.bytes_out += len(data)
        try:
            for message in self.reader.feed(data):
                self.traffic.messages_out += 1
                delay = self.there.one_way(self.zone)
                if self.there.is_cut(self.zone):
                    self.silent = True
                elif delay:
                    clock = self.fleet.clock
                    clock.at(clock.now() + delay, self._message, message)
                else:
                    self._message(message)
        except HttpSyntaxError as error:
            send_message({"fault": f"{self.there.worker.name} was sent: {error}"})
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.there.connections.discard(self)
        self.traffic.connections -= 1
        self.transport = None
        run = self.run
        if run is not None and not run.over:
            self._note_closed(run)
            if self.there.worker.up and not self.there.is_cut(self.zone):
                self.there.worker.cancel(run)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # ---- Requests ----

    def _message(self, message: HttpMessage) -> None:
        self.requests += 1
        worker = self.there.worker
        if self.transport is None or not worker.up:
            return
        method, _, rest = message.first.partition(" ")
        if method == "GET":
            self._probe(rest.split(" ")[0])
            return
        submission = message.headers.get("request-id", "")
        job = self.fleet.job(submission)
        if job is None:
            self._write(encode_response(404 if not submission else 400, "No", b""))
            send_message({"fault": f"{worker.name} was sent an id that no client sent: {submission!r}"})
            return
        draws, connections = self.fleet.draws, self.fleet.connections
        if self.requests > 1 and draws.happens(ConnectionFaults.share(connections.drops, worker.name)):
            self.abort()
            return
        label = message.headers.get("job-label", "")
        run = Execution(submission, job, self.dispatcher, self, label)
        self.run = run
        if draws.happens(ConnectionFaults.share(connections.silences, worker.name)):
            self.silent = True
            if draws.happens(0.5):
                return
        elif draws.happens(ConnectionFaults.share(connections.resets, worker.name)):
            after = int(draws.fraction() * RESET_WITHIN)
            self.fleet.clock.at(self.fleet.clock.now() + after, self._reset, run)
        worker.take(run)

    def _reset(self, run: Execution) -> None:
        if self.run is run and not run.over:
            self.abort()

    def _probe(self, path: str) -> None:
        self.traffic.probes += 1
        worker = self.there.worker
        if worker.frozen:
            worker.while_frozen.append((self._probe, path))
        elif path == "/-/load":
            self._write(encode_response(200, "OK", msgspec.json.encode(worker.report())))
        elif path == "/-/healthy":
            self._write(encode_response(200, "OK", b""))
        else:
            self._write(encode_response(404, "Not Found", b""))

    # ---- What the model tells ----

    def run_started(self, run: Execution) -> None:
        self._line(run, {"state": "started"}, first=True)

    def run_progressed(self, run: Execution, share: float) -> None:
        self._line(run, {"state": "running", "share": share})

    def run_ended(self, run: Execution, how: str) -> None:
        if how == "lost":
            self.abort()
        elif how == "returned" and not run.begun:
            self._write(encode_response(503, "Service Unavailable", b"", "Not-Started: 1\r\n"))
        elif how == "done":
            first = not (run.begun and self.there.worker.rules.reports_start)
            self._line(run, {"state": "done", "result": f"{run.submission} done"}, first, last=True)
        else:
            first = not (run.begun and self.there.worker.rules.reports_start)
            self._line(run, {"state": how}, first, last=True)

    def _line(self, run: Execution, said: dict[str, Any], first: bool = False, last: bool = False) -> None:
        if self.run is not run:
            return
        text = msgspec.json.encode({"id": run.submission, "from": self.there.worker.name, **said}) + b"\n"
        if said["state"] == "running" and not self.silent:
            self.traffic.progress_bytes += len(encode_chunk(text))
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" if first else b""
        self._write(head + encode_chunk(text) + (LAST_CHUNK if last else b""))

    def _write(self, data: bytes) -> None:
        if self.silent or self.transport is None:
            return
        if self.there.is_cut(self.zone):
            self.silent = True
            return
        delay = self.there.one_way(self.zone)
        if delay:
            self.fleet.clock.at(self.fleet.clock.now() + delay, self._write_now, data)
        else:
            self._count(data)
            self.transport.write(data)

    def _write_now(self, data: bytes) -> None:
        if self.transport is not None and not self.silent:
            self._count(data)
            self.transport.write(data)

    def _count(self, data: bytes) -> None:
        self.traffic.bytes_in += len(data)
        self.traffic.messages_in += 1

    def _note_closed(self, run: Execution) -> None:
        there, now = self.there, self.fleet.clock.now()
        if run.serial:
            name = there.worker.name
            self.fleet.seen.add(
                Event(
                    now,
                    event_records.ATTEMPT_CLOSED,
                    run.submission,
                    run.job.number,
                    self.dispatcher,
                    name,
                    run.serial,
                )
            )


class Listening:
    """One worker's socket. Its port stays taken while the worker is down."""

    def __init__(self, fleet: "FakeWorkers", worker: Worker) -> None:
        self.fleet = fleet
        self.worker = worker
        zones = range(len(fleet.e.zones()))
        # Within a zone it is the machine's own.
        self.more = [max(0, fleet.e.one_way(zone, worker.zone) - fleet.e.network.same_zone) for zone in zones]
        self.connections: set[WorkerConnection] = set()
        self.server: asyncio.Server | None = None
        self.host = fleet.spec.own_hosts["workers"]
        self.held = bind_without_listening(self.host, 0)
        self.port: int = self.held.getsockname()[1]

    async def open(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: WorkerConnection(self), sock=bind_without_listening(self.host, self.port), backlog=BACKLOG
        )

    def close(self) -> None:
        """The process has died: nothing listens, connections are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.abort()

    def one_way(self, zone: int) -> int:
        return self.more[zone]

    def is_cut(self, zone: int) -> bool:
        return self.fleet.cuts is not None and self.fleet.cuts.between(zone, self.worker.zone)


class FakeWorkers(FakeProcess):
    """All workers of some zones: racks and the store are shared among those of one process."""

    def __init__(self, spec: FakeProcessSpec, part: int) -> None:
        super().__init__(spec, part)
        self.jobs: list[ScheduledRequest] = draw_schedule(self.e, self.seed)
        self.fleet = WorkerFleet(self.e, self.seed, self.clock, self.seen)
        self.fleet.workers = {
            name: worker
            for name, worker in self.fleet.workers.items()
            if worker.zone % spec.worker_processes == part
        }
        self.draws = RandomStreams(self.seed).draws("sockets")
        self.connections = ConnectionFaults()
        self.nobody = IgnoringListener()
        self.tasks: set[asyncio.Task[None]] = set()
        self.dispatchers = {host: number for number, host in enumerate(spec.hosts)}
        self.listening = {name: Listening(self, worker) for name, worker in self.fleet.workers.items()}
        self.cuts: ZoneCuts | None = None  # before the run nothing is cut

    def moved(self, by: int) -> None:
        super().moved(by)
        for worker in self.fleet.workers.values():
            worker.last_reports.clear()

    async def prepare(self) -> dict[str, Any]:
        descriptor_limit()
        for there in self.listening.values():
            await there.open()
        return {"addresses": {name: f"{there.host}:{there.port}" for name, there in self.listening.items()}}

    def begin(self, told: dict[str, Any]) -> None:
        self.cuts = ZoneCuts(self.e, self.clock)
        workers = list(self.fleet.workers.values())
        troubles = WorkerFaults(
            self.e, self.seed, self.clock, workers, self.connections, self._died, self._returned
        )
        troubles.on_fall = lambda worker: send_message({"fell": worker})
        troubles.on_back = lambda worker: send_message({"back": worker})
        StoreFaults(self.e, self.clock, self.fleet.store)

    def counts(self) -> dict[str, Any]:
        return {
            "running": sum(len(worker.running) for worker in self.fleet.workers.values()),
            "workers": {
                name: [_state(worker), worker.load(), worker.serial]
                for name, worker in self.fleet.workers.items()
            },
        }

    def job(self, submission: str) -> ScheduledRequest | None:
        number, dash, _ = submission.partition("-")
        try:
            return self.jobs[int(number, 16)] if dash else None
        except (ValueError, IndexError):
            return None

    def _died(self, worker: Worker) -> None:
        self.listening[worker.name].close()

    def _returned(self, worker: Worker) -> None:
        task = self.loop.create_task(self.listening[worker.name].open())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _state(worker: Worker) -> str:
    if not worker.up:
        return "down"
    if worker.frozen:
        return "hung"
    if worker.warm_at > worker.clock.now():
        return "cold"
    return "slow" if worker.slowed else "up"


KIND: Callable[[FakeProcessSpec, int], FakeProcess] = FakeWorkers
