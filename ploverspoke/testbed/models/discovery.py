"""Discovery, without I/O: versions of the list, watches, lateness, calls worked through in turn."""

from collections.abc import Callable
from typing import Any, NamedTuple

from ..experiment_files.tables import DiscoveryOptions
from . import event_records
from .event_records import Event, EventLog
from .random_streams import RandomDraws
from .virtual_clock import Clock


class EndpointEntry(NamedTuple):
    """One worker as the list shows it; a driver adds what its wire needs."""

    worker: str
    zone: int
    kind: int
    rack: int
    condition: str  # "ready", "draining" or "gone"
    started_at: int  # ns of the run's clock; 0: long past


class DiscoveryCall:
    """A watch or a look of one dispatcher; answered once, with a version, whether it is whole, and
    entries.
    """

    def __init__(self, dispatcher: int, version: int | None, answer: Callable[..., None]) -> None:
        self.dispatcher = dispatcher
        self.version = version
        self.answer: Callable[..., None] | None = answer


class DiscoveryModel:
    def __init__(self, told: DiscoveryOptions, clock: Clock, records_: EventLog, draws: RandomDraws) -> None:
        self.told = told
        self.clock = clock
        self.records = records_
        self.draws = draws
        self.version = 1
        self.entries: dict[str, EndpointEntry] = {}
        self.changed_in: dict[str, int] = {}
        self.waiting: list[DiscoveryCall] = []
        self.free_at = 0  # when the calls so far are worked through
        self.down: set[int] = set()  # troubles
        # Whether nothing passes between us and that dispatcher.
        self.unreached: Callable[[int], bool] = lambda dispatcher: False

    def enter(self, entry: EndpointEntry) -> None:
        self.entries[entry.worker] = entry
        self.changed_in[entry.worker] = self.version

    def change(self, worker: str, condition: str, started_at: int | None = None) -> None:
        """A worker's condition is another; watches hear of it, each a little later."""
        entry = self.entries[worker]
        began = entry.started_at if started_at is None else started_at
        if (condition, began) == (entry.condition, entry.started_at):
            return
        self.version += 1
        self.entries[worker] = entry._replace(condition=condition, started_at=began)
        self.changed_in[worker] = self.version
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            late = int(self.draws.fraction() * self.told.max_notification_delay)
            self.clock.at(self.clock.now() + late, self._work_through, call)

    def call(self, call: DiscoveryCall, hold: int) -> None:
        """A watch waits for something newer than its version, so long at the most; a look is answered at
        once.
        """
        if self.down or self.unreached(call.dispatcher):
            self._answer(call, None)
        elif call.version == self.version:
            self.waiting.append(call)
            self.clock.at(self.clock.now() + hold, self._hold_is_over, call)
        else:
            self._work_through(call)

    def go_down(self, trouble: int) -> None:
        self.down.add(trouble)
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            self._answer(call, None)

    def come_up(self, trouble: int) -> None:
        self.down.discard(trouble)

    def _hold_is_over(self, call: DiscoveryCall) -> None:
        if call in self.waiting:
            self.waiting.remove(call)
            self._work_through(call)

    def _work_through(self, call: DiscoveryCall) -> None:
        now = self.clock.now()
        self.free_at = max(now, self.free_at) + self.told.call_time
        self.clock.at(self.free_at, self._tell, call)

    def _tell(self, call: DiscoveryCall) -> None:
        if self.down or self.unreached(call.dispatcher):
            self._answer(call, None)
            return
        whole = call.version is None
        since = -1 if call.version is None else call.version
        entries = [e for e in self.entries.values() if self.changed_in[e.worker] > since]
        if whole:
            entries = [e for e in entries if e.condition != "gone"]
        self._answer(call, (self.version, whole, entries))

    def _answer(self, call: DiscoveryCall, told: Any) -> None:
        answer, call.answer = call.answer, None
        if answer is None:
            return
        if told is not None:
            self._note_told(call.dispatcher, told[1], told[2])
        answer(told)

    def _note_told(self, dispatcher: int, whole: bool, entries: list[EndpointEntry]) -> None:
        """What a dispatcher knows from now on: rules three and four count from here."""
        now = self.clock.now()
        conditions = {e.worker: e.condition for e in entries}
        if whole:
            conditions = {**dict.fromkeys(self.entries, "gone"), **conditions}
        for worker, condition in conditions.items():
            self.records.add(
                Event(
                    now,
                    event_records.ENDPOINT_NOTIFIED,
                    dispatcher=dispatcher,
                    worker=worker,
                    detail=condition,
                )
            )
