"""The queues of waiting requests, one for each number of slots and machine kind, of which there are few."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil, log2

from .state import Request, RequestQueue, Worker

MAX_QUEUES = 128  # decisions go through all queues; clients choose the numbers of slots
MIN_ROUNDED_SLOTS = 1 / 64


@dataclass(eq=False)
class QueueTable:
    """Creates queues, and removes unused ones when there are many."""

    queues: dict[tuple[float, int], RequestQueue]
    open_requests: Mapping[int, Request]
    workers: Mapping[str, Worker]

    def queue_for(self, slots: float, machine_kind: int) -> RequestQueue:
        """Return the queue of requests that occupy so many slots.

        While there are too many queues, other numbers of slots are rounded up to a power of two.
        """
        queue = self.queues.get((slots, machine_kind))
        if queue is not None:
            return queue
        if len(self.queues) >= MAX_QUEUES:
            self._remove_unused()
        if len(self.queues) >= MAX_QUEUES:
            slots = 2.0 ** ceil(log2(max(slots, MIN_ROUNDED_SLOTS)))
        return self.queues.setdefault((slots, machine_kind), RequestQueue(slots, machine_kind))

    def _remove_unused(self) -> None:
        used = {id(request.queue) for request in self.open_requests.values()}
        for worker in self.workers.values():
            used.update(id(request.queue) for request in worker.attempts.values())
            used.update(id(placeholder.queue) for placeholder in worker.placeholders)
        for key, queue in list(self.queues.items()):
            if id(queue) not in used and not queue.waiting and not queue.probed:
                del self.queues[key]
