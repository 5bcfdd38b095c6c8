"""Admission: which requests are refused on arrival, and how long the others may wait in a queue."""

from collections.abc import Mapping
from dataclasses import dataclass

from .attempt_policy import RetryPolicy
from .context import Context
from .gossip import GossipExchange
from .interface import EndReason
from .observations import Observations
from .state import MILLISECOND, NO_WORKER, Request, RequestQueue

QUEUEING_SHARE = 0.5  # of the time left before it must start, which a request may wait here
MAX_REFUSAL_CHANCE = 0.9
MAX_ACCEPTED_LATENESS = 0.3  # mean lateness of starts, 0 to 1, up to which no request is refused


@dataclass(eq=False)
class AdmissionPolicy:
    """Refuses requests on arrival, and sets and checks the queueing budgets of the others."""

    context: Context
    observations: Observations
    queues: Mapping[tuple[float, int], RequestQueue]
    gossip: GossipExchange
    retries: RetryPolicy

    def refuses(self, request: Request, now: int) -> bool:
        """Whether to refuse a request at random, where starts are late and no load is reported."""
        settings = self.context.settings
        if settings.probing_allowed or request.retry_group is not None:
            return False
        lateness = self.gossip.zone_lateness(settings.zone, now)
        chance = min(MAX_REFUSAL_CHANCE, lateness - MAX_ACCEPTED_LATENESS)
        return chance > 0 and self.context.random.fraction() < chance

    def set_deadlines(self, request: Request, deadline: int, work_hint: int) -> None:
        """Set the queueing budget, and the latest start on time, as from the client's first attempt."""
        number, rules = request.class_number, request.rules
        request.deadline = deadline
        request.last_send_at = deadline - self.context.settings.batch_interval
        times_given, shortest_mean = self.observations.times_given[number], self.observations.shortest_mean
        times_given.append(deadline - request.arrived_at)
        first_tried_at = deadline - max(times_given)
        running_time = self.observations.class_running_time(number)
        # The stretch counts a request's own work: running times prolonged by overload shorten the wait.
        own_work = shortest_mean[number] = min(shortest_mean.get(number) or running_time, running_time)
        if work_hint:
            own_work = running_time = work_hint
        time_left = max(0, rules.latency_objective + rules.latency_stretch * own_work - running_time)
        # When not all can be on time, requests of low weight are given up first: their budgets are shorter.
        rank = rules.priority_weight / self.context.highest_weight
        request.on_time_until = int(first_tried_at + time_left)
        request.queueing_deadline = int(first_tried_at + QUEUEING_SHARE * rank * time_left)

    def start_timer(self, request: Request, now: int) -> None:
        """Schedule the check of a request that begins to wait, at the end of its budget or of its time."""
        when = request.queueing_deadline if now < request.queueing_deadline else request.last_send_at
        self.context.timers.start(request, min(when, request.last_send_at))

    def is_exhausted(self, request: Request, now: int) -> bool:
        """Whether a request has used up its queueing budget, and others wait that can still be on time."""
        if now < request.queueing_deadline or request.retry_group not in (None, NO_WORKER):
            return False
        if not request.rules.overdue_weight:
            return True
        # Without others behind it, the request may still earn the weight of an overdue answer.
        return any(len(queue.waiting) > (queue is request.queue) for queue in self.queues.values())

    def check(self, request: Request, now: int) -> None:
        """Let a waiting request wait on or give it up, when its timer has fired."""
        if request.queue.probed and now < request.last_send_at:
            # The probe answers are awaited first: they take no longer than a few round trips.
            answered_at = request.queue.probed_until + MILLISECOND
            self.context.timers.start(request, min(answered_at, request.last_send_at))
        elif now >= request.last_send_at or self.is_exhausted(request, now):
            self.give_up(request, now)
        else:
            self.context.timers.start(request, request.last_send_at)

    def give_up(self, request: Request, now: int) -> None:
        """End the wait of a request without success."""
        request.queue.waiting.remove(request)
        is_too_late = now >= request.last_send_at
        self.retries.give_up(request, EndReason.TOO_LATE if is_too_late else EndReason.QUEUEING_BUDGET_USED)
