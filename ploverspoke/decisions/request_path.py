"""The path of a request, in order: its arrival, an attempt's start and end, and what is learnt from them."""

from dataclasses import dataclass

from .interface import ANSWERS, AttemptOutcome, AttemptResult, EndReason
from .parts import Parts
from .state import Request, Worker


@dataclass(eq=False)
class RequestPath:
    """Takes each request from part to part."""

    parts: Parts

    def arrived(self, request: Request, affinity_key: str, deadline: int, work_hint: int) -> None:
        """The ordinary path, from top to bottom."""
        parts, queue, now = self.parts, request.queue, request.arrived_at
        parts.observations.arrivals.append(now)
        parts.gossip.expire(now)
        parts.probes.add_credit(parts.context.probes_per_request)
        parts.attempts.add_credit(parts.context.cancels_per_request)
        request.affinity_key = affinity_key
        parts.observations.affinity_keys.record(affinity_key)
        parts.admission.set_deadlines(request, deadline, work_hint)
        parts.open_requests[request.id] = request
        parts.retries.resume(request)
        if now >= request.last_send_at:
            parts.retries.give_up(request, EndReason.TOO_LATE)
            return
        if parts.admission.refuses(request, now):
            parts.retries.give_up(request, EndReason.REFUSED_AT_RANDOM)
            return
        # A placeholder of its queue gives up its place; a queue where nothing waits takes a tick at once.
        drawn = parts.choice.worker_with_placeholder(queue, now)
        if not drawn and not queue.waiting:
            drawn = parts.choice.draw_two(queue, now, request)
        needs_probes = parts.probes.are_needed(request, drawn, now)
        if drawn and not needs_probes:
            parts.attempts.start(request, parts.choice.better(drawn, request), now)
            return
        # Else it waits its turn; probe answers, ticks and replacements draw from the queue's head.
        queue.waiting.append(request)
        if needs_probes:
            parts.probes.send(request, drawn, now)
        elif parts.admission.is_exhausted(request, now):
            parts.admission.give_up(request, now)
            return
        parts.admission.start_timer(request, now)
        parts.clock.run(now)

    def attempt_started(self, request: Request, worker: Worker, now: int) -> None:
        """Its worker has begun it."""
        delay = now - request.sent_at
        request.started_at = request.heard_at = worker.heard_at = now
        worker.probation_until = 0
        self.parts.capacity.record_start(request, worker, delay, now)
        worker.begin_running(request)
        self.parts.observations.start_delays[worker.endpoint.zone].append(delay)
        self.parts.lateness.record(delay)

    def attempt_ended(self, request: Request, worker: Worker, result: AttemptResult, now: int) -> None:
        """Learn from the end of an attempt, retry or answer the request, and fill its place."""
        parts, outcome = self.parts, result.outcome
        if outcome in ANSWERS:
            worker.heard_at = now
        worker.end_attempt(request)
        parts.gossip.slots_changed(worker, now)
        self._learn_from(request, worker, result, now)
        parts.ejection.record_outcome(worker, outcome, now)
        if result.is_closed:
            parts.open_requests.pop(request.id, None)
        if request.id in parts.open_requests:
            self._retry(request, worker, outcome, now)
        # Where many dispatchers each keep one waiting, replacement would keep the queue long for good.
        if outcome is AttemptOutcome.SUCCEEDED and not request.started_too_late:
            parts.service.replace(request.queue, worker, now)

    def _learn_from(self, request: Request, worker: Worker, result: AttemptResult, now: int) -> None:
        capacity, outcome = self.parts.capacity, result.outcome
        if outcome is AttemptOutcome.SUCCEEDED:
            self.parts.observations.record_success(request, worker, result.elapsed, now)
            if not request.started_at:
                capacity.accepted(worker, request.slots_in_use)
        elif outcome is AttemptOutcome.FULL:
            in_use = worker.in_flight + self.parts.gossip.peer_slots(worker)
            capacity.cut(worker, in_use, 2 * worker.recovery_time, now)
        elif outcome is AttemptOutcome.CANCELLED and not request.started_at:
            # Bound to its group, it was drawn for the same full worker again and again.
            if request.group_after_attempt(worker):
                capacity.cut(worker, worker.running, 0, now)

    def _retry(self, request: Request, worker: Worker, outcome: AttemptOutcome, now: int) -> None:
        if not self.parts.retries.may_retry(request, worker, outcome, now):
            self.parts.retries.give_up(request, EndReason.NO_FURTHER_ATTEMPT)
            return
        request.failed_on = worker
        request.queue.waiting.appendleft(request)
        self.parts.context.timers.start(request, request.last_send_at)
        self.parts.clock.run(now)
