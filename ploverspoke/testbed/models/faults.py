"""Troubles on a timeline: which workers each one strikes, and what it does to the models at its begin and
end.

A trouble is known by its number, and what it does is undone by that number, so that troubles may overlap on
one worker and end in any order: a worker is well again when none is left.
"""

from collections.abc import Callable, Sequence

from ..experiment_files.experiment import Experiment
from ..experiment_files.fault_tables import (
    ConnectionResets,
    Crash,
    DelayedReports,
    DiscoveryOutage,
    Drain,
    FastFailures,
    Fault,
    Hang,
    IdleConnectionDrops,
    RegionPartition,
    RepeatedPauses,
    SilentConnections,
    Slowdown,
    StoreSlowdown,
    ZonePartition,
)
from .discovery import DiscoveryModel
from .random_streams import RandomStreams
from .shared_store import SharedStore
from .virtual_clock import Clock
from .worker import Worker

FALLEN = -1  # in place of a trouble's number
LIKE_CRASH = (Crash, Drain)


def struck(e: Experiment, seed: int) -> list[list[str]]:
    """The workers of each trouble, by name; those given by a share are drawn from the seed."""
    kinds = [(w.zone, w.machine_kind) for w in e.workers for _ in range(w.count)]
    names = e.worker_names()
    found = []
    for number, t in enumerate(e.faults):
        if t.workers or not t.affects_workers:
            found.append(list(t.workers))
            continue
        pool = [
            n
            for n, (zone, kind) in zip(names, kinds, strict=True)
            if t.zone in ("", zone) and t.machine_kind in ("", kind)
        ]
        if t.share:
            count = max(1, round(t.share * len(pool)))
            chosen = (
                RandomStreams(seed).generator(f"trouble {number}").choice(len(pool), count, replace=False)
            )
            pool = [pool[i] for i in sorted(chosen)]
        found.append(pool)
    return found


def _unheard(worker: str) -> None:
    pass


class ConnectionFaults:
    """What troubles do to hand-offs' connections, by worker: the highest share of those in force."""

    def __init__(self) -> None:
        self.resets: dict[str, dict[int, float]] = {}
        self.silences: dict[str, dict[int, float]] = {}
        self.drops: dict[str, dict[int, float]] = {}

    @staticmethod
    def share(of: dict[str, dict[int, float]], worker: str) -> float:
        there = of.get(worker)
        return max(there.values()) if there else 0.0


class WorkerFaults:
    """Plays the troubles of workers, store and discovery on one process's models.

    `died` and `returned` tell the driver, which owns the connections; `listed` tells discovery.
    """

    def __init__(
        self,
        e: Experiment,
        seed: int,
        clock: Clock,
        workers: Sequence[Worker],
        connections: ConnectionFaults,
        died: Callable[[Worker], None],
        returned: Callable[[Worker], None],
    ) -> None:
        self.e = e
        self.clock = clock
        self.workers = {w.name: w for w in workers}
        self.connections = connections
        self.died = died
        self.returned = returned
        self.down: dict[str, set[int]] = {w.name: set() for w in workers}
        self.next_fall = len(e.faults)
        self.on_fall: Callable[[str], None] = _unheard  # told of those pushed over, and when they are back
        self.on_back: Callable[[str], None] = _unheard
        for worker in workers:
            worker.on_fall = self.fell
        for number, (trouble, names) in enumerate(zip(e.faults, struck(e, seed), strict=True)):
            ours = [self.workers[n] for n in names if n in self.workers]
            for worker in ours:
                clock.at(trouble.start, self._begin, number, trouble, worker)
                clock.at(trouble.start + trouble.duration, self._end, number, trouble, worker)

    def fell(self, worker: Worker) -> None:
        """Pushed over while cold: it stays down for its time."""
        number = self.next_fall
        self.next_fall += 1
        self._go_down(number, worker)
        self.on_fall(worker.name)
        self.clock.at(self.clock.now() + self.e.worker_rules.overload_downtime, self._rise, number, worker)

    def _rise(self, number: int, worker: Worker) -> None:
        self._come_back(number, worker)
        self.on_back(worker.name)

    def _begin(self, number: int, t: Fault, worker: Worker) -> None:
        if isinstance(t, Crash):
            self._go_down(number, worker)
        elif isinstance(t, Drain):
            self.down[worker.name].add(number)
            worker.on_empty = lambda w: self._go_down(number, w)
            if worker.is_empty():
                self.clock.at(self.clock.now() + self.e.rules.drain_grace, self._drained, number, worker)
        elif isinstance(t, Hang):
            worker.freeze(number)
        elif isinstance(t, RepeatedPauses):
            self._pause(number, t, worker)
        elif isinstance(t, Slowdown):
            worker.slow(number, t.factor)
        elif isinstance(t, FastFailures):
            worker.failing[number] = t.probability
        elif isinstance(t, DelayedReports):
            worker.reports_late[number] = t.delay
        elif isinstance(t, ConnectionResets):
            self.connections.resets.setdefault(worker.name, {})[number] = t.probability
        elif isinstance(t, SilentConnections):
            self.connections.silences.setdefault(worker.name, {})[number] = t.probability
        elif isinstance(t, IdleConnectionDrops):
            self.connections.drops.setdefault(worker.name, {})[number] = t.probability

    def _end(self, number: int, t: Fault, worker: Worker) -> None:
        if isinstance(t, LIKE_CRASH):
            if worker.up:
                self._go_down(number, worker)  # a drain's time is over with work still there
            self._come_back(number, worker)
        elif isinstance(t, Hang | RepeatedPauses):
            worker.thaw(number)
        elif isinstance(t, Slowdown | FastFailures | DelayedReports):
            worker.recover(number)
        else:
            for effects in (self.connections.resets, self.connections.silences, self.connections.drops):
                effects.get(worker.name, {}).pop(number, None)

    def _pause(self, number: int, t: RepeatedPauses, worker: Worker) -> None:
        now = self.clock.now()
        if now + t.pause >= t.start + t.duration:
            return
        worker.freeze(number)
        self.clock.at(now + t.pause, worker.thaw, number)
        self.clock.at(now + t.interval, self._pause, number, t, worker)

    def _drained(self, number: int, worker: Worker) -> None:
        if number in self.down[worker.name] and worker.up and worker.is_empty():
            self._go_down(number, worker)

    def _go_down(self, number: int, worker: Worker) -> None:
        worker.on_empty = None
        self.down[worker.name].add(number)
        if worker.up:
            worker.die()
            self.died(worker)

    def _come_back(self, number: int, worker: Worker) -> None:
        self.down[worker.name].discard(number)
        if not self.down[worker.name] and not worker.up:
            worker.start()
            self.returned(worker)


