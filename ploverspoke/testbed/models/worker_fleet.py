"""The workers of a run with what they share, for either driver."""

from collections.abc import Callable

from ..experiment_files.durations import MILLISECOND
from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import Idempotency
from .event_records import EventLog
from .random_streams import RandomStreams
from .shared_store import SharedStore
from .virtual_clock import Clock
from .worker import Execution, Rack, Worker

RESET_WITHIN = 50 * MILLISECOND  # a connection that is to break does so at a random time in here


class IgnoringListener:
    """Hears what a worker tells on a connection that has fallen silent."""

    def run_started(self, run: Execution) -> None: ...

    def run_progressed(self, run: Execution, share: float) -> None: ...

    def run_ended(self, run: Execution, how: str) -> None: ...


def racks_of(e: Experiment, clock: Clock) -> Callable[[int, int], dict[int, Rack]]:
    """Gives a worker of that zone and rack what it shares with others to drop repeats, by labelled grade."""
    known: dict[tuple[int, str, int], Rack] = {}

    def racks(zone: int, rack: int) -> dict[int, Rack]:
        found = {}
        for number, grade in enumerate(e.request_classes):
            if grade.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                key = (number, grade.retry_scope, {"all": 0, "zone": zone, "rack": rack}[grade.retry_scope])
                found[number] = known.setdefault(key, Rack(clock))
        return found

    return racks


class WorkerFleet:
    """Workers and their store."""

    def __init__(self, e: Experiment, seed: int, clock: Clock, seen: EventLog) -> None:
        streams = RandomStreams(seed)
        self.workers: dict[str, Worker] = {}
        self.rack_of: dict[str, int] = {}
        self.store = SharedStore(e.store, clock, streams) if e.store is not None else None
        racks = racks_of(e, clock)
        for told in e.workers:
            for _ in range(told.count):
                number = len(self.workers)
                name = f"w{number}"
                rack = self.rack_of[name] = number + 1000 if told.rack is None else told.rack
                shared = racks(e.zones().index(told.zone), rack)
                worker = Worker(name, told, e, clock, seen, shared, streams.draws(f"worker {name}"))
                worker.store = self.store
                self.workers[name] = worker
