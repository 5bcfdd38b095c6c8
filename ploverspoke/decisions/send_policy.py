"""The last check of an attempt, when its bytes are about to be written.

An attempt may be written long after the decision to make it: its connection may come up late, its record may
be committed late, or the process may be suspended. Each limit that held at the decision is checked again.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from .context import Context
from .interface import SendRefusal
from .list_validity import ListValidity
from .state import Request, Worker

# Of the overload window. The credit of a warming worker may be used this much later than it was charged.
MAX_CHARGE_AGE_SHARE = 0.5


@dataclass(eq=False)
class SendPolicy:
    """Decides whether an attempt that was decided on may still be written."""

    context: Context
    workers: Mapping[str, Worker]
    open_requests: Mapping[int, Request]
    validity: ListValidity

    def refusal(self, request_id: int, worker_name: str, now: int) -> SendRefusal | None:
        """Why the request may not be written to the worker now; None if it may."""
        request = self.open_requests.get(request_id)
        if request is None:
            return SendRefusal.REQUEST_ENDED
        worker = self.workers[worker_name]
        return self.worker_refusal(worker, now) or self._request_refusal(request, worker, now)

    def worker_refusal(self, worker: Worker, now: int) -> SendRefusal | None:
        """Why no request may be written to the worker now; None if any may."""
        if not worker.ready:
            return SendRefusal.WORKER_NOT_READY
        return None if self.validity.covers(worker, now) else SendRefusal.LIST_EXPIRED

    def _request_refusal(self, request: Request, worker: Worker, now: int) -> SendRefusal | None:
        if now >= request.last_send_at:
            return SendRefusal.SEND_WINDOW_ENDED
        if not request.may_retry_at(worker) or request.has_left_group(worker):
            return SendRefusal.OUTSIDE_RETRY_GROUP
        if worker.warm_at != request.worker_warm_at:
            return SendRefusal.WORKER_RESTARTED
        if worker.warm_at > now and self._is_charge_outdated(request, now):
            return SendRefusal.SLOW_START
        return None

    def _is_charge_outdated(self, request: Request, now: int) -> bool:
        """Whether attempts charged over so long a time may be written at once to a warming worker."""
        window = self.context.settings.overload_window
        return bool(window) and now - request.sent_at > window * MAX_CHARGE_AGE_SHARE

    def latest_send(self, request_id: int) -> int | None:
        """From this time (ns) on the open request is sent to no worker; None if it has ended."""
        request = self.open_requests.get(request_id)
        return None if request is None else request.last_send_at
