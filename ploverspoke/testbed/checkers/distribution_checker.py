"""Checks histories of config servers and of dispatchers that watch them. Shares no code with what it checks.

The active version of a dispatcher is the one that its clients see. Which processes could reach each other
follows from the faults that the rig applied (`observed_reachability.py`).

1. The active version never decreases while a process runs. After a restart it is not older than before the
   restart once the dispatcher could reach the configuration for the time limit.
2. An active version was committed and is complete: only one of its two classes may be known for no longer
   than a round of probes, and never any class of a publication that was rejected or not committed.
3. An acknowledged version, or a newer one, is active after the time limit wherever the configuration could
   be reached all that time.
4. After a pause, a cut or a restart the same time limit counts from its end.
5. An acknowledged publication is never lost. A version number belongs to one publication, and numbers
   increase. Of two publications with the same expected version only one is committed. A publication that is
   retried under its id is committed once.
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
    classes_by_tag,
)
from .finding_collector import FindingCollector
from .history_finding import HistoryFinding
from .observed_reachability import ObservedReachability
from .rejection_checks import RejectionChecks

MIN_VERSIONS = 20  # seen active; a run with fewer proves too little
MIN_FAULTS = 10
DEFAULT_TIME_LIMIT = 10 * SECOND


class DistributionVerdict(NamedTuple):
    """The findings and counts of a history."""

    findings: list[HistoryFinding]
    versions: int  # seen active at a dispatcher
    faults: int  # that the rig applied
    checked_probes: int  # rounds of probes to which rule 3 applied
    acknowledged: int  # publications
    reported_rejections: int  # required rejection reports that were made
    has_final_listings: bool  # whether a majority of the servers was read at the end
    calm_delays: list[float]  # s from the acknowledgement until active, without a preceding fault
    delays_after_faults: list[float]  # s from the end of a fault until active

    def void_reason(self, min_versions: int = MIN_VERSIONS, min_faults: int = MIN_FAULTS) -> str:
        """Why the history proves too little; "" if it proves enough."""
        if not self.has_final_listings:
            return "the versions were not read from a majority at the end: nothing can be checked"
        if self.versions < min_versions:
            return f"only {self.versions} versions were seen active: that proves nothing"
        if self.faults < min_faults:
            return f"only {self.faults} faults: that proves nothing"
        return "" if self.checked_probes else "nobody could reach the configuration for long enough"


def check_distribution_history(
    events: Sequence[HistoryEvent], time_limit: int = DEFAULT_TIME_LIMIT
) -> DistributionVerdict:
    """Check events in order of time; `time_limit` (ns) is the limit of the rules above."""
    findings = FindingCollector()
    history, reachability = DistributionHistory(events), ObservedReachability(events)
    CommittedVersionChecks(history, findings).check()
    versions = VersionsByTag(history)
    reachable, reachable_for_1_s = (
        reachability.reachable_intervals(time_limit),
        reachability.reachable_intervals(SECOND),
    )
    dispatcher_checks = DispatcherChecks(history, reachability, versions, findings, time_limit)
    rejection_checks = RejectionChecks(history, reachability, findings, time_limit)
    for dispatcher in reachability.roles.dispatchers:
        rounds = read_probe_rounds(history, reachability, dispatcher)
        dispatcher_checks.check(dispatcher, rounds, reachable[dispatcher], reachable_for_1_s[dispatcher])
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
        rounds.append(
            ProbeRound(asked_at, event.at, classes_by_tag(known), classes_by_tag(unknown), incarnation)
        )
    return sorted(rounds, key=lambda probe_round: probe_round[:2])
