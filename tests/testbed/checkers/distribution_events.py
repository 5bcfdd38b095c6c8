"""Builds histories of config distribution runs for tests of their checker."""

from ploverspoke.testbed.experiment_files.durations import MILLISECOND
from ploverspoke.testbed.processes.history import HistoryEvent

SERVERS, DISPATCHERS = ["s0", "s1", "s2"], ["d0", "d1"]
END_MS = 40_000
KEY = "settings.Limits.MaxHandOffs"
Events = list[HistoryEvent]


def event_at(at_ms: int, source: str, kind: str, detail: object = None) -> HistoryEvent:
    return HistoryEvent(at_ms * MILLISECOND, source, kind, detail)


def publish(at_ms: int, tag: int, version: int, kind: str = "good", expect: int = -1) -> Events:
    """A publication that is acknowledged within 20 ms."""
    publication_id = f"p{tag}"
    return [
        event_at(at_ms, "p", "wants", [publication_id, tag, kind, "" if kind == "good" else KEY, expect]),
        event_at(at_ms + 1, "p", "sends", [publication_id, "s0"]),
        event_at(at_ms + 20, "p", "answer", [publication_id, "s0", True, version, "", True]),
    ]


def probe_round(at_ms: int, dispatcher: str, tag: int, known: str = "ab") -> HistoryEvent:
    names = [f"g{tag}{letter}" for letter in known]
    unknown = [f"g{tag}{letter}" for letter in "ab" if letter not in known]
    return event_at(
        at_ms + 5, "prober", "probe", [dispatcher, at_ms * MILLISECOND, names, [*unknown, "g99a"]]
    )


def probes(dispatcher: str, changes: dict[int, int], outage: tuple[int, int] = (0, 0)) -> Events:
    """A round of probes every 100 ms, except during `outage` (from and to, in ms).

    `changes` has the active tag by the time (ms) from which it is active.
    """
    rounds, tag = [], 0
    for at_ms in range(0, END_MS, 100):
        tag = changes.get(at_ms, tag)
        if not outage[0] <= at_ms < outage[1]:
            rounds.append(probe_round(at_ms, dispatcher, tag))
    return rounds


def list_versions(at_ms: int, ids: list[str], final: bool = True, server: str | None = None) -> Events:
    rows = [[number, f"digest{id_}", "p", id_] for number, id_ in enumerate(ids, 1)]
    return [event_at(at_ms, "reader", "versions", [s, rows, final]) for s in SERVERS if server in (None, s)]


def make_run(*event_lists: Events, ids: list[str] | None = None) -> Events:
    """A complete history with these events; servers list the publications `ids` at its end, in order."""
    listed = ["p1", "p2", "p3"] if ids is None else ids
    begin = [
        event_at(0, "rig", "begin", [1, []]),
        event_at(0, "run", "roles", {"servers": SERVERS, "dispatchers": DISPATCHERS}),
    ]
    end = [*list_versions(END_MS, listed), event_at(END_MS + 100, "rig", "end")]
    return sorted([*begin, *(event for events in event_lists for event in events), *end], key=lambda e: e.at)


PUBLISHED = [*publish(1000, 1, 1), *publish(2000, 2, 2), *publish(3000, 3, 3)]
IN_TIME = {1200: 1, 2200: 2, 3200: 3}
CUT = {"origin": ["d1"], "target": [], "cut": True}


def link_fault(at_ms: int, until_ms: int, fault: dict[str, object], number: int = 1) -> Events:
    return [
        event_at(at_ms, "rig", "add fault", [number, fault]),
        event_at(until_ms, "rig", "remove fault", number),
    ]


def process_fault(at_ms: int, until_ms: int, kind: str, name: str) -> Events:
    return [event_at(at_ms, "rig", kind, name), event_at(until_ms, "rig", f"{kind} is over", name)]


def probes_at_both(changes: dict[int, int]) -> Events:
    return [*probes("d0", changes), *probes("d1", changes)]


def publish_unacknowledged(at_ms: int, tag: int, is_rejected: bool) -> Events:
    replies = (
        [event_at(at_ms + 20, "p", "answer", [f"p{tag}", "s0", False, 3, "refused", True])]
        if is_rejected
        else []
    )
    wanted = event_at(at_ms, "p", "wants", [f"p{tag}", tag, "good", "", -1])
    return [wanted, event_at(at_ms + 1, "p", "sends", [f"p{tag}", "s0"]), *replies]
