"""The form of a requirement of a fleet's size, and how it is assessed by costs and runs."""

from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from .budgets import MEGABYTE, BudgetRow, dispatcher_load_at_limit
from .estimate import Estimate, Limit
from .fleet_size import FleetSize
from .measured_costs import MeasuredCosts
from .scenario_results import ScenarioResult, ScenarioResults
from .verdicts import FAILS, HOLDS, LESSER, NOT_MEASURED, worst
from .workload import PEAK

KILOBYTE = 1_000
NO_MECHANISM = "none"
# What a verdict rests on.
FROM_RUNS, FROM_COSTS, FROM_CODE, CALCULATED = (
    "played",
    "slopes of one process",
    "read off the code",
    "worked out",
)
# Urgency of a requirement that does not hold.
ORDINARY_DAY, BUDGET, FAILURE = "a", "b", "c"
BEYOND_RUNS = "beyond what was played"
# In the names of scenarios.
FROM_CONFIG_SERVERS = "from config servers"  # they bring the changes
HALF_PEAK = "half"  # less load than the peak's on purpose
PEAK_SCENARIO = "peak"
LOAD_METRICS = {"starts_a_second": "starts a second", "tasks_running": "tasks running"}
RATE_TOLERANCE = 0.97  # arrivals are random: so large a share of a rate counts as that rate


class Need(NamedTuple):
    """A requirement whose mechanism another one needs."""

    row: str  # the key of the requirement
    why: str


class Requirement(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"design": "gives", "priority": "letter", "limit": "stops"},
):
    """One line of the fleet's size, with what carries it and whether it holds."""

    key: str
    line: str  # of the size
    demand: str
    design: str  # what it gives today
    mechanism: str  # module and page, or NO_MECHANISM
    verdict: str
    basis: str  # of the verdict
    priority: str  # ORDINARY_DAY: breaks a promise on an ordinary day; BUDGET: goes over one; FAILURE
    limit: str  # from which load on the design stops
    needs: list[Need] = []


class Facts(NamedTuple):
    """What all requirements are assessed by."""

    fleet: FleetSize
    costs: MeasuredCosts
    results: ScenarioResults
    budget: list[BudgetRow]
    with_config_distribution: bool

    @property
    def fewest_dispatchers(self) -> int:
        """The smallest of the numbers of dispatchers that are estimated."""
        return min(self.fleet.size.dispatchers)

    def max_measured(self, load: str) -> float:
        """Return the largest of that load at which any metric of a dispatcher was measured."""
        lines = [line for line in self.costs.lines if (line.role, line.load) == ("dispatcher", load)]
        return max((line.max_load for line in lines), default=0.0)

    def runs(self, *words: str) -> list[ScenarioResult]:
        """Return the runs of scenarios with any of the words in their names."""
        return [run for run in self.results.runs if any(word in run.scenario for word in words)]

    def load_at_limit(self, metric: str, load: str, limit: float, scope: str) -> float | None:
        """Return the load at which one dispatcher reaches the limit; None where it is not known."""
        return dispatcher_load_at_limit(self.fleet, self.costs, Limit(metric, load, limit), scope)


class Assessment(NamedTuple):
    """A verdict with what it rests on, as a text."""

    verdict: str
    text: str


def assess_runs(facts: Facts, runs: Sequence[ScenarioResult], words: Sequence[str] = ()) -> Assessment:
    """Assess the runs that are not void; only lines with one of the words count, if any are given.

    What held in runs that all had less than the peak's load is LESSER.
    """
    counted = [run for run in runs if not run.void]
    if not counted:
        reasons = sorted({run.void for run in runs})
        text = f"every play of it is void ({'; '.join(reasons)})" if reasons else "not played"
        return Assessment(NOT_MEASURED, text)
    failed = _matching({text for run in counted for text in run.failed}, words)
    held = _matching({text for run in counted for text in run.held}, words)
    text = _describe_runs(counted)
    if failed:
        return Assessment(FAILS, f"{text}, failed: {'; '.join(failed)}")
    if not held:
        return Assessment(NOT_MEASURED, f"{text} say nothing of it")
    verdict = HOLDS if any(has_peak_load(facts, run) for run in counted) else LESSER
    return Assessment(verdict, f"{text}, held")


