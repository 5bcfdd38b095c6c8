"""Derives from the faults that the rig applied which processes ran and could reach each other."""

from collections import defaultdict
from collections.abc import Hashable, Mapping, Sequence
from itertools import combinations
from typing import Any, NamedTuple

from ..processes.history import HistoryEvent
from .time_intervals import Interval, find_interval, merge_intervals, subtract_intervals

RIG = "rig"
STEP_END_SUFFIX = " is over"  # of the kind of the event that ends a step
RESTARTS = ("kill", "restart", "empty", "older")  # steps that end an incarnation
# Steps during which a process may not answer.
OUTAGES = (*RESTARTS, "pause", "starve", "disk full", "disk fails")
LINK_FAULT_EVENTS = ("add fault", "reset")


class Roles(NamedTuple):
    """The names of the processes of a run."""

    servers: list[str]
    dispatchers: list[str]


class CutLinks(NamedTuple):
    """An interval in which nothing passed from any origin to any target; an empty set means every process."""

    interval: Interval
    origins: frozenset[str]
    targets: frozenset[str]

    def covers(self, origin: str, target: str) -> bool:
        """Whether the link from `origin` to `target` was cut."""
        return (not self.origins or origin in self.origins) and (not self.targets or target in self.targets)


class ObservedReachability:
    """Outages, incarnations and cut links of a run."""

    def __init__(self, events: Sequence[HistoryEvent]) -> None:
        """Read the events of the rig; all events are in order of time."""
        rig_events = [event for event in events if event.source == RIG]
        no_roles: dict[str, list[str]] = {}
        roles = next((event.detail for event in events if event.kind == "roles"), no_roles)
        self.roles = Roles(roles.get("servers", []), roles.get("dispatchers", []))
        first, last = (events[0].at, events[-1].at) if events else (0, 0)
        self.run = Interval(next((event.at for event in rig_events if event.kind == "begin"), first), last)
        self.outages: dict[str, list[Interval]] = defaultdict(list)  # by process
        self.fault_count = sum(event.kind in (*LINK_FAULT_EVENTS, *OUTAGES) for event in rig_events)
        self._restarts: dict[str, list[Interval]] = defaultdict(list)  # outages that ended an incarnation
        self._cut_links: list[CutLinks] = []
        self._read_faults(rig_events)

    def _read_faults(self, rig_events: Sequence[HistoryEvent]) -> None:
        active: dict[Hashable, HistoryEvent] = {}  # by step and process, or by the number of a link fault
        for event in rig_events:
            if event.kind in OUTAGES:
                active[event.kind, event.detail] = event
            elif event.kind.endswith(STEP_END_SUFFIX):
                step_kind = event.kind.removesuffix(STEP_END_SUFFIX)
                self._add_fault(active.pop((step_kind, event.detail), None), event.at)
            elif event.kind == "add fault":
                active[event.detail[0]] = event
            elif event.kind == "remove fault":
                self._add_fault(active.pop(event.detail, None), event.at)
        for event in active.values():
            self._add_fault(event, self.run.end)

    def _add_fault(self, event: HistoryEvent | None, end: int) -> None:
        if event is None:
            return
        interval = Interval(event.at, end)
        if event.kind == "add fault":
            self._add_cut(interval, event.detail[1])
            return
        self.outages[event.detail].append(interval)
        if event.kind in RESTARTS:
            self._restarts[event.detail].append(interval)

    def _add_cut(self, interval: Interval, fault: Mapping[str, Any]) -> None:
        if fault.get("cut") or fault.get("silent"):
            origins, targets = frozenset(fault.get("origin", ())), frozenset(fault.get("target", ()))
            self._cut_links.append(CutLinks(interval, origins, targets))

    def separations(self, process: str, other: str) -> list[Interval]:
        """The intervals in which a link between the two was cut, in either direction."""
        return [
            cut.interval
            for cut in self._cut_links
            for origin, target in ((process, other), (other, process))
            if cut.covers(origin, target)
        ]

    def reachable_intervals(self, min_length: int) -> dict[str, list[Interval]]:
        """By dispatcher, the intervals of at least `min_length` (ns) in which it can reach the configuration.

        It can while it runs and has an uncut link to a server in a working majority: one whose servers all
        run and have no cut link between them.
        """
        majorities = list(combinations(self.roles.servers, len(self.roles.servers) // 2 + 1))
        failures = {majority: self._majority_failures(majority) for majority in majorities}
        reachable = {}
        for dispatcher in self.roles.dispatchers:
            intervals = {
                interval
                for majority in majorities
                for server in majority
                for interval in subtract_intervals(
                    self.run,
                    [
                        *failures[majority],
                        *self.outages[dispatcher],
                        *self.separations(dispatcher, server),
                    ],
                )
                if interval.length() >= min_length
            }
            reachable[dispatcher] = sorted(intervals)
        return reachable

    def _majority_failures(self, servers: Sequence[str]) -> list[Interval]:
        """The intervals in which one of these servers did not run, or two could not reach each other."""
        outages = [interval for server in servers for interval in self.outages[server]]
        separations = [
            interval
            for server, other in combinations(servers, 2)
            for interval in self.separations(server, other)
        ]
        return merge_intervals(outages + separations)

    def incarnation(self, process: str, at: int) -> int:
        """The number of the process's incarnation at that time, from 0; -1 during a restart."""
        restarts = self._restarts[process]
        return -1 if find_interval(restarts, at) else sum(interval.end < at for interval in restarts)
