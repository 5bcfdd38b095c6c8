"""Checks histories of config servers and of dispatchers that watch them. Shares no code with what it checks.

What is active at a dispatcher is what its clients see, and who could reach whom follows from the faults that
the rig applied (`observed_reachability.py`).

1. The active version never goes back while a process runs, and after a restart it is not behind the one
   before once the dispatcher could reach the configuration for `within`.
2. What is active was committed, and is complete: one class of two for no longer than a round of probes, and
   never anything of a publication that was rejected or not committed.
3. What was acknowledged is active `within` later wherever the configuration could be reached all that time.
4. After a pause, a cut or a restart the same time counts from its end.
5. What was acknowledged is never lost; numbers belong to one publication each and grow; of two with one
   expected version one is committed; a publication that is retried under its id is committed once.
6. A body that the checks of dispatchers reject changes nothing and is reported with its key; one that the
   checks of a server reject is not accepted.

The modules of the checks: `committed_version_checks.py` (5, 6), `dispatcher_checks.py` (1, 2, 3, 4) and
`rejection_checks.py` (6).
"""

from collections.abc import Sequence
from typing import NamedTuple

from ..experiment_files.durations import SECOND
from ..processes.history import HistoryEvent
from .committed_version_checks import CommittedVersionChecks
from .dispatcher_checks import DispatcherChecks, VersionsByTag
from .distribution_history import (
    DistributionHistory,
    ProbeRound,
    tags_of,
)
from .finding_collector import FindingCollector
from .history_finding import HistoryFinding
from .observed_reachability import ObservedReachability
from .rejection_checks import RejectionChecks

MIN_VERSIONS = 20  # seen active; fewer show too little
MIN_FAULTS = 10
WITHIN = 10 * SECOND


class DistributionVerdict(NamedTuple):
    """What a history shows."""

    findings: list[HistoryFinding]
    versions: int  # seen active at a dispatcher
    faults: int  # that the rig applied
    checked_probes: int  # for which rule 3 says what they must show
    acknowledged: int  # publications
    reported_rejections: int  # that had to be reported, and were
    has_final_listings: bool  # whether a majority of the servers was read at the end
    calm_delays: list[float]  # s from the acknowledgement until active, without faults before
    delays_after_faults: list[float]  # s from the end of a fault until active

    def void_reason(self, min_versions: int = MIN_VERSIONS, min_faults: int = MIN_FAULTS) -> str:
        """Why the history proves nothing; "" if it does."""
        if not self.has_final_listings:
            return "the versions were not read from a majority at the end: nothing can be checked"
        if self.versions < min_versions:
            return f"only {self.versions} versions were seen active: that proves nothing"
        if self.faults < min_faults:
            return f"only {self.faults} faults: that proves nothing"
        return "" if self.checked_probes else "nobody could reach the configuration for long enough"


def check_distribution_history(events: Sequence[HistoryEvent], within: int = WITHIN) -> DistributionVerdict:
    """Check events in order of time; `within` (ns) is the limit of the rules above."""
    findings = FindingCollector()
    history, reachability = DistributionHistory(events), ObservedReachability(events)
    CommittedVersionChecks(history, findings).check()
    versions = VersionsByTag(history)
    reachable, shortly_reachable = (
        reachability.reachable_intervals(within),
        reachability.reachable_intervals(SECOND),
    )
    dispatcher_checks = DispatcherChecks(history, reachability, versions, findings, within)
    rejection_checks = RejectionChecks(history, reachability, findings, within)
    for dispatcher in reachability.roles.dispatchers:
        rounds = read_probe_rounds(history, reachability, dispatcher)
        dispatcher_checks.check(dispatcher, rounds, reachable[dispatcher], shortly_reachable[dispatcher])
        rejection_checks.check(dispatcher, reachable[dispatcher])
    return DistributionVerdict(
        findings=findings.sorted(),
        versions=len(dispatcher_checks.active_versions),
        faults=reachability.fault_count,
        checked_probes=dispatcher_checks.checked_probes,
        acknowledged=len(history.acknowledged),
        reported_rejections=rejection_checks.reported,
        has_final_listings=len(history.final_listings) > len(reachability.roles.servers) // 2,
        calm_delays=sorted(dispatcher_checks.calm_delays),
        delays_after_faults=sorted(dispatcher_checks.delays_after_faults),
    )


def read_probe_rounds(
    history: DistributionHistory, reachability: ObservedReachability, dispatcher: str
) -> list[ProbeRound]:
    """The rounds of probes at a dispatcher, in order of their start."""
    rounds = []
    for event in history.probes[dispatcher]:
        _, asked_at, known, unknown = event.detail
        incarnation = reachability.incarnation(dispatcher, asked_at)
        rounds.append(ProbeRound(asked_at, event.at, tags_of(known), tags_of(unknown), incarnation))
    return sorted(rounds, key=lambda probe_round: probe_round[:2])
