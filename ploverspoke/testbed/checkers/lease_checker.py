"""Checks the histories of lease runs.

It shares no code with what it checks, and uses no clock but the machine's own. A candidate records each check
of its lease that precedes an effect, and the protected resource records each effect.

1. Holders exclude one another: all checks with one token precede all checks with a later one, and at no time
   are more tokens of a lease in use than it may have holders.
2. A token belongs to one candidate, and a later grant has a higher one.
3. The protected resource accepts no token lower than one that it has accepted.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from itertools import pairwise
from typing import NamedTuple

from ..experiment_files.durations import SECOND
from ..processes.history import HistoryEvent
from .history_finding import HistoryFinding

MIN_HOLDER_CHANGES = 50  # a run with fewer proves too little
LEASE_CHECKED = "acts"  # event of a candidate; its detail is [name, token]
EFFECT = "effect"  # event of the protected resource; its detail is a RecordedEffect


class RecordedEffect(NamedTuple):
    """The detail of an EFFECT event."""

    name: str
    token: int
    checked_at: int  # ns
    was_accepted: bool
    candidate: str


class TokenUse(NamedTuple):
    """The period in which a candidate used one token."""

    token: int
    candidate: str
    first_check: int  # ns
    last_check: int  # ns


class LeaseVerdict(NamedTuple):
    """The findings and counts of a history."""

    findings: list[HistoryFinding]
    checks: int  # of a lease by a candidate, whether or not an effect followed
    accepted_effects: int
    holder_changes: int
    rejected_effects: int  # because of an old token
    names: int  # leases that were in use

    def void_reason(self, min_changes: int = MIN_HOLDER_CHANGES) -> str:
        """Why the history proves too little; "" if it proves enough."""
        if self.holder_changes >= min_changes:
            return ""
        return f"only {self.holder_changes} changes of holder: that proves nothing"


def check_lease_history(events: Sequence[HistoryEvent], max_holders: Mapping[str, int]) -> LeaseVerdict:
    """Check events in order of time; `max_holders` has the limit by lease name; a missing one is 1."""
    effects = [RecordedEffect(*event.detail) for event in events if event.kind == EFFECT]
    checks = [event for event in events if event.kind == LEASE_CHECKED]
    findings = _find_decreasing_tokens(events, max_holders) + _find_shared_tokens(checks)
    uses = _token_uses(checks)
    for name, lease_uses in uses.items():
        findings += _find_overlaps(name, lease_uses, max_holders.get(name, 1))
    return LeaseVerdict(
        findings=sorted(findings, key=lambda finding: finding.at),
        checks=len(checks),
        accepted_effects=sum(effect.was_accepted for effect in effects),
        holder_changes=sum(_count_holder_changes(lease_uses) for lease_uses in uses.values()),
        rejected_effects=sum(not effect.was_accepted for effect in effects),
        names=len(uses),
    )


def takeover_gaps(events: Sequence[HistoryEvent], kill_event: str) -> list[float]:
    """The sorted seconds from each kill of a holder to the first check of another candidate for that lease.

    `kill_event` is the kind of event that records a kill; its detail is [candidate, name].
    """
    gaps = []
    checks = [event for event in events if event.kind == LEASE_CHECKED]
    for event in events:
        if event.kind != kill_event:
            continue
        candidate, name = event.detail
        later = (c.at for c in checks if c.at > event.at and c.detail[0] == name and c.source != candidate)
        first = next(later, None)
        if first is not None:
            gaps.append((first - event.at) / SECOND)
    return sorted(gaps)


def _find_decreasing_tokens(
    events: Sequence[HistoryEvent], max_holders: Mapping[str, int]
) -> list[HistoryFinding]:
    findings = []
    highest: dict[str, int] = {}
    for event in events:
        if event.kind != EFFECT:
            continue
        effect = RecordedEffect(*event.detail)
        if not effect.was_accepted:
            continue
        name, token = effect.name, effect.token
        if max_holders.get(name, 1) == 1 and token < highest.get(name, 0):
            text = f"{name}: token {token} was accepted after {highest[name]}"
            findings.append(HistoryFinding(text, event.at))
        highest[name] = max(highest.get(name, 0), token)
    return findings


def _checks_by_token(checks: Sequence[HistoryEvent]) -> dict[tuple[str, int], list[HistoryEvent]]:
    grouped: dict[tuple[str, int], list[HistoryEvent]] = defaultdict(list)
    for event in checks:
        name, token = event.detail
        grouped[name, token].append(event)
    return grouped


def _find_shared_tokens(checks: Sequence[HistoryEvent]) -> list[HistoryFinding]:
    findings = []
    for (name, token), token_checks in _checks_by_token(checks).items():
        candidates = {event.source for event in token_checks}
        if len(candidates) > 1:
            text = f"{name}: token {token} was used by {', '.join(sorted(candidates))}"
            findings.append(HistoryFinding(text, token_checks[0].at))
    return findings


def _token_uses(checks: Sequence[HistoryEvent]) -> dict[str, list[TokenUse]]:
    """The uses of each lease by its name, in order of their first checks."""
    uses: dict[str, list[TokenUse]] = defaultdict(list)
    for (name, token), token_checks in _checks_by_token(checks).items():
        times = [event.at for event in token_checks]
        uses[name].append(TokenUse(token, token_checks[0].source, min(times), max(times)))
    for lease_uses in uses.values():
        lease_uses.sort(key=lambda use: use.first_check)
    return uses


def _count_holder_changes(uses: Sequence[TokenUse]) -> int:
    return sum(use.candidate != next_use.candidate for use, next_use in pairwise(uses))


def _find_overlaps(name: str, uses: Sequence[TokenUse], max_holders: int) -> list[HistoryFinding]:
    """`uses` are in order of their first checks."""
    findings = []
    for position, use in enumerate(uses):
        earlier = [other for other in uses[:position] if other.last_check >= use.first_check]
        if len(earlier) >= max_holders:
            users = ", ".join(f"{other.candidate} with {other.token}" for other in [*earlier, use])
            text = f"{name}: {users} hold it at once, {max_holders} may"
            findings.append(HistoryFinding(text, use.first_check))
        if position and max_holders == 1 and use.token < uses[position - 1].token:
            text = f"{name}: {use.candidate} begins with {use.token} after {uses[position - 1].token}"
            findings.append(HistoryFinding(text, use.first_check))
    return findings
