"""Admission: which requests are refused on arrival, and how long the others may wait in a queue."""

from collections.abc import Mapping
from dataclasses import dataclass

from .attempt_policy import RetryPolicy
from .context import Context
from .gossip import GossipExchange
from .interface import EndReason
from .observations import Observations
from .state import MILLISECOND, NO_WORKER, Request, RequestQueue

# A request may wait in its queue for this share of the time until its latest start on time.
QUEUEING_BUDGET_SHARE = 0.5
MAX_REFUSAL_CHANCE = 0.9
MAX_ACCEPTED_LATENESS = 0.3  # no request is refused up to this mean start lateness, 0 to 1


@dataclass(eq=False)
class AdmissionPolicy:
    """Refuses requests on arrival, and sets and checks the queueing budgets of the others."""

    context: Context
    observations: Observations
    queues: Mapping[tuple[float, int], RequestQueue]
    gossip: GossipExchange
    retries: RetryPolicy

    def should_refuse(self, request: Request, now: int) -> bool:
        """Whether to refuse a request at random because starts are late and load probes are not allowed."""
        settings = self.context.settings
        if settings.probing_allowed or request.retry_group is not None:
            return False
        lateness = self.gossip.zone_lateness(settings.zone, now)
        chance = min(MAX_REFUSAL_CHANCE, lateness - MAX_ACCEPTED_LATENESS)
        return chance > 0 and self.context.random.fraction() < chance

    def set_deadlines(self, request: Request, deadline: int, work_hint: int) -> None:
        """Set a request's deadlines, counted from the estimated time of the client's first attempt."""
        number, rules = request.class_number, request.rules
        request.deadline = deadline
        request.last_send_at = deadline - self.context.settings.batch_interval
        time_limits = self.observations.time_limits[number]
        min_class_means = self.observations.min_class_means
        time_limits.append(deadline - request.arrived_at)
        first_attempt_at = deadline - max(time_limits)
        running_time = self.observations.class_running_time(number)
        # The latency stretch applies to the running time without overload, the lowest class mean so far.
        # Running times that overload has prolonged leave less time to wait.
        own_work = min_class_means[number] = min(min_class_means.get(number) or running_time, running_time)
        if work_hint:
            own_work = running_time = work_hint
        time_left = max(0, rules.latency_objective + rules.latency_stretch * own_work - running_time)
        # Requests of low weight have shorter queueing budgets, so under overload they are given up first.
        relative_weight = rules.priority_weight / self.context.highest_weight
        request.on_time_until = int(first_attempt_at + time_left)
        request.queueing_deadline = int(
            first_attempt_at + QUEUEING_BUDGET_SHARE * relative_weight * time_left
        )

    def start_timer(self, request: Request, now: int) -> None:
        """Schedule a waiting request's check at the end of its queueing budget or at its last send time."""
        check_at = request.queueing_deadline if now < request.queueing_deadline else request.last_send_at
        self.context.timers.start(request, min(check_at, request.last_send_at))

    def is_exhausted(self, request: Request, now: int) -> bool:
        """Whether a request has used up its queueing budget and should make way for other requests."""
        if now < request.queueing_deadline or request.retry_group not in (None, NO_WORKER):
            return False
        if not request.rules.overdue_weight:
            return True
        # While no other request waits, this one may still earn the weight of an overdue answer.
        return any(len(queue.waiting) > (queue is request.queue) for queue in self.queues.values())

    def check(self, request: Request, now: int) -> None:
        """Give up a waiting request or schedule its next check, after its timer has fired."""
        if request.queue.probed and now < request.last_send_at:
            # Wait for the probe answers first: they take at most a few round trips.
            answered_at = request.queue.probed_until + MILLISECOND
            self.context.timers.start(request, min(answered_at, request.last_send_at))
        elif now >= request.last_send_at or self.is_exhausted(request, now):
            self.give_up(request, now)
        else:
            self.context.timers.start(request, request.last_send_at)

    def give_up(self, request: Request, now: int) -> None:
        """Remove a request from its queue and end it without success."""
        request.queue.waiting.remove(request)
        is_too_late = now >= request.last_send_at
        self.retries.give_up(request, EndReason.TOO_LATE if is_too_late else EndReason.QUEUEING_BUDGET_USED)
