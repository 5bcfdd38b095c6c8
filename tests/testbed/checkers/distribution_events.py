"""Builds histories of config distribution runs for tests of their checker."""

from ploverspoke.testbed.experiment_files.durations import MILLISECOND
from ploverspoke.testbed.processes.history import HistoryEvent

SERVERS, DISPATCHERS = ["s0", "s1", "s2"], ["d0", "d1"]
END_MS = 40_000
KEY = "settings.Limits.MaxHandOffs"
Events = list[HistoryEvent]


def event_at(at: int, who: str, what: str, detail: object = None) -> HistoryEvent:
    return HistoryEvent(at * MILLISECOND, who, what, detail)


def publish(at: int, tag: int, version: int, kind: str = "good", expect: int = -1) -> Events:
    """A publication that is acknowledged within 20 ms."""
    publication_id = f"p{tag}"
    return [
        event_at(at, "p", "wants", [publication_id, tag, kind, "" if kind == "good" else KEY, expect]),
        event_at(at + 1, "p", "sends", [publication_id, "s0"]),
        event_at(at + 20, "p", "answer", [publication_id, "s0", True, version, "", True]),
    ]


def probe_round(at: int, dispatcher: str, tag: int, known: str = "ab") -> HistoryEvent:
    names = [f"g{tag}{part}" for part in known]
    unknown = [f"g{tag}{part}" for part in "ab" if part not in known]
    return event_at(at + 5, "prober", "probe", [dispatcher, at * MILLISECOND, names, [*unknown, "g99a"]])


def probes(dispatcher: str, changes: dict[int, int], outage: tuple[int, int] = (0, 0)) -> Events:
    """A round of probes every 100 ms; `changes` has the tag that is active from a time (ms) on.

    There is none in `outage` (from, to; ms).
    """
    rounds, tag = [], 0
    for at in range(0, END_MS, 100):
        tag = changes.get(at, tag)
        if not outage[0] <= at < outage[1]:
            rounds.append(probe_round(at, dispatcher, tag))
    return rounds


def list_versions(at: int, ids: list[str], final: bool = True, server: str | None = None) -> Events:
    rows = [[number, f"digest{id_}", "p", id_] for number, id_ in enumerate(ids, 1)]
    return [event_at(at, "reader", "versions", [s, rows, final]) for s in SERVERS if server in (None, s)]


def make_run(*parts: Events, ids: list[str] | None = None) -> Events:
    """A whole history of the parts; `ids` are the publications that servers list at the end, in order."""
    listed = ["p1", "p2", "p3"] if ids is None else ids
    begin = [
        event_at(0, "rig", "begin", [1, []]),
        event_at(0, "run", "roles", {"servers": SERVERS, "dispatchers": DISPATCHERS}),
    ]
    end = [*list_versions(END_MS, listed), event_at(END_MS + 100, "rig", "end")]
    return sorted([*begin, *(event for part in parts for event in part), *end], key=lambda e: e.at)


PUBLISHED = [*publish(1000, 1, 1), *publish(2000, 2, 2), *publish(3000, 3, 3)]
IN_TIME = {1200: 1, 2200: 2, 3200: 3}
CUT = {"origin": ["d1"], "target": [], "cut": True}


def link_fault(at: int, until: int, fault: dict[str, object], number: int = 1) -> Events:
    return [event_at(at, "rig", "add fault", [number, fault]), event_at(until, "rig", "remove fault", number)]


def process_fault(at: int, until: int, what: str, name: str) -> Events:
    return [event_at(at, "rig", what, name), event_at(until, "rig", f"{what} is over", name)]


def probes_at_both(changes: dict[int, int]) -> Events:
    return [*probes("d0", changes), *probes("d1", changes)]


def publish_unacknowledged(at: int, tag: int, sure: bool) -> Events:
    answered = (
        [event_at(at + 20, "p", "answer", [f"p{tag}", "s0", False, 3, "refused", True])] if sure else []
    )
    wants = event_at(at, "p", "wants", [f"p{tag}", tag, "good", "", -1])
    return [wants, event_at(at + 1, "p", "sends", [f"p{tag}", "s0"]), *answered]
