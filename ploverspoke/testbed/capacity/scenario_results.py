"""Results of the scale tests, and the file that keeps them. The encoded names are those of the file."""

from pathlib import Path

import msgspec

from .stored_file import read_stored_file

FORMAT = 1


class ScenarioResult(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"scenario": "play", "simulated": "hollow", "metrics": "figures"},
):
    """One run of one scenario."""

    scenario: str  # "peak", "zone lost", ...
    seed: int
    dispatchers: int
    processes: int = 0
    simulated: bool = True  # several dispatchers in a process
    void: str = ""  # why the run proves nothing; empty where it does
    metrics: dict[str, float | None] = {}  # None: void, or not measured
    held: list[str] = []
    failed: list[str] = []
    note: str = ""


class ScenarioResults(msgspec.Struct, frozen=True, kw_only=True, rename={"date": "at", "commit": "text"}):
    """All runs, as the file keeps them."""

    format: int
    date: str
    commit: str  # that was run
    machine: str
    runs: list[ScenarioResult]


NO_RESULTS = ScenarioResults(format=FORMAT, date="", commit="", machine="", runs=[])


def read_scenario_results(path: Path) -> ScenarioResults:
    """Read a file of results. Raises StoredFileError."""
    return read_stored_file(path, ScenarioResults, "plays", FORMAT)
