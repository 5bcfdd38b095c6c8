"""Requirements of a fleet, and helpers that assess them by measured costs and by runs of scenarios."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from .budgets import MEGABYTE, BudgetRow, dispatcher_load_at_limit
from .estimate import Estimate, Limit
from .fleet_size import FleetSize
from .measured_costs import MeasuredCosts
from .scenario_results import ScenarioResult, ScenarioResults
from .verdicts import FAILS, HOLDS, HOLDS_FOR_LESS, NOT_MEASURED, worst_verdict
from .workload import PEAK

KILOBYTE = 1_000
NO_MECHANISM = "none"
# The basis of a verdict.
FROM_RUNS, FROM_COSTS, FROM_CODE, CALCULATED = (
    "played",
    "slopes of one process",
    "read off the code",
    "worked out",
)
# Priorities of a requirement that does not hold: a promise is broken on an ordinary day, a budget is exceeded
# on an ordinary day, or a promise is broken in a failure.
PRIORITY_ORDINARY_DAY, PRIORITY_BUDGET, PRIORITY_FAILURE = "a", "b", "c"
BEYOND_RUNS = "beyond what was played"
# Words in the names of scenarios.
FROM_CONFIG_SERVERS = "from config servers"  # config servers distribute the changes
HALF_PEAK = "half"  # deliberately less load than at the peak
PEAK_SCENARIO = "peak"
LOAD_METRICS = {"starts_a_second": "starts a second", "tasks_running": "tasks running"}
RATE_TOLERANCE = 0.97  # a run with this share of a required rate reaches it, since arrivals are random


class Need(NamedTuple):
    """The need of one requirement for the mechanism of another."""

    requirement_key: str  # of the other requirement
    why: str


class Requirement(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"statement": "line", "design": "gives", "priority": "letter", "limit": "stops"},
):
    """One requirement of the fleet, with the mechanism that meets it and the verdict."""

    key: str
    statement: str  # the requirement, as the operators state it
    demand: str  # what the requirement asks of the system
    design: str  # what today's design provides
    mechanism: str  # module and page of the documentation, or NO_MECHANISM
    verdict: str
    basis: str  # of the verdict, such as FROM_RUNS
    priority: str  # PRIORITY_ORDINARY_DAY, PRIORITY_BUDGET or PRIORITY_FAILURE
    limit: str  # the load at which the design no longer suffices
    needs: list[Need] = []


class AssessmentContext(NamedTuple):
    """The inputs of the assessment of all requirements."""

    fleet: FleetSize
    costs: MeasuredCosts
    results: ScenarioResults
    budget: list[BudgetRow]
    with_config_distribution: bool

    @property
    def fewest_dispatchers(self) -> int:
        """The smallest of the estimated numbers of dispatchers."""
        return min(self.fleet.size.dispatchers)

    def max_measured_load(self, load: str) -> float:
        """Return the largest amount of the load at which any metric of a dispatcher was measured."""
        lines = [line for line in self.costs.lines if (line.role, line.load) == ("dispatcher", load)]
        return max((line.max_load for line in lines), default=0.0)

    def find_runs(self, *words: str) -> list[ScenarioResult]:
        """Return the runs of scenarios with any of the words in their names."""
        return [run for run in self.results.runs if any(word in run.scenario for word in words)]

    def load_at_limit(self, metric: str, load: str, limit: float, scope: str) -> float | None:
        """Return the load at which one dispatcher reaches the limit, or None if it is unknown."""
        return dispatcher_load_at_limit(self.fleet, self.costs, Limit(metric, load, limit), scope)


class Assessment(NamedTuple):
    """A verdict, and a text that describes its basis."""

    verdict: str
    text: str


def assess_runs(
    context: AssessmentContext, runs: Sequence[ScenarioResult], words: Sequence[str] = ()
) -> Assessment:
    """Assess the runs that are not void.

    If `words` are given, only those checks of a run count whose text contains one of them. The verdict is
    HOLDS_FOR_LESS if the checks held, but all runs had less load than the peak.
    """
    counted = [run for run in runs if not run.void]
    if not counted:
        reasons = sorted({run.void for run in runs})
        text = f"every play of it is void ({'; '.join(reasons)})" if reasons else "not played"
        return Assessment(NOT_MEASURED, text)
    failed = _filter_texts({text for run in counted for text in run.failed}, words)
    held = _filter_texts({text for run in counted for text in run.held}, words)
    text = _describe_runs(counted)
    if failed:
        return Assessment(FAILS, f"{text}, failed: {'; '.join(failed)}")
    if not held:
        return Assessment(NOT_MEASURED, f"{text} say nothing of it")
    verdict = HOLDS if any(has_peak_load(context, run) for run in counted) else HOLDS_FOR_LESS
    return Assessment(verdict, f"{text}, held")


def _filter_texts(texts: set[str], words: Sequence[str]) -> list[str]:
    return sorted(text for text in texts if not words or any(word in text.lower() for word in words))


def _describe_runs(runs: Sequence[ScenarioResult]) -> str:
    sizes = ", ".join(str(count) for count in sorted({run.dispatchers for run in runs}))
    text = f"{len(runs)} run{'s' if len(runs) > 1 else ''} played with {sizes} dispatchers"
    for metric, unit in LOAD_METRICS.items():
        values = [value for run in runs if (value := run.metrics.get(metric)) is not None]
        text += f", {min(values):.3g} {unit}" if values else ""
    return text


def has_peak_load(context: AssessmentContext, run: ScenarioResult) -> bool:
    """Whether the run had the load of the peak and at least `fewest_dispatchers`."""
    size = context.fleet.size
    starts = run.metrics.get("starts_a_second") or 0.0
    running = run.metrics.get("tasks_running") or 0.0
    return (
        starts >= RATE_TOLERANCE * size.task_starts_a_second
        and running >= RATE_TOLERANCE * size.tasks_running
        and run.dispatchers >= context.fewest_dispatchers
    )


def assess_metric(context: AssessmentContext, metric: str, demand: float, unit: str) -> Assessment:
    """Assess the runs of the peak by one of their metrics.

    Too low a value is no failure if all runs deliberately had half of the load of the peak.
    """
    runs = context.find_runs(PEAK_SCENARIO)
    measured_runs = [
        (run, value) for run in runs if not run.void and (value := run.metrics.get(metric)) is not None
    ]
    if not measured_runs:
        void = assess_runs(context, [run for run in runs if run.void])
        return Assessment(NOT_MEASURED, void.text)
    largest = max(value for _, value in measured_runs)
    has_full_peak = any(HALF_PEAK not in run.scenario for run, _ in measured_runs)
    verdict = HOLDS if largest >= RATE_TOLERANCE * demand else FAILS if has_full_peak else HOLDS_FOR_LESS
    return Assessment(verdict, f"played: {largest:.4g} {unit}")


def assess_budget(context: AssessmentContext, scope: str) -> Assessment:
    """Assess the budget for all numbers of dispatchers, and describe the spending with each number."""
    rows = [row for row in context.budget if row.scope == scope]
    verdicts: dict[int, str] = {}
    texts = []
    for dispatchers in context.fleet.size.dispatchers:
        rows_of_count = [row for row in rows if row.dispatchers == dispatchers]
        verdicts[dispatchers] = worst_verdict([row.verdict for row in rows_of_count])
        at_peak = next(_describe_spending(row) for row in rows_of_count if row.situation == PEAK)
        texts.append(f"{verdicts[dispatchers]} with {dispatchers} ({at_peak} at the peak)")
    return Assessment(worst_verdict(list(verdicts.values())), "; ".join(texts))


def _describe_spending(row: BudgetRow) -> str:
    core, memory = scale_estimate(row.core, 100), scale_estimate(row.memory, 1 / MEGABYTE)
    byte_rate = scale_estimate(row.bytes, 1 / KILOBYTE)
    return f"{format_number(core, '%')}, {format_number(memory, ' MB')}, {format_number(byte_rate, ' KB/s')}"


def choose_verdict(verdict: str, max_measured: float, demand: float) -> tuple[str, str]:
    """Return the verdict and its basis.

    If no run shows that the requirement holds, a measurement of a single dispatcher that carried its share of
    the load counts instead.
    """
    if verdict in (NOT_MEASURED, HOLDS_FOR_LESS) and max_measured >= demand:
        return HOLDS, FROM_COSTS
    return verdict, FROM_RUNS


def format_number(value: float | None, unit: str = "") -> str:
    """Format a value with three digits and its unit."""
    return NOT_MEASURED if value is None else f"{value:.3g}{unit}"


def scale_estimate(estimate: Estimate, factor: float) -> float | None:
    """Return the value in another unit, or None if it was not measured."""
    return None if estimate.value is None else estimate.value * factor


def describe_limit(value: float | None, unit: str) -> str:
    """Describe the load at which a limit is reached."""
    return f"{value:.3g} {unit}" if value is not None else f"no number of {unit} near what was measured"


def describe_run_limit(verdict: str) -> str:
    """Describe the limit of a requirement that is assessed by runs only."""
    return NOT_MEASURED if verdict == NOT_MEASURED else BEYOND_RUNS
