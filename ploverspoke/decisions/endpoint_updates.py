"""Changes of the endpoint list: which workers are ready, and which have restarted."""

from dataclasses import dataclass

from .capacity import INITIAL_CAPACITY, SlowStart
from .context import Context
from .interface import Endpoint, EndpointCondition
from .outlier_ejection import OutlierEjection
from .state import Worker
from .worker_choice import WorkerChoice

MAX_GONE_WORKERS = 1000  # remembered in case that they return


def _may_be_forgotten(worker: Worker) -> bool:
    is_gone = worker.endpoint.condition is EndpointCondition.GONE and (worker.ejected or not worker.ready)
    is_used = worker.attempts or worker.placeholders or worker.probe is not None or worker.peer_slots
    return is_gone and not is_used


@dataclass(eq=False)
class EndpointUpdates:
    """Applies changes of the endpoint list to the workers."""

    context: Context
    workers: dict[str, Worker]
    choice: WorkerChoice
    slow_start: SlowStart
    ejection: OutlierEjection
    max_gone_workers: int = MAX_GONE_WORKERS  # lower where memory is short

    def forget_gone(self) -> None:
        """Forget the workers that have been gone for the longest time, if there are many."""
        gone = [worker for worker in self.workers.values() if _may_be_forgotten(worker)]
        for worker in gone[: max(0, len(gone) - self.max_gone_workers)]:
            worker.ejected = False  # for its timer
            del self.workers[worker.name]
            self.choice.clear_cached_tiers()

    def update(self, endpoint: Endpoint, now: int) -> None:
        """Apply the current list entry of a worker."""
        worker = self.workers.get(endpoint.worker)
        if worker is None:
            worker = self.workers[endpoint.worker] = Worker(endpoint, INITIAL_CAPACITY)
        previous, started_at = worker.endpoint, endpoint.started_at
        if started_at > previous.started_at or (started_at and not worker.warm_at):
            worker.reset_after_restart(started_at + self.context.settings.warmup_period, INITIAL_CAPACITY)
            self.choice.clear_cached_tiers()
            self.slow_start.start_budget(worker, now)
        is_gone = endpoint.condition is EndpointCondition.GONE
        worker.drained = endpoint.condition is EndpointCondition.DRAINING or (worker.drained and is_gone)
        # If only drains are binding, a worker that is listed as gone may still be up, so it is probed.
        is_probed = is_gone and not worker.drained and self.context.settings.only_draining_is_binding
        ready = endpoint.condition is EndpointCondition.READY or is_probed
        has_new_tier = (endpoint.zone, endpoint.machine_kind) != (previous.zone, previous.machine_kind)
        if ready != worker.ready or has_new_tier:
            self.choice.clear_cached_tiers()
        worker.endpoint = endpoint
        worker.ready = ready
        if is_probed:
            self.ejection.suspect(worker, now)
