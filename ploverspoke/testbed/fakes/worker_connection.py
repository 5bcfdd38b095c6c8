"""A dispatcher's connection to a fake worker of an experiment: HTTP in front of the worker's model."""

import asyncio
from typing import TYPE_CHECKING

from ..models import event_records
from ..models.connection_faults import ARRIVAL_PROBABILITY, MAX_RESET_DELAY
from ..models.event_records import Event, ExecutionEnd
from ..models.execution import Execution
from ..models.request_schedule import ScheduledRequest
from .dispatcher_connection import NO_DISPATCHER, DispatcherConnection
from .http_wire import HttpMessage, HttpSyntaxError, encode_response
from .worker_protocol import (
    LoadReport,
    RunUpdate,
    encode_load_report,
    encode_not_started,
    encode_run_update,
)

if TYPE_CHECKING:
    from .worker_server import WorkerListener


class WorkerConnection(DispatcherConnection):
    """One connection of a dispatcher; the listener of the run that it carries."""

    def __init__(self, listener: "WorkerListener") -> None:
        """A connection that is about to be made."""
        super().__init__(listener.workers, listener.worker.name)
        self.listener = listener
        self.worker = listener.worker
        self.workers = listener.workers
        self.zone = -1
        self.run: Execution | None = None
        self.requests = 0
        self.is_silent = False  # whatever is written is dropped

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Identify the dispatcher and its zone."""
        super().connection_made(transport)
        if self.dispatcher != NO_DISPATCHER:
            self.zone = self.dispatcher % len(self.workers.experiment.zones())
            self.listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Take in requests, each after the latency of the network."""
        try:
            super().data_received(data)
        except HttpSyntaxError as error:
            self.report_fault(f"was sent: {error}")
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the run, unless a cut hides the end of the connection."""
        self.listener.connections.discard(self)
        super().connection_lost(exc)
        run = self.run
        if run is not None and not run.is_over:
            self._record_closed(run)
            if self.worker.is_up and not self.listener.is_cut(self.zone):
                self.worker.cancel(run)

    # ---- Requests ----

    def on_message(self, message: HttpMessage) -> None:
        """Serve a request after the latency of the network."""
        delay = self.listener.one_way_delay(self.zone)
        if self.listener.is_cut(self.zone):
            self.is_silent = True
        elif delay:
            clock = self.workers.clock
            clock.call_at(clock.now() + delay, self._serve, message)
        else:
            self._serve(message)

    def _serve(self, message: HttpMessage) -> None:
        self.requests += 1
        if self.transport is None or not self.worker.is_up:
            return
        if message.method == "GET":
            self._on_probe(message.target)
            return
        request_id = message.headers.get("request-id", "")
        job = self.workers.job(request_id)
        if job is None:
            self._write(encode_response(404 if not request_id else 400, "No", b""))
            self.report_fault(f"was sent an id that no client sent: {request_id!r}")
            return
        draws, faults = self.workers.draws, self.workers.connections
        if self.requests > 1 and faults.idle_drops.strikes(self.worker.name, draws):
            self.abort()
            return
        self._begin_run(request_id, job, message.headers.get("job-label", ""))

    def _begin_run(self, request_id: str, job: ScheduledRequest, label: str) -> None:
        """Hand the request to the model, unless the connection falls silent first."""
        draws, faults, clock = self.workers.draws, self.workers.connections, self.workers.clock
        run = Execution(request_id, job, self.dispatcher, self, label)
        self.run = run
        if faults.silences.strikes(self.worker.name, draws):
            self.is_silent = True
            if draws.happens(ARRIVAL_PROBABILITY):
                return
        elif faults.resets.strikes(self.worker.name, draws):
            clock.call_at(clock.now() + int(draws.fraction() * MAX_RESET_DELAY), self._reset, run)
        self.worker.accept(run)

    def _reset(self, run: Execution) -> None:
        if self.run is run and not run.is_over:
            self.abort()

    def _on_probe(self, path: str) -> None:
        self.traffic.probes += 1
        if self.worker.is_hung:
            self.worker.defer(self._on_probe, path)
        elif path == "/-/load":
            report = self.worker.report()
            self._write(encode_load_report(LoadReport(report.queue_length, report.free_slots)))
        elif path == "/-/healthy":
            self._write(encode_response(200, "OK", b""))
        else:
            self._write(encode_response(404, "Not Found", b""))

    # ---- Reports of the model ----

    def run_started(self, run: Execution) -> None:
        """Send that it has started."""
        self._send_update(run, RunUpdate(run.request_id, self.worker.name, "started"), is_first=True)

    def run_progressed(self, run: Execution, share: float) -> None:
        """Send the share that is done."""
        self._send_update(run, RunUpdate(run.request_id, self.worker.name, "running", share))

    def run_ended(self, run: Execution, end: ExecutionEnd) -> None:
        """Send the end of the run, or reset the connection where it was lost."""
        is_first = not (run.has_started and self.worker.options.reports_start)
        if end is ExecutionEnd.LOST:
            self.abort()
        elif end is ExecutionEnd.RETURNED and not run.has_started:
            self._write(encode_not_started())
        elif end is ExecutionEnd.DONE:
            result = f"{run.request_id} done"
            update = RunUpdate(run.request_id, self.worker.name, "done", result=result)
            self._send_update(run, update, is_first, is_last=True)
        else:
            update = RunUpdate(run.request_id, self.worker.name, end.value)
            self._send_update(run, update, is_first, is_last=True)

    def _send_update(
        self, run: Execution, update: RunUpdate, is_first: bool = False, is_last: bool = False
    ) -> None:
        if self.run is not run:
            return
        if update.state == "running" and not self.is_silent:
            self.traffic.progress_bytes += len(encode_run_update(update))
        self._write(encode_run_update(update, is_first=is_first, is_last=is_last))

    def _write(self, data: bytes) -> None:
        if self.is_silent or self.transport is None:
            return
        if self.listener.is_cut(self.zone):
            self.is_silent = True
            return
        delay = self.listener.one_way_delay(self.zone)
        if delay:
            clock = self.workers.clock
            clock.call_at(clock.now() + delay, self._write_now, data)
        else:
            self._write_now(data)

    def _write_now(self, data: bytes) -> None:
        if not self.is_silent:
            self.write(data)

    def _record_closed(self, run: Execution) -> None:
        if run.serial:
            closed = Event(
                self.workers.clock.now(),
                event_records.ATTEMPT_CLOSED,
                run.request_id,
                run.job.number,
                self.dispatcher,
                self.worker.name,
                run.serial,
            )
            self.workers.records.add(closed)
