"""The plays file: what the scale tests found, one entry for each run."""

from pathlib import Path

import msgspec

FORMAT = 1


class ScenarioResultsError(ValueError):
    """The file holds no plays of this format; the text says why."""


class ScenarioResult(msgspec.Struct, frozen=True, kw_only=True):
    play: str  # "peak", "zone lost", ...
    seed: int
    dispatchers: int
    processes: int = 0
    hollow: bool = True
    void: str = ""  # why the run proves nothing; empty: it counts
    figures: dict[str, float | None] = {}  # None: void or not had
    held: list[str] = []
    failed: list[str] = []
    note: str = ""


class ScenarioResults(msgspec.Struct, frozen=True, kw_only=True):
    format: int
    at: str
    text: str  # the commit that was played
    machine: str
    runs: list[ScenarioResult]


NONE = ScenarioResults(format=FORMAT, at="", text="", machine="", runs=[])


def read_scenario_results(path: Path) -> ScenarioResults:
    """Raises ScenarioResultsError."""
    try:
        found: ScenarioResults = msgspec.json.decode(path.read_bytes(), type=ScenarioResults)
    except OSError as error:
        raise ScenarioResultsError(f"{path}: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise ScenarioResultsError(f"{path}: no plays: {error}") from None
    if found.format != FORMAT:
        raise ScenarioResultsError(f"{path}: format {found.format}, this version reads {FORMAT}")
    return found
