"""Judges histories of a run of leases. It shares no code with what it checks, and knows nothing of clocks but
the machine's own: the time at which a contender looked at its lease before an effect stands in the effect.

1. No two act at once: the looks under one token lie before all looks under a later one, and no more than
   `places` tokens of a name are being acted under at any time.
2. A token is one contender's, and a later grant has a higher one.
3. A fenced resource takes no token that is lower than one it has taken.
"""

from collections import defaultdict
from typing import NamedTuple

from ..processes.history import HistoryEvent

MIN_HOLDER_CHANGES = 50  # of holder: with fewer a run proves nothing


class Tenure(NamedTuple):
    """What was done under one token."""

    token: int
    who: str
    first: int  # look, ns
    last: int


class LeaseVerdict(NamedTuple):
    findings: list[tuple[str, int]]  # what, and when
    effects: int  # looks that led to one, whether it came or not
    taken: int
    changes: int  # of holder
    refused: int  # old tokens, by the resource
    names: int

    def void(self, fewest: int = MIN_HOLDER_CHANGES) -> str:
        return "" if self.changes >= fewest else f"only {self.changes} changes of holder: that proves nothing"


def check_lease_history(events: list[HistoryEvent], places: dict[str, int]) -> LeaseVerdict:
    findings: list[tuple[str, int]] = []
    looks: dict[tuple[str, int], list[tuple[int, str]]] = defaultdict(list)
    highest: dict[str, int] = {}
    taken = refused = 0
    for event in events:
        if event.what == "acts":
            name, token = event.detail
            looks[name, token].append((event.at, event.who))
        elif event.what == "effect":
            name, token, _, was_taken, _ = event.detail
            if not was_taken:
                refused += 1
                continue
            taken += 1
            if places.get(name, 1) == 1 and token < highest.get(name, 0):
                findings.append((f"{name}: token {token} was taken after {highest[name]}", event.at))
            highest[name] = max(highest.get(name, 0), token)
    tenures: dict[str, list[Tenure]] = defaultdict(list)
    for (name, token), rows in looks.items():
        who = {one for _, one in rows}
        if len(who) > 1:
            findings.append(
                (f"{name}: token {token} was acted under by {', '.join(sorted(who))}", rows[0][0])
            )
        times = [at for at, _ in rows]
        tenures[name].append(Tenure(token, rows[0][1], min(times), max(times)))
    changes = 0
    for name, of_name in tenures.items():
        of_name.sort(key=lambda tenure: tenure.first)
        changes += sum(one.who != other.who for one, other in zip(of_name, of_name[1:], strict=False))
        findings += overlaps(name, of_name, places.get(name, 1))
    findings.sort(key=lambda row: row[1])
    return LeaseVerdict(findings, sum(map(len, looks.values())), taken, changes, refused, len(tenures))


def takeover_gaps(events: list[HistoryEvent], killed: str) -> list[float]:
    """Seconds from each kill of a holder to the first look of another under the same name."""
    found = []
    acts = [event for event in events if event.what == "acts"]
    for event in events:
        if event.what != killed:
            continue
        who, name = event.detail
        after = (a.at for a in acts if a.at > event.at and a.detail[0] == name and a.who != who)
        next_look = next(after, None)
        if next_look is not None:
            found.append((next_look - event.at) / 1e9)
    return sorted(found)


def overlaps(name: str, tenures: list[Tenure], places: int) -> list[tuple[str, int]]:
    """`tenures` in order of their first looks."""
    found = []
    for at, one in enumerate(tenures):
        others = [o for o in tenures[:at] if o.last >= one.first]
        if len(others) >= places:
            told = ", ".join(f"{o.who} under {o.token}" for o in [*others, one])
            found.append((f"{name}: {told} act at once, {places} may", one.first))
        if at and one.token < tenures[at - 1].token and places == 1:
            found.append(
                (f"{name}: {one.who} begins under {one.token} after {tenures[at - 1].token}", one.first)
            )
    return found
