"""A dispatcher's connection to a fake worker of an experiment: HTTP in front of the worker model."""

import asyncio
from typing import TYPE_CHECKING

from ..models import event_records
from ..models.connection_faults import MAX_RESET_DELAY, SILENT_LOSS_PROBABILITY
from ..models.event_records import Event, ExecutionEnd
from ..models.execution import Execution
from ..models.request_schedule import ScheduledRequest
from .dispatcher_connection import NO_DISPATCHER, DispatcherConnection
from .http_wire import HttpMessage, HttpSyntaxError, encode_response
from .worker_protocol import (
    ExecutionUpdate,
    LoadReport,
    encode_execution_update,
    encode_load_report,
    encode_not_started,
)

if TYPE_CHECKING:
    from .worker_server import WorkerListener


class WorkerConnection(DispatcherConnection):
    """One connection of a dispatcher, and the listener of the execution whose request it carries."""

    def __init__(self, listener: "WorkerListener") -> None:
        """Create the protocol of a connection that is not open yet."""
        super().__init__(listener.workers, listener.worker.name)
        self.listener = listener
        self.worker = listener.worker
        self.workers = listener.workers
        self.zone = -1
        self.execution: Execution | None = None  # of the latest request
        self.request_count = 0
        self.is_silent = False  # all further output is dropped

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Identify the dispatcher and its zone."""
        super().connection_made(transport)
        if self.dispatcher != NO_DISPATCHER:
            self.zone = self.dispatcher % len(self.workers.experiment.zones())
            self.listener.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Serve the received requests; invalid HTTP is reported and ends the connection."""
        try:
            super().data_received(data)
        except HttpSyntaxError as error:
            self.report_fault(f"was sent: {error}")
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the execution, unless a network partition hides the connection's end from the worker."""
        self.listener.connections.discard(self)
        super().connection_lost(exc)
        execution = self.execution
        if execution is not None and not execution.is_over:
            self._record_closed(execution)
            if self.worker.is_up and not self.listener.is_cut(self.zone):
                self.worker.cancel(execution)

    # ---- Requests ----

    def on_message(self, message: HttpMessage) -> None:
        """Serve a request after the simulated network latency."""
        delay = self.listener.one_way_delay(self.zone)
        if self.listener.is_cut(self.zone):
            self.is_silent = True
        elif delay:
            clock = self.workers.clock
            clock.call_at(clock.now() + delay, self._serve, message)
        else:
            self._serve(message)

    def _serve(self, message: HttpMessage) -> None:
        self.request_count += 1
        if self.transport is None or not self.worker.is_up:
            return
        if message.method == "GET":
            self._on_probe(message.target)
            return
        request_id = message.headers.get("request-id", "")
        job = self.workers.find_job(request_id)
        if job is None:
            self._write(encode_response(404 if not request_id else 400, "No", b""))
            self.report_fault(f"was sent an id that no client sent: {request_id!r}")
            return
        draws, faults = self.workers.draws, self.workers.connection_faults
        if self.request_count > 1 and faults.idle_drops.draw_fault(self.worker.name, draws):
            self.abort()
            return
        self._start_execution(request_id, job, message.headers.get("job-label", ""))

    def _start_execution(self, request_id: str, job: ScheduledRequest, label: str) -> None:
        """Pass the request to the worker model, unless a silent connection loses it."""
        draws, faults, clock = self.workers.draws, self.workers.connection_faults, self.workers.clock
        execution = Execution(request_id, job, self.dispatcher, self, label)
        self.execution = execution
        if faults.silences.draw_fault(self.worker.name, draws):
            self.is_silent = True
            if draws.happens(SILENT_LOSS_PROBABILITY):
                return
        elif faults.resets.draw_fault(self.worker.name, draws):
            clock.call_at(clock.now() + int(draws.fraction() * MAX_RESET_DELAY), self._reset, execution)
        self.worker.accept(execution)

    def _reset(self, execution: Execution) -> None:
        if self.execution is execution and not execution.is_over:
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

    # ---- Calls of the worker model ----

    def execution_started(self, execution: Execution) -> None:
        """Send that the execution has started."""
        self._send_update(
            execution, ExecutionUpdate(execution.request_id, self.worker.name, "started"), is_first=True
        )

    def execution_progressed(self, execution: Execution, share: float) -> None:
        """Send the share of the work that is done."""
        self._send_update(
            execution, ExecutionUpdate(execution.request_id, self.worker.name, "running", share)
        )

    def execution_ended(self, execution: Execution, end: ExecutionEnd) -> None:
        """Send the end of the execution, or reset the connection if the execution was lost."""
        is_first = not (execution.has_started and self.worker.options.reports_start)
        if end is ExecutionEnd.LOST:
            self.abort()
        elif end is ExecutionEnd.RETURNED and not execution.has_started:
            self._write(encode_not_started())
        elif end is ExecutionEnd.DONE:
            result = f"{execution.request_id} done"
            update = ExecutionUpdate(execution.request_id, self.worker.name, "done", result=result)
            self._send_update(execution, update, is_first, is_last=True)
        else:
            update = ExecutionUpdate(execution.request_id, self.worker.name, end.value)
            self._send_update(execution, update, is_first, is_last=True)

    def _send_update(
        self, execution: Execution, update: ExecutionUpdate, is_first: bool = False, is_last: bool = False
    ) -> None:
        if self.execution is not execution:
            return
        if update.state == "running" and not self.is_silent:
            self.traffic.progress_bytes += len(encode_execution_update(update))
        self._write(encode_execution_update(update, is_first=is_first, is_last=is_last))

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

    def _record_closed(self, execution: Execution) -> None:
        if execution.serial:
            closed = Event(
                self.workers.clock.now(),
                event_records.ATTEMPT_CLOSED,
                execution.request_id,
                execution.job.number,
                self.dispatcher,
                self.worker.name,
                execution.serial,
            )
            self.workers.records.add(closed)