def _matching(texts: set[str], words: Sequence[str]) -> list[str]:
    return sorted(text for text in texts if not words or any(word in text.lower() for word in words))


def _describe_runs(runs: Sequence[ScenarioResult]) -> str:
    sizes = ", ".join(str(count) for count in sorted({run.dispatchers for run in runs}))
    text = f"{len(runs)} run{'s' if len(runs) > 1 else ''} played with {sizes} dispatchers"
    for metric, unit in LOAD_METRICS.items():
        values = [value for run in runs if (value := run.metrics.get(metric)) is not None]
        text += f", {min(values):.3g} {unit}" if values else ""
    return text


def has_peak_load(facts: Facts, run: ScenarioResult) -> bool:
    """Whether the run had the load of the peak, and the fewest dispatchers at least."""
    size = facts.fleet.size
    starts = run.metrics.get("starts_a_second") or 0.0
    running = run.metrics.get("tasks_running") or 0.0
    return (
        starts >= RATE_TOLERANCE * size.task_starts_a_second
        and running >= RATE_TOLERANCE * size.tasks_running
        and run.dispatchers >= facts.fewest_dispatchers
    )


def assess_metric(facts: Facts, metric: str, demand: float, unit: str) -> Assessment:
    """Assess the peak's runs by one of their metrics; half of the peak by design is no failure."""
    runs = facts.runs(PEAK_SCENARIO)
    values = [(run, value) for run in runs if not run.void and (value := run.metrics.get(metric)) is not None]
    if not values:
        void = assess_runs(facts, [run for run in runs if run.void])
        return Assessment(NOT_MEASURED, void.text)
    largest = max(value for _, value in values)
    is_whole = any(HALF_PEAK not in run.scenario for run, _ in values)
    verdict = HOLDS if largest >= RATE_TOLERANCE * demand else FAILS if is_whole else LESSER
    return Assessment(verdict, f"played: {largest:.4g} {unit}")


def assess_budget(facts: Facts, scope: str) -> Assessment:
    """Assess the budget over all numbers of dispatchers, and describe it at each."""
    rows = [row for row in facts.budget if row.scope == scope]
    verdicts: dict[int, str] = {}
    texts = []
    for dispatchers in facts.fleet.size.dispatchers:
        same = [row for row in rows if row.dispatchers == dispatchers]
        verdicts[dispatchers] = worst([row.verdict for row in same])
        at_peak = next(_describe_spending(row) for row in same if row.situation == PEAK)
        texts.append(f"{verdicts[dispatchers]} with {dispatchers} ({at_peak} at the peak)")
    return Assessment(worst(list(verdicts.values())), "; ".join(texts))


def _describe_spending(row: BudgetRow) -> str:
    core, memory = scaled(row.core, 100), scaled(row.memory, 1 / MEGABYTE)
    byte_rate = scaled(row.bytes, 1 / KILOBYTE)
    return f"{number(core, '%')}, {number(memory, ' MB')}, {number(byte_rate, ' KB/s')}"


def measured_or_run(verdict: str, max_measured: float, demand: float) -> tuple[str, str]:
    """Return verdict and basis; a dispatcher that carried its part alone counts where no run shows it."""
    if verdict in (NOT_MEASURED, LESSER) and max_measured >= demand:
        return HOLDS, FROM_COSTS
    return verdict, FROM_RUNS


def number(value: float | None, unit: str = "") -> str:
    """Format a value with three digits and its unit."""
    return NOT_MEASURED if value is None else f"{value:.3g}{unit}"


def scaled(estimate: Estimate, factor: float) -> float | None:
    """Return the value in another unit."""
    return None if estimate.value is None else estimate.value * factor


def limit_text(value: float | None, unit: str) -> str:
    """Describe a load at which a limit is reached."""
    return f"{value:.3g} {unit}" if value is not None else f"no number of {unit} near what was measured"


def run_limit(verdict: str) -> str:
    """Describe the limit of what was only shown by runs."""
    return NOT_MEASURED if verdict == NOT_MEASURED else BEYOND_RUNS
