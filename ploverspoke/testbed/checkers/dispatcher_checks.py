"""Checks the active versions of each dispatcher (rules 1 to 4), its answers and its admin replies."""

from bisect import bisect_right
from itertools import accumulate, pairwise
from typing import NamedTuple

from ..experiment_files.durations import SECOND, format_duration
from .distribution_history import (
    COMPLETE,
    Acknowledgement,
    DistributionHistory,
    ProbeRound,
    Publication,
    PublicationKind,
)
from .finding_collector import FindingCollector
from .observed_reachability import ObservedReachability
from .time_intervals import Interval, find_interval, subtract_intervals

MAX_SILENCE = 5 * SECOND  # without an answer, while a dispatcher runs and is probed continuously
OWN_FILE_TAG = 0
UNKNOWN_VERSION = -1


class VersionsByTag:
    """Publications and version numbers by tag."""

    def __init__(self, history: DistributionHistory) -> None:
        """Read them from the history.

        An acknowledged publication has a version number even if no server lists it: that it is missing is
        reported by another check.
        """
        self._publications = {p.tag: p for p in history.publications.values()}
        acknowledged = {id_: reply.version for id_, reply in history.acknowledged.items()}
        committed = {row.id: version for version, row in history.committed.items()}
        versions = acknowledged | committed
        self._versions = {p.tag: versions[p.id] for p in history.publications.values() if p.id in versions}
        self._versions[OWN_FILE_TAG] = 0

    def publication(self, tag: int) -> Publication | None:
        """The publication that has the tag."""
        return self._publications.get(tag)

    def is_committed(self, tag: int) -> bool:
        """Whether the tag has a version number."""
        return tag in self._versions

    def active_version(self, probe_round: ProbeRound) -> int:
        """The highest version whose two classes were both known; UNKNOWN_VERSION if there is none."""
        complete = [tag for tag, classes in probe_round.known.items() if classes == COMPLETE]
        return max((self._versions.get(tag, UNKNOWN_VERSION) for tag in complete), default=UNKNOWN_VERSION)


class ActiveVersion(NamedTuple):
    """A round of probes and the version that it showed."""

    probe_round: ProbeRound
    version: int


