"""Model of service discovery: a versioned endpoint list, delayed watches, and calls served one at a time."""

from collections.abc import Callable
from typing import NamedTuple

from ..experiment_files.tables import DiscoveryOptions
from . import event_records
from .event_records import EndpointStatus, Event, EventLog
from .random_streams import RandomDraws
from .virtual_clock import Clock


class EndpointEntry(NamedTuple):
    """One worker as the endpoint list shows it; a driver adds the fields that its wire format needs."""

    worker: str
    zone: int
    kind: int
    rack: int
    condition: EndpointStatus
    started_at: int  # ns from the start of the run; 0: long before the run


class EndpointUpdate(NamedTuple):
    """The answer to a call: the whole list, or the entries changed since the caller's version."""

    version: int
    is_complete: bool
    entries: list[EndpointEntry]


class DiscoveryCall:
    """A call of one dispatcher, answered once; None as the answer: discovery is down or unreachable."""

    def __init__(
        self, dispatcher: int, version: int | None, on_answer: Callable[[EndpointUpdate | None], None]
    ) -> None:
        """A call with a version is a watch from that version on; without, it requests the whole list."""
        self.dispatcher = dispatcher
        self.version = version
        self._on_answer: Callable[[EndpointUpdate | None], None] | None = on_answer

    @property
    def is_answered(self) -> bool:
        """Whether `answer` was called."""
        return self._on_answer is None

    def answer(self, update: EndpointUpdate | None) -> None:
        """Answer the call, once."""
        on_answer, self._on_answer = self._on_answer, None
        if on_answer is not None:
            on_answer(update)


class DiscoveryModel:
    """The endpoint list and the calls that request it."""

    def __init__(
        self, options: DiscoveryOptions, clock: Clock, event_log: EventLog, draws: RandomDraws
    ) -> None:
        """Start with an empty list of version 1."""
        self.options = options
        self.clock = clock
        self.event_log = event_log
        self.draws = draws
        self.version = 1
        self.entries: dict[str, EndpointEntry] = {}
        self.busy_until = 0  # ns; when all calls received so far will have been served
        self.is_unreachable: Callable[[int], bool] = lambda dispatcher: False  # by dispatcher number
        self._changed_in: dict[str, int] = {}  # worker -> version
        self._watches: list[DiscoveryCall] = []
        self._outages: set[int] = set()  # fault numbers

    def add(self, entry: EndpointEntry) -> None:
        """Add a worker to the list before the run starts."""
        self.entries[entry.worker] = entry
        self._changed_in[entry.worker] = self.version

    def update(self, worker: str, condition: EndpointStatus, started_at: int | None = None) -> None:
        """Change a worker's condition; each watch is answered after a random delay."""
        entry = self.entries[worker]
        if started_at is None:
            started_at = entry.started_at
        if (condition, started_at) == (entry.condition, entry.started_at):
            return
        self.version += 1
        self.entries[worker] = entry._replace(condition=condition, started_at=started_at)
        self._changed_in[worker] = self.version
        watches, self._watches = self._watches, []
        for call in watches:
            delay = int(self.draws.fraction() * self.options.max_notification_delay)
            self.clock.call_at(self.clock.now() + delay, self._serve, call)

    def call(self, call: DiscoveryCall, hold: int) -> None:
        """Answer the call, or hold a watch of the current version for at most `hold` ns."""
        if self._outages or self.is_unreachable(call.dispatcher):
            call.answer(None)
        elif call.version == self.version:
            self._watches.append(call)
            self.clock.call_at(self.clock.now() + hold, self._end_hold, call)
        else:
            self._serve(call)

    def start_outage(self, fault_number: int) -> None:
        """Fail all open watches, and all calls until the outage ends."""
        self._outages.add(fault_number)
        watches, self._watches = self._watches, []
        for call in watches:
            call.answer(None)

    def end_outage(self, fault_number: int) -> None:
        """Answer calls again, unless another outage has not ended."""
        self._outages.discard(fault_number)

    def _end_hold(self, call: DiscoveryCall) -> None:
        if call in self._watches:
            self._watches.remove(call)
            self._serve(call)

    def _serve(self, call: DiscoveryCall) -> None:
        self.busy_until = max(self.clock.now(), self.busy_until) + self.options.call_time
        self.clock.call_at(self.busy_until, self._answer, call)

    def _answer(self, call: DiscoveryCall) -> None:
        if self._outages or self.is_unreachable(call.dispatcher):
            call.answer(None)
            return
        update = self._update_since(call.version)
        if not call.is_answered:
            self._record_notified(call.dispatcher, update)
        call.answer(update)

    def _update_since(self, version: int | None) -> EndpointUpdate:
        if version is None:
            entries = [entry for entry in self.entries.values() if entry.condition is not EndpointStatus.GONE]
            return EndpointUpdate(self.version, True, entries)
        entries = [entry for entry in self.entries.values() if self._changed_in[entry.worker] > version]
        return EndpointUpdate(self.version, False, entries)

    def _record_notified(self, dispatcher: int, update: EndpointUpdate) -> None:
        """Record the conditions that the answer gives to the dispatcher."""
        conditions = {entry.worker: entry.condition for entry in update.entries}
        if update.is_complete:
            conditions = {**dict.fromkeys(self.entries, EndpointStatus.GONE), **conditions}
        now = self.clock.now()
        for worker, condition in conditions.items():
            self.event_log.add(
                Event(
                    now,
                    event_records.ENDPOINT_NOTIFIED,
                    dispatcher=dispatcher,
                    worker=worker,
                    detail=condition,
                )
            )
