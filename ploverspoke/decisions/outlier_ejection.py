"""Outlier ejection: workers that fail, fall silent or cannot be reached are sent nothing for a while."""

from collections.abc import Mapping
from dataclasses import dataclass

from .context import Context
from .interface import CONNECTION_FAILURES, AttemptOutcome
from .state import SECOND, ProbePurpose, Worker
from .worker_choice import WorkerChoice

EJECTION_NS = 8 * SECOND  # plus a random part of up to half of it
ERRORS_TO_EJECT = 2  # among the latest attempts at a worker
WORKERS_PER_EJECTION = 3  # at most one in this many workers is ejected on suspicion
CAPACITY_AFTER_EJECTION = 1.0


@dataclass(eq=False)
class OutlierEjection:
    """Suspects, ejects and readmits workers."""

    context: Context
    workers: Mapping[str, Worker]
    choice: WorkerChoice

    def record_outcome(self, worker: Worker, outcome: AttemptOutcome, now: int) -> None:
        """Record how an attempt at a worker ended."""
        if outcome in CONNECTION_FAILURES:
            self.suspect(worker, now)
        elif outcome is AttemptOutcome.SUCCEEDED:
            worker.errors.append(False)
        elif outcome is AttemptOutcome.WORKER_ERROR:
            worker.errors.append(True)
            if sum(worker.errors) >= ERRORS_TO_EJECT:
                self.eject(worker, now)

    def suspect(self, worker: Worker, now: int) -> None:
        """Suspect a worker with a failed or silent connection; a failed check or second failure is proof."""
        if self.context.settings.probing_allowed:
            if not worker.ejected and worker.probe is None:
                worker.probe = ProbePurpose.HEALTH
                self.context.actions.probe(worker.name)
            return
        worker.errors.append(True)
        if sum(worker.errors) >= ERRORS_TO_EJECT:
            self.eject(worker, now, is_proven=True)

    def eject(self, worker: Worker, now: int, is_proven: bool = False) -> None:
        """Eject a worker for a while; on suspicion alone only a limited share of the workers is ejected."""
        # Workers ejected on proof do not count; otherwise a lost zone would prevent ejections in other zones.
        ready = [each for each in self.workers.values() if each.ready]
        counted = [each.ejected for each in ready if not (each.ejected and each.unreachable)]
        too_many = (sum(counted) + 1) * WORKERS_PER_EJECTION > len(counted)
        if worker.ejected or (too_many and not is_proven):
            return
        worker.ejected, worker.unreachable = True, is_proven
        self.choice.clear_cached_tiers()
        reason, count = "unreachable" if is_proven else "suspected", sum(each.ejected for each in ready)
        self.context.log.write(f"{worker.name} ejected: {reason}; {count} are now")
        worker.placeholders.clear()
        self._start_ejection_timer(worker, now)

    def ejection_ended(self, worker: Worker, now: int) -> None:
        """Readmit a worker after its ejection; if probing is allowed, only after a successful probe."""
        if not worker.ejected:
            return
        if self.context.settings.probing_allowed and worker.ready:
            worker.probe = ProbePurpose.READMISSION
            self.context.actions.probe(worker.name)
        else:
            self._readmit(worker, now)

    def record_probe(self, worker: Worker, outcome: AttemptOutcome, now: int) -> None:
        """Readmit an ejected worker after a successful probe, or prolong its ejection."""
        if worker.ejected and outcome is AttemptOutcome.SUCCEEDED:
            self._readmit(worker, now)
        elif worker.ejected:
            self._start_ejection_timer(worker, now)

    def _readmit(self, worker: Worker, now: int) -> None:
        """Readmit a worker on probation, with little capacity: one more error ejects it again."""
        worker.ejected = False
        self.choice.clear_cached_tiers()
        worker.probation_until = now + EJECTION_NS
        worker.capacity = worker.capacity_before_cut = CAPACITY_AFTER_EJECTION

    def _start_ejection_timer(self, worker: Worker, now: int) -> None:
        duration = int(EJECTION_NS * (1 + self.context.random.fraction() / 2))
        self.context.timers.start(worker, now + duration)