class DiscoveryFaults:
    """What discovery does and shows, on its own process's models: planned changes, deaths that it notices."""

    def __init__(self, e: Experiment, seed: int, clock: Clock, roster: DiscoveryModel) -> None:
        self.e = e
        self.clock = clock
        self.roster = roster
        self.down: dict[str, set[int]] = {}
        for number, (t, names) in enumerate(zip(e.faults, struck(e, seed), strict=True)):
            end = t.start + t.duration
            if isinstance(t, DiscoveryOutage):
                clock.at(t.start, roster.go_down, number)
                clock.at(end, roster.come_up, number)
            for worker in names:
                if isinstance(t, Drain):
                    clock.at(t.start, self._drains, number, worker)
                elif isinstance(t, Crash):
                    clock.at(t.start, self._dies, number, worker)
                if isinstance(t, LIKE_CRASH):
                    clock.at(end, self._returns, number, worker)

    def _drains(self, number: int, worker: str) -> None:
        self.down.setdefault(worker, set()).add(number)
        self.roster.change(worker, "draining")

    def fell(self, worker: str) -> None:
        """Pushed over: noticed as any death is."""
        self._dies(FALLEN, worker)

    def back(self, worker: str) -> None:
        self._returns(FALLEN, worker)

    def _dies(self, number: int, worker: str) -> None:
        self.down.setdefault(worker, set()).add(number)
        self.clock.at(
            self.clock.now() + self.e.discovery.failure_detection_time, self._notices, number, worker
        )

    def _notices(self, number: int, worker: str) -> None:
        if number in self.down.get(worker, ()):
            self.roster.change(worker, "gone")

    def _returns(self, number: int, worker: str) -> None:
        self.down[worker].discard(number)
        if not self.down[worker]:
            self.roster.change(worker, "ready", max(1, self.clock.now()))


class StoreFaults:
    def __init__(self, e: Experiment, clock: Clock, store: SharedStore | None) -> None:
        for number, t in enumerate(e.faults):
            if store is not None and isinstance(t, StoreSlowdown):
                clock.at(t.start, store.jams.__setitem__, number, t.factor)
                clock.at(t.start + t.duration, store.jams.__delitem__, number)


class ZoneCuts:
    """Which zones nothing passes between at the moment."""

    def __init__(self, e: Experiment, clock: Clock) -> None:
        self.cut: dict[int, frozenset[int]] = {}  # zones on the one side, by the trouble's number
        self.calls_cut: dict[int, frozenset[int]] = {}  # zones that do not reach discovery
        zones = e.zones()
        for number, t in enumerate(e.faults):
            if isinstance(t, ZonePartition):
                self._plan(clock, self.cut, number, t, frozenset([zones.index(t.zone)]))
            elif isinstance(t, RegionPartition):
                side = frozenset(zones.index(zone) for zone in e.network.regions[t.region])
                self._plan(clock, self.cut, number, t, side)
                far = side if t.region else frozenset(range(len(zones))) - side
                self._plan(clock, self.calls_cut, number, t, far)

    @staticmethod
    def _plan(
        clock: Clock, of: dict[int, frozenset[int]], number: int, t: Fault, side: frozenset[int]
    ) -> None:
        clock.at(t.start, of.__setitem__, number, side)
        clock.at(t.start + t.duration, of.__delitem__, number)

    def between(self, one: int, other: int) -> bool:
        return bool(self.cut) and any((one in side) != (other in side) for side in self.cut.values())

    def reaches_discovery(self, zone: int) -> bool:
        return not any(zone in side for side in self.calls_cut.values())