class DispatcherChecks:
    """Checks dispatchers one by one, and collects counts and delays over all of them."""

    def __init__(
        self,
        history: DistributionHistory,
        reachability: ObservedReachability,
        versions: VersionsByTag,
        findings: FindingCollector,
        time_limit: int,
    ) -> None:
        """`time_limit` (ns) is the limit of rules 1 and 3."""
        self._history = history
        self._reachability = reachability
        self._versions = versions
        self._findings = findings
        self._time_limit = time_limit
        self.active_versions: set[int] = set()  # without version 0, the dispatchers' own files
        self.checked_probes = 0
        self.calm_delays: list[float] = []  # s
        self.delays_after_faults: list[float] = []  # s

    def check(
        self,
        dispatcher: str,
        rounds: list[ProbeRound],
        reachable: list[Interval],
        reachable_for_1_s: list[Interval],
    ) -> None:
        """Check one dispatcher.

        Args:
            dispatcher: Its name.
            rounds: Its rounds of probes, in order of time.
            reachable: The intervals of at least `time_limit` in which it could reach the configuration.
            reachable_for_1_s: The intervals of at least 1 s in which it could.
        """
        self._check_known_tags(dispatcher, rounds)
        self._check_not_half_applied(dispatcher, rounds)
        self._check_some_version_active(dispatcher, rounds)
        active = [ActiveVersion(probed, self._versions.active_version(probed)) for probed in rounds]
        self.active_versions |= {version for _, version in active if version > 0}
        self._check_never_decreases(dispatcher, active)
        self._check_not_older_after_restart(dispatcher, active, reachable)
        acknowledged = self._acknowledged_valid_versions()
        self._check_applied_in_time(dispatcher, active, reachable, acknowledged)
        self._measure_delays(active, reachable_for_1_s, acknowledged)
        self._check_answers_regularly(dispatcher, rounds)
        self._check_admin_replies(dispatcher, active)

    # ---- Rule 2 ----

    def _check_known_tags(self, dispatcher: str, rounds: list[ProbeRound]) -> None:
        for probe_round in rounds:
            for tag in probe_round.known:
                problem = self._tag_problem(tag)
                if problem:
                    publication = self._versions.publication(tag)
                    name = publication.id if publication is not None else f"tag {tag}"
                    text = f"{dispatcher} applied {name}, which {problem}"
                    self._findings.add("unexpected", dispatcher, text, probe_round.asked_at)

    def _tag_problem(self, tag: int) -> str:
        if tag == OWN_FILE_TAG:
            return ""
        publication = self._versions.publication(tag)
        if publication is not None and publication.kind is not PublicationKind.VALID:
            return "must be rejected"
        return "" if publication is not None and self._versions.is_committed(tag) else "was not committed"

    def _check_not_half_applied(self, dispatcher: str, rounds: list[ProbeRound]) -> None:
        previous: dict[int, str] = {}
        for probe_round in rounds:
            incomplete = {
                tag: classes
                for tag, classes in probe_round.known.items()
                if classes != COMPLETE and tag in probe_round.unknown
            }
            for tag, classes in incomplete.items():
                if previous.get(tag) == classes:
                    text = f"{dispatcher} applied half of tag {tag}: {classes} alone"
                    self._findings.add("half", dispatcher, text, probe_round.asked_at)
            previous = incomplete

    def _check_some_version_active(self, dispatcher: str, rounds: list[ProbeRound]) -> None:
        # A version change during a round may leave no class known in it, but not in two rounds in a row.
        for previous, probe_round in pairwise(rounds):
            if not previous.known and not probe_round.known:
                text = f"{dispatcher} applies no version that is known"
                self._findings.add("nothing", dispatcher, text, probe_round.asked_at)

    # ---- Rule 1 ----

    def _check_never_decreases(self, dispatcher: str, active: list[ActiveVersion]) -> None:
        highest: dict[int, int] = {}  # version by incarnation
        for (asked_at, _, _, _, incarnation), version in active:
            if version < 0 or incarnation < 0:
                continue
            if version < highest.get(incarnation, UNKNOWN_VERSION):
                text = f"{dispatcher} went back from version {highest[incarnation]} to {version}"
                self._findings.add("back", dispatcher, text, asked_at)
            highest[incarnation] = max(highest.get(incarnation, UNKNOWN_VERSION), version)

    def _check_not_older_after_restart(
        self, dispatcher: str, active: list[ActiveVersion], reachable: list[Interval]
    ) -> None:
        highest: dict[int, int] = {}  # version by incarnation
        for (asked_at, _, _, _, incarnation), version in active:
            if version < 0 or incarnation < 0:
                continue
            highest_before = max((v for other, v in highest.items() if other < incarnation), default=0)
            if version < highest_before and self._was_reachable(reachable, asked_at):
                text = f"{dispatcher} is at version {version} after its restart, and had {highest_before}"
                self._findings.add("behind", dispatcher, text, asked_at)
            highest[incarnation] = max(highest.get(incarnation, UNKNOWN_VERSION), version)

    def _was_reachable(self, reachable: list[Interval], at: int) -> bool:
        """Whether the configuration could be reached throughout the time limit before `at`."""
        return any(interval.start + self._time_limit <= at <= interval.end for interval in reachable)

    # ---- Rules 3 and 4 ----

    def _acknowledged_valid_versions(self) -> list[Acknowledgement]:
        """The acknowledgements of valid publications, in order of time."""
        publications = self._history.publications
        return sorted(
            reply
            for id_, reply in self._history.acknowledged.items()
            if publications[id_].kind is PublicationKind.VALID
        )

    def _check_applied_in_time(
        self,
        dispatcher: str,
        active: list[ActiveVersion],
        reachable: list[Interval],
        acknowledged: list[Acknowledgement],
    ) -> None:
        times = [reply.at for reply in acknowledged]
        newest_versions = list(accumulate((reply.version for reply in acknowledged), max, initial=0))
        for probe_round, version in active:
            asked_at = probe_round.asked_at
            if version < 0 or not self._was_reachable(reachable, asked_at):
                continue
            self.checked_probes += 1
            required = newest_versions[bisect_right(times, asked_at - self._time_limit)]
            if version < required:
                acknowledged_at = next(reply.at for reply in acknowledged if reply.version == required)
                late_by = format_duration(asked_at - acknowledged_at)
                text = f"{dispatcher} is at version {version} {late_by} after {required} was acknowledged"
                self._findings.add("late", dispatcher, f"{text}, and could reach it", asked_at)

    def _measure_delays(
        self, active: list[ActiveVersion], reachable: list[Interval], acknowledged: list[Acknowledgement]
    ) -> None:
        """Measure the time until each acknowledged version was active.

        It counts from the acknowledgement, or from the end of a fault that lasted longer.
        """
        for at, version in acknowledged:
            first_active = next(
                (probed for probed, v in active if v >= version and probed.answered_at >= at), None
            )
            interval = find_interval(reachable, first_active.asked_at) if first_active is not None else None
            if first_active is None or interval is None:
                continue
            delay = max(0, first_active.answered_at - max(at, interval.start)) / SECOND
            is_calm = (
                interval.start + self._time_limit <= at or interval.start == self._reachability.run.start
            )
            (self.calm_delays if is_calm else self.delays_after_faults).append(delay)

    # ---- Answers to clients and operators ----

    def _check_answers_regularly(self, dispatcher: str, rounds: list[ProbeRound]) -> None:
        answered = [probe_round.answered_at for probe_round in rounds]
        for running in subtract_intervals(self._reachability.run, self._reachability.outages[dispatcher]):
            times = [running.start, *(at for at in answered if running.contains(at)), running.end]
            for at, next_at in pairwise(times):
                if next_at - at > MAX_SILENCE:
                    text = f"{dispatcher} runs and answers nobody for {format_duration(next_at - at)}"
                    self._findings.add("silent", dispatcher, text, at)

    def _check_admin_replies(self, dispatcher: str, active: list[ActiveVersion]) -> None:
        """The admin address must name a version between those that clients saw before and after."""
        for reply in self._history.admin_replies[dispatcher]:
            incarnation = self._reachability.incarnation(dispatcher, reply.asked_at)
            if incarnation < 0 or incarnation != self._reachability.incarnation(
                dispatcher, reply.answered_at
            ):
                continue
            of_incarnation = [
                item for item in active if item.version >= 0 and item.probe_round.incarnation == incarnation
            ]
            before = [v for probed, v in of_incarnation if probed.answered_at < reply.asked_at]
            after = [v for probed, v in of_incarnation if probed.asked_at > reply.answered_at]
            if (before and reply.version < before[-1]) or (after and reply.version > after[0]):
                seen = f"{before[-1:]} before and {after[:1]} after"
                text = f"{dispatcher} claims version {reply.version}, clients saw {seen}"
                self._findings.add("claim", dispatcher, text, reply.answered_at)
