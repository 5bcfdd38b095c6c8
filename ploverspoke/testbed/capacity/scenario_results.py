"""Results of the scale tests, and the file that keeps them. The encoded names are those of the file."""

from pathlib import Path

import msgspec

FORMAT = 1


class ScenarioResultsError(ValueError):
    """The file holds no results of this format."""

    def __init__(self, path: Path, reason: str) -> None:
        """`reason` says what is wrong with the file."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


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
    """Read a file of results. Raises ScenarioResultsError."""
    try:
        results: ScenarioResults = msgspec.json.decode(path.read_bytes(), type=ScenarioResults)
    except OSError as error:
        raise ScenarioResultsError(path, error.strerror or str(error)) from error
    except msgspec.DecodeError as error:
        raise ScenarioResultsError(path, f"no plays: {error}") from error
    if results.format != FORMAT:
        raise ScenarioResultsError(path, f"format {results.format}, this version reads {FORMAT}")
    return results
