"""Results of scale scenarios: the file that stores them, and the metrics that a comparison makes void."""

import platform
import subprocess
import time
from collections.abc import Callable, Sequence
from os import sched_getaffinity
from pathlib import Path

import msgspec

from ..capacity.scenario_results import FORMAT, ScenarioResult, ScenarioResults, read_scenario_results
from ..capacity.stored_file import StoredFileError
from ..checkers.scale_comparison import ALWAYS_VOID, mark_void_metrics
from ..checkers.scale_metrics import Metrics
from ..experiment_files.errors import ExperimentError
from .scale_experiment import COMPARISON
from .scale_resources import total_memory

LENGTH_COMPARISON = "absences of two lengths"  # the scenario of the row that compares cuts of a region
GIBIBYTE_SHIFT = 30


class ResultLog:
    """The results in the file and those of this call; the file is written after each new result."""

    def __init__(self, out: Path | None, on_result: Callable[[ScenarioResult], None]) -> None:
        """Read the file `out` if there is one. Raises ExperimentError if it cannot be read."""
        self._out = out
        self._on_result = on_result
        self._stored = read_or_create_results(out)
        self.new_results: list[ScenarioResult] = []

    @property
    def all_results(self) -> list[ScenarioResult]:
        """The results of the file and of this call, in chronological order."""
        return self._stored.runs

    def add(self, result: ScenarioResult) -> None:
        """Add a result of this call and write the file."""
        self.new_results.append(result)
        self._stored.runs.append(result)
        self._on_result(result)
        if self._out is not None:
            document = msgspec.json.format(msgspec.json.encode(self._stored))
            self._out.write_bytes(document + b"\n")

    def apply_void_kinds(self, void_kinds: Sequence[str]) -> None:
        """Mark metrics in the results of earlier calls, since a new comparison applies to them as well."""
        self._stored.runs[:] = [mark_void_result(result, void_kinds) for result in self._stored.runs]


def measured_metrics(result: ScenarioResult) -> Metrics:
    """Return the metrics that were measured."""
    return {key: value for key, value in result.metrics.items() if value is not None}


def mark_void_result(result: ScenarioResult, void_kinds: Sequence[str]) -> ScenarioResult:
    """Mark the metrics of void kinds in a simulated run's result, and drop the checks that depend on them."""
    is_comparison = result.scenario.startswith(COMPARISON) or result.scenario == LENGTH_COMPARISON
    if not result.simulated or is_comparison:
        return result
    # Metrics that were not measured are null in stored results and have nothing to mark.
    marked = mark_void_metrics(measured_metrics(result), void_kinds)
    unmeasured = {key: None for key, value in result.metrics.items() if value is None}
    result = msgspec.structs.replace(result, metrics={**marked, **unmeasured})
    void_prefixes = tuple(kind for kind in void_kinds if kind != ALWAYS_VOID)
    if not void_prefixes:
        return result
    return msgspec.structs.replace(
        result,
        held=[text for text in result.held if not text.startswith(void_prefixes)],
        failed=[text for text in result.failed if not text.startswith(void_prefixes)],
        note=void_note(void_kinds),
    )


def void_note(void_kinds: Sequence[str]) -> str:
    """Return the note of a result that has void kinds of metrics."""
    return f"void by kind, since simulated and real dispatchers differ there: {', '.join(void_kinds)}"


def last_void_kinds(results: Sequence[ScenarioResult]) -> list[str]:
    """Return the kinds of metrics that are void according to the last comparison that is not void itself."""
    comparisons = (row for row in reversed(results) if row.scenario == COMPARISON and not row.void)
    last = next(comparisons, None)
    kinds = [] if last is None else [text.partition(":")[0] for text in last.failed]
    return [*kinds, ALWAYS_VOID]


def read_or_create_results(out: Path | None) -> ScenarioResults:
    """Return results of today with the runs of the file, if there is one. Raises ExperimentError."""
    today = time.strftime("%Y-%m-%d", time.gmtime())
    runs: list[ScenarioResult] = []
    if out is not None and out.exists():
        try:
            runs = read_scenario_results(out).runs
        except StoredFileError as error:
            raise ExperimentError(error.reason, str(out)) from error
    return ScenarioResults(
        format=FORMAT, date=today, commit=_commit(), machine=_describe_machine(), runs=runs
    )


def _commit() -> str:
    """Return the commit of this checkout, or "unknown" outside of a repository."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    folder = Path(__file__).parent
    try:
        completed = subprocess.run(command, capture_output=True, text=True, check=True, cwd=folder)
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return completed.stdout.strip()


def _describe_machine() -> str:
    cores, gibibytes = len(sched_getaffinity(0)), total_memory() >> GIBIBYTE_SHIFT
    return f"{cores} cores, {gibibytes} GiB, Python {platform.python_version()}"
