"""The lifecycle of a request: its arrival, the start and end of attempts, and what is measured at each."""

from dataclasses import dataclass

from .components import DispatcherComponents
from .interface import ANSWERS, AttemptOutcome, AttemptResult, EndReason
from .state import Request, Worker


@dataclass(eq=False)
class RequestPath:
    """Passes each request through the components of the dispatcher."""

    components: DispatcherComponents

    def arrived(self, request: Request, affinity_key: str, deadline: int, work_hint: int) -> None:
        """Send a request that has arrived, let it wait in its queue, or give it up."""
        components, queue, now = self.components, request.queue, request.arrived_at
        components.observations.arrivals.append(now)
        components.gossip.expire(now)
        components.probes.add_credit(components.context.probes_per_request)
        components.attempts.add_credit(components.context.cancels_per_request)
        request.affinity_key = affinity_key
        components.observations.affinity_keys.record(affinity_key)
        components.admission.set_deadlines(request, deadline, work_hint)
        components.open_requests[request.id] = request
        components.retries.resume(request)
        if now >= request.last_send_at:
            components.retries.give_up(request, EndReason.TOO_LATE)
            return
        if components.admission.should_refuse(request, now):
            components.retries.give_up(request, EndReason.REFUSED_AT_RANDOM)
            return
        # The request takes a placeholder's slots. Without one it is sent at once if its queue is empty.
        drawn = components.choice.worker_with_placeholder(queue, now)
        if not drawn and not queue.waiting:
            drawn = components.choice.draw_two(queue, now, request)
        needs_probes = components.probes.are_needed(request, drawn, now)
        if drawn and not needs_probes:
            components.attempts.start(request, components.choice.choose_better(drawn, request), now)
            return
        # Otherwise it waits: probe answers, ticks and freed slots take requests from the queue's head.
        queue.waiting.append(request)
        if needs_probes:
            components.probes.send(request, drawn, now)
        elif components.admission.is_exhausted(request, now):
            components.admission.give_up(request, now)
            return
        components.admission.start_timer(request, now)
        components.clock.run(now)

    def attempt_started(self, request: Request, worker: Worker, now: int) -> None:
        """Record that the worker has started the request."""
        delay = now - request.sent_at
        request.started_at = request.last_contact_at = worker.last_contact_at = now
        worker.probation_until = 0
        self.components.capacity.record_start(request, worker, delay, now)
        worker.record_start(request)
        self.components.observations.start_delays[worker.endpoint.zone].append(delay)
        self.components.lateness.record(delay)

    def attempt_ended(self, request: Request, worker: Worker, result: AttemptResult, now: int) -> None:
        """Record the end of an attempt, retry or answer the request, and fill the freed slots."""
        components, outcome = self.components, result.outcome
        if outcome in ANSWERS:
            worker.last_contact_at = now
        worker.end_attempt(request)
        components.gossip.slots_changed(worker, now)
        self._update_estimates(request, worker, result, now)
        components.ejection.record_outcome(worker, outcome, now)
        if result.is_closed:
            components.open_requests.pop(request.id, None)
        if request.id in components.open_requests:
            self._retry(request, worker, outcome, now)
        # If many dispatchers have one waiting request each, replacement would keep a worker's queue long.
        if outcome is AttemptOutcome.SUCCEEDED and not request.started_too_late:
            components.service.replace(request.queue, worker, now)

    def _update_estimates(self, request: Request, worker: Worker, result: AttemptResult, now: int) -> None:
        capacity, outcome = self.components.capacity, result.outcome
        if outcome is AttemptOutcome.SUCCEEDED:
            self.components.observations.record_success(request, worker, result.elapsed, now)
            if not request.started_at:
                capacity.record_accepted(worker, request.slots_in_use)
        elif outcome is AttemptOutcome.FULL:
            in_use = worker.in_flight + self.components.gossip.peer_slots(worker)
            capacity.cut(worker, in_use, 2 * worker.recovery_time, now)
        elif outcome is AttemptOutcome.CANCELLED and not request.started_at:
            # Otherwise a request restricted to its group would be sent to the same full worker repeatedly.
            if request.group_after_attempt(worker):
                capacity.cut(worker, worker.running, 0, now)

    def _retry(self, request: Request, worker: Worker, outcome: AttemptOutcome, now: int) -> None:
        if not self.components.retries.may_retry(request, worker, outcome, now):
            self.components.retries.give_up(request, EndReason.NO_FURTHER_ATTEMPT)
            return
        request.failed_on = worker
        request.queue.waiting.appendleft(request)
        self.components.context.timers.start(request, request.last_send_at)
        self.components.clock.run(now)
