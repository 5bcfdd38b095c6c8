"""Writes the files of a result, for the commands that produce one."""

from pathlib import Path

from rich.console import Console

from ..reports.experiment_result import Result
from ..reports.scores import encode_json


def write_result(result: Result, folder: Path) -> None:
    """Write `result.json`, plots and histograms of a result into the folder."""
    from ..reports.plots import write_histograms, write_plots

    folder.mkdir(parents=True, exist_ok=True)
    (folder / "result.json").write_bytes(encode_json(result))
    write_plots(result, folder)
    write_histograms(result, folder)


def print_plain(console: Console, line: str) -> None:
    """Print a line without markup, colours or wrapping."""
    console.print(line, markup=False, highlight=False, soft_wrap=True)
