"""The result of an experiment, as stored in `result.json`."""

from pathlib import Path
from typing import Any, Literal

import msgspec

from ..experiment_files.errors import ExperimentError
from .scores import RunScore

Driver = Literal["virtual", "sockets"]
FORMAT = 1  # of result.json
OWN_POLICY = "ours"  # the dispatcher's own decisions, as opposed to the baseline policies


class ResultError(ExperimentError):
    """A file does not contain a result that this version can read."""

    def __init__(self, file: Path, reason: str) -> None:
        """`reason` says what is wrong with the file."""
        super().__init__(f"{file}: {reason}")
        self.file = file
        self.reason = reason


class Result(msgspec.Struct):
    """All runs of one experiment, and its acceptance criteria that held or failed."""

    format: int
    driver: Driver
    experiment: dict[str, Any]  # the experiment as builtins, durations in ns
    runs: list[RunScore]
    held: list[str]
    failed: list[str]

    def runs_of(self, policy: str) -> list[RunScore]:
        """Return the runs of one policy, one for each seed."""
        return [run for run in self.runs if run.policy == policy]

    def policies(self) -> list[str]:
        """Return the policies in the order in which they first ran."""
        return list(dict.fromkeys(run.policy for run in self.runs))


def read_result(path: Path) -> Result:
    """Read `result.json`; `path` is the file or its folder.

    Raises:
        ResultError: There is no result, or its format is not supported.
    """
    file = path / "result.json" if path.is_dir() else path
    try:
        result: Result = msgspec.json.decode(file.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise ResultError(file, f"not a valid result: {error}") from error
    if result.format != FORMAT:
        raise ResultError(
            file, f"format {result.format} is not supported; this version reads format {FORMAT}"
        )
    return result
