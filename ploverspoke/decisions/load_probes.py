"""Load probes: workers are asked for their load before a request that cannot be cancelled is sent."""

from dataclasses import dataclass

from .capacity import CapacityEstimates, prompt_limit
from .context import MAX_SAVED_REQUESTS, Context
from .interface import CONNECTION_FAILURES, AttemptOutcome
from .observations import LoadReports, Observations
from .outlier_ejection import OutlierEjection
from .state import MILLISECOND, SECOND, ProbePurpose, Request, RequestQueue, Worker

PROMPT_ANSWER_NS = 50 * MILLISECOND  # time limit while no answer has been measured
CONTACT_MAX_AGE_NS = SECOND  # a worker with a more recent report of any kind need not be probed
REPORT_MAX_AGE_NS = 300 * MILLISECOND  # a more recent load report is used without a probe


@dataclass(eq=False)
class LoadProbes:
    """Sends load probes and processes their answers."""

    context: Context
    observations: Observations
    reports: LoadReports
    capacity: CapacityEstimates
    ejection: OutlierEjection
    credit: float = 0.0  # number of probes that may be sent
    sent_at: int = 0

    def add_credit(self, probes: float) -> None:
        """Allow more probes; the credit grows with each request and over time."""
        self.credit = min(self.credit + probes, MAX_SAVED_REQUESTS * self.context.probes_per_request)

    def are_needed(self, request: Request, drawn: list[Worker], now: int) -> bool:
        """Whether to probe the drawn workers because the request could not be cancelled after it is sent."""
        settings = self.context.settings
        if not drawn or not settings.probing_allowed or request.affinity_key:
            return False
        if request.rules.idempotency not in self.context.probed_classes and settings.cancel_allowed:
            return False
        # A worker whose latest attempt ended in an error answers quickly, which does not indicate its load.
        for worker in drawn:
            if now - worker.last_contact_at >= CONTACT_MAX_AGE_NS or (worker.errors and worker.errors[-1]):
                return self.context.probes_per_request >= len(drawn)
        return False

    def send(self, request: Request, drawn: list[Worker], now: int) -> bool:
        """Probe workers for the head of a queue; returns False if the credit does not suffice."""
        elapsed, self.sent_at = now - self.sent_at, now
        self.add_credit(self.context.probes_per_request * elapsed / SECOND)
        stale = [worker for worker in drawn if now - worker.reported_at > REPORT_MAX_AGE_NS]
        if self.credit < len(stale):
            return False
        queue = request.queue
        request.probe_rounds += 1
        self.credit -= len(stale)
        queue.probed = drawn
        for worker in stale:
            worker.probe = ProbePurpose.LOAD
            self.context.actions.probe(worker.name)
        # The timer is used even if no report is stale: with many fresh reports, direct calls for each
        # request of a long queue would nest too deeply.
        delays = [self.observations.probe_delays[worker.endpoint.zone] for worker in stale]
        time_limits = [prompt_limit(recent, PROMPT_ANSWER_NS) for recent in delays]
        queue.probed_until = now + max(time_limits, default=0)
        self.context.timers.start(queue, queue.probed_until)
        return True

    def record_answer(self, worker: Worker, outcome: AttemptOutcome, elapsed: int, now: int) -> None:
        """Process the result of a load probe."""
        if outcome is AttemptOutcome.SUCCEEDED:
            self.observations.probe_delays[worker.endpoint.zone].append(elapsed)
        elif outcome in CONNECTION_FAILURES:
            self.ejection.eject(worker, now, is_proven=True)
        else:
            self.capacity.cut(worker, worker.running, 0, now)
            if outcome is AttemptOutcome.WORKER_ERROR:
                # The worker reports that it is failing or draining, long before service discovery does.
                self.ejection.eject(worker, now)

    def expected_delay(self, worker: Worker, now: int) -> float:
        """Relative delay to expect at a worker according to its load report; lower is better."""
        load = 2 + self.reports.load(worker, now) / self.reports.slots(worker)
        return self.observations.slowdown(worker) * load

    def expected_wait(self, worker: Worker, queue: RequestQueue, now: int) -> int:
        """Expected wait in ns for a start, according to the worker's load report."""
        excess = max(0.0, self.reports.load(worker, now) + queue.slots) / self.reports.slots(worker)
        return int(excess * self.observations.mean_running_time() * self.observations.slowdown(worker))
