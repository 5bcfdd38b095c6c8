"""Results of the scale tests, and the file that stores them. The encoded names are those of the file."""

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
    simulated: bool = True  # whether one process simulates several dispatchers
    void: str = ""  # why the run is void; empty if it is valid
    metrics: dict[str, float | None] = {}  # None: the run is void, or the metric was not measured
    held: list[str] = []  # checks that passed
    failed: list[str] = []  # checks that failed
    note: str = ""


class ScenarioResults(msgspec.Struct, frozen=True, kw_only=True, rename={"date": "at", "commit": "text"}):
    """All runs, as stored in the file."""

    format: int
    date: str
    commit: str  # the commit that was tested
    machine: str
    runs: list[ScenarioResult]


NO_RESULTS = ScenarioResults(format=FORMAT, date="", commit="", machine="", runs=[])


def read_scenario_results(path: Path) -> ScenarioResults:
    """Read a file of results. Raises StoredFileError."""
    return read_stored_file(path, ScenarioResults, "plays", FORMAT)
