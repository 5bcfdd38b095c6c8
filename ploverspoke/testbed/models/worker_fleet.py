"""The workers of a run and the models that they share, for either driver."""

from ..experiment_files.tables import Idempotency
from .duplicate_filter import DuplicateFilter
from .run_context import RunContext
from .shared_store import SharedStore
from .worker import Worker

FIRST_DEFAULT_RACK = 1000  # a worker without a configured rack gets a rack of its own, numbered from here


class DuplicateFilters:
    """The duplicate filters of a fleet, each shared by the workers of one retry scope."""

    def __init__(self, context: RunContext) -> None:
        """Each filter is created when it is first needed."""
        self.context = context
        self._filters: dict[tuple[int, int], DuplicateFilter] = {}  # by request class and group of workers

    def for_worker(self, zone: int, rack: int) -> dict[int, DuplicateFilter]:
        """Return a worker's filters, by the number of each request class that is idempotent with a key."""
        filters: dict[int, DuplicateFilter] = {}
        for number, request_class in enumerate(self.context.experiment.request_classes):
            if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                group = {"all": 0, "zone": zone, "rack": rack}[request_class.retry_scope]
                new_filter = DuplicateFilter(self.context.clock)
                filters[number] = self._filters.setdefault((number, group), new_filter)
        return filters


class WorkerFleet:
    """All workers of a run and their store."""

    def __init__(self, context: RunContext) -> None:
        """Create the workers of the experiment, named w0, w1 and so on."""
        experiment = context.experiment
        self.workers: dict[str, Worker] = {}
        self.rack_of: dict[str, int] = {}
        self.store: SharedStore | None = None
        if experiment.store is not None:
            self.store = SharedStore(experiment.store, context.clock, context.streams())
        duplicate_filters = DuplicateFilters(context)
        for group in experiment.workers:
            zone = experiment.zones().index(group.zone)
            for _ in range(group.count):
                number = len(self.workers)
                name = f"w{number}"
                rack = FIRST_DEFAULT_RACK + number if group.rack is None else group.rack
                self.rack_of[name] = rack
                self.workers[name] = Worker(
                    name, group, context, duplicate_filters.for_worker(zone, rack), self.store
                )
