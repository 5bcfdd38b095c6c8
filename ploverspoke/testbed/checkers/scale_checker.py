"""Checks a scale run: the rules, the time limits and budgets of the fleet, and that resources do not grow."""

from collections.abc import Callable, Sequence

from ..capacity.fleet_size import FleetSize
from ..experiment_files.durations import MILLISECOND
from ..models.dispatcher_outages import dispatcher_outages
from ..scale.scenario_file import ScaleScenario
from ..scale.usage import UsageSample
from .scale_metrics import NEVER_STARTED, Metrics, ScaleObservations, urgent_start_delays

MAX_GROWTH = 1.25  # of a held resource, between two thirds of a run or two lengths of an outage


class ScaleVerdict:
    """The checks that held and those that failed, each as a line with its metric."""

    def __init__(self) -> None:
        """Start without any check."""
        self.passed: list[str] = []
        self.failed: list[str] = []

    def check(self, holds: bool, text: str) -> None:
        """Add one check."""
        (self.passed if holds else self.failed).append(text)


class _ScaleChecker:
    """All checks of one run."""

    def __init__(self, fleet: FleetSize, observations: ScaleObservations, metrics: Metrics) -> None:
        self.fleet = fleet
        self.observations = observations
        self.metrics = metrics
        self.verdict = ScaleVerdict()

    def check_rules(self) -> None:
        """Check that no rule is broken."""
        broken = int(self.metrics["broken_rules"])
        self.verdict.check(not broken, f"no broken rule ({broken} found)")

    def check_urgent_work(self) -> None:
        """Check that all urgent work starts in time."""
        limit = self.fleet.size.urgent_starts_within / MILLISECOND
        delays = urgent_start_delays(self.observations.experiment, self.observations.events)
        late = [delay for delay in delays if delay == NEVER_STARTED or delay / MILLISECOND > limit]
        requests = int(self.metrics["urgent_jobs"])
        longest = self.metrics.get("urgent_begin_max_ms", 0.0)
        self.verdict.check(
            requests > 0 and not late,
            f"urgent work begun within {limit:.0f} ms: {len(late)} of {requests} not, "
            f"the longest {longest:.0f} ms",
        )

    def check_budgets(self, void_kinds: Sequence[str]) -> None:
        """Check that CPU time and bytes are within the budget of a dispatcher."""
        budget = self.fleet.budget
        if "core_share" in self.metrics and "processor time" not in void_kinds:
            share, limit = self.metrics["core_share"], budget.core_share
            text = f"processor time {share:.2%} of a core a dispatcher, {limit:.2%} allowed"
            self.verdict.check(share <= limit, text)
        if "bytes_a_second" in self.metrics and "bytes" not in void_kinds:
            rate, limit = self.metrics["bytes_a_second"], budget.bytes_a_second
            text = f"bytes a second a dispatcher {rate:.0f}, {limit:.0f} allowed"
            self.verdict.check(rate <= limit, text)

    def check_growth(self) -> None:
        """Compare the held resources in the last third of the measured time with those in the second."""
        begin, end = self.observations.experiment.measured_from, self.observations.experiment.duration
        third = (end - begin) // 3
        samples_by_third = [
            [
                sample
                for sample in self.observations.samples
                if begin + number * third <= sample.at < begin + (number + 1) * third
            ]
            for number in range(3)
        ]
        if not all(samples_by_third):
            self.verdict.check(False, "too little was seen to say whether anything grows")
            return
        for name, value in self._held_resources().items():
            before, after = (max(value(sample) for sample in samples) for samples in samples_by_third[1:])
            if before:
                text = f"{name} came to rest: {after / before:.2f} of a third earlier"
                self.verdict.check(after <= MAX_GROWTH * before, text)

    def _held_resources(self) -> dict[str, Callable[[UsageSample], int]]:
        held: dict[str, Callable[[UsageSample], int]] = {
            "memory of the processes": lambda sample: sample.usage.resident_bytes,
            "descriptors": lambda sample: sample.usage.descriptors,
            "deadlines kept": lambda sample: sample.usage.held_counts.get("deadlines", 0),
        }
        if dispatcher_outages(self.observations.experiment, 0):
            # A host process frees the memory of an ended dispatcher late, which is no sign of a leak.
            del held["memory of the processes"]
        return held

    def check_restarts(self) -> None:
        """Check that running tasks survive a restart of their dispatcher."""
        lost = sum(
            int(self.metrics[f"{outcome}_{request_class.name}"])
            for outcome in ("abandoned", "broken")
            for request_class in self.observations.experiment.request_classes
        )
        text = f"running tasks live through a restart of their dispatcher ({lost} did not)"
        self.verdict.check(not lost, text)

    def check_changes(self) -> None:
        """Check that all dispatchers apply all changes in time."""
        limit = self.fleet.size.config_applied_within / MILLISECOND
        never = int(self.metrics["changes_never_in_force"])
        longest = self.metrics.get("in_force_at_the_last_ms", 0.0)
        self.verdict.check(
            not never and longest <= limit,
            f"changes in force at the last dispatcher within {limit:.0f} ms: "
            f"the longest took {longest:.0f} ms, {never} never were",
        )


def check_scale_run(
    fleet: FleetSize,
    scenario: ScaleScenario,
    observations: ScaleObservations,
    metrics: Metrics,
    void_kinds: Sequence[str],
) -> ScaleVerdict:
    """Check one run; metrics of void kinds prove nothing: simulated and real dispatchers differ in them."""
    checker = _ScaleChecker(fleet, observations, metrics)
    checker.check_rules()
    checker.check_urgent_work()
    checker.check_budgets(void_kinds)
    checker.check_growth()
    if scenario.kind == "restart":
        checker.check_restarts()
    if observations.change_delays:
        checker.check_changes()
    return checker.verdict


def check_bounded_by_length(short: Metrics, long: Metrics, length_ratio: float) -> ScaleVerdict:
    """Compare two outages of a region: held resources must not grow with the length of the outage."""
    verdict = ScaleVerdict()
    for key, value in short.items():
        if key.startswith(("away_", "healing_")):
            ratio = long.get(key, 0.0) / value if value else 1.0
            text = f"{key} {ratio:.2f} times as much in an absence {length_ratio:.1f} times as long"
            verdict.check(ratio <= MAX_GROWTH, text)
    return verdict
