"""`ploverspoke demo`: shows a small fleet on loopback ports under load and two faults."""

import sys
import tempfile
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from ..experiment_files.durations import SECOND
from ..experiment_files.experiment import Experiment
from ..experiment_files.reader import parse_experiment
from ..reports.scores import RunScore
from ..reports.tables import make_console, result_table, verdict_lines
from ..scenarios.experiment_runner import make_result, run_sockets
from .result_files import print_plain, write_result

DEMO: dict[str, Any] = {
    "name": "demo",
    "lasts": "30s",
    "counted_from": "1s",
    "seeds": [1],
    "dispatchers": {"count": 2},
    "grades": [
        {
            "name": "look-up",
            "share": 6.0,
            "expected_time": "300ms",
            "abandon_time": "2s",
            "work": {"law": "lognormal", "mean": "60ms", "sigma": 0.5},
        },
        {
            "name": "change",
            "share": 2.0,
            "repeat": "labelled",
            "window": "5s",
            "expected_time": "400ms",
            "abandon_time": "3s",
            "benefit": 2.0,
            "work": {"law": "lognormal", "mean": "80ms", "sigma": 0.5},
        },
        {
            "name": "book",
            "share": 2.0,
            "repeat": "irreversible",
            "expected_time": "500ms",
            "abandon_time": "3s",
            "benefit": 4.0,
            "work": {"law": "lognormal", "mean": "80ms", "sigma": 0.5},
        },
    ],
    "workers": [
        {"count": 3, "kind": "full-speed", "slots": 4},
        {"count": 3, "kind": "slower", "slots": 4, "speed": 0.6},
    ],
    "worker_rules": {"warm_within": "5s"},
    "traffic": [{"rate": 100.0}],
    "troubles": [
        {"what": "crash", "at": "8s", "lasts": "6s", "workers": ["w1"]},
        {"what": "hang", "at": "16s", "lasts": "7s", "workers": ["w4"]},
    ],
}
LOAD_BARS = " ▁▂▃▄▅▆▇█"
STATE_COLOURS = {"up": "green", "cold": "cyan", "hung": "yellow", "down": "red", "slow": "magenta"}
STATE_NAMES = {"cold": "warming up"}  # replaces the state name in the reports of the fakes
OUTCOME_NAMES = {"satisfied": "succeeded", "nacked": "rejected", "abandoned": "failed", "broken": "broken"}
LOAD_HISTORY_REPORTS = 40
PRINT_INTERVAL_S = 1.0  # between status lines where there is no terminal
REFRESHES_PER_SECOND = 4

Report = dict[str, Any]  # a JSON report of a fake process


class StatusBoard:
    """The state of the fleet while it runs, from the reports of the fakes."""

    def __init__(self, experiment: Experiment) -> None:
        """Start without reports."""
        self.experiment = experiment
        self.time = 0.0  # seconds of the run
        self.workers: dict[str, list[Any]] = {}  # worker name -> state, load, attempts served
        self.clients: dict[int, Report] = {}  # process number -> its latest report
        self.recent_loads: dict[str, deque[float]] = {
            name: deque(maxlen=LOAD_HISTORY_REPORTS) for name in experiment.worker_names()
        }

    def on_report(self, report: Report) -> None:
        """Update the state with one report of a fake process."""
        self.time = report["at"] / SECOND
        if "workers" in report:
            self.workers = report["workers"]
            for name, (_, load, _) in self.workers.items():
                self.recent_loads[name].append(load)
        elif "answers" in report:
            self.clients[report["child"]] = report

    def status_line(self) -> str:
        """Return one line with the counts of requests by outcome."""
        sent = sum(client["sent"] for client in self.clients.values())
        in_flight = sum(client["out"] for client in self.clients.values())
        outcomes = ", ".join(f"{self._count(key)} {name}" for key, name in OUTCOME_NAMES.items())
        return f"{max(0.0, self.time):5.1f} s: {sent} requests sent, {outcomes}, {in_flight} in flight"

    def _count(self, outcome: str) -> int:
        return sum(client["answers"].get(outcome, 0) for client in self.clients.values())

    def worker_states(self) -> str:
        """Return one line with the state of each worker."""
        return " ".join(f"{name}:{_state_name(state)}" for name, (state, _, _) in self.workers.items())

    def render(self) -> Group:
        """Return the screen: counts, active faults and a table of the workers."""
        table = Table(box=None, pad_edge=False)
        for heading in ("worker", "kind", "state", "attempts", "load, the last 10 s"):
            table.add_column(heading)
        kinds = [group.machine_kind for group in self.experiment.workers for _ in range(group.count)]
        for (name, (state, _, served)), kind in zip(self.workers.items(), kinds, strict=True):
            max_level = len(LOAD_BARS) - 1
            bars = "".join(
                LOAD_BARS[min(max_level, round(load * max_level))] for load in self.recent_loads[name]
            )
            table.add_row(name, kind, Text(_state_name(state), style=STATE_COLOURS[state]), str(served), bars)
        return Group(Text(self.status_line()), self._fault_line(), table)

    def _fault_line(self) -> Text:
        now = self.time * SECOND
        active = [
            fault for fault in self.experiment.faults if fault.start <= now < fault.start + fault.duration
        ]
        text = "; ".join(f"{fault.name}: {', '.join(fault.workers)}" for fault in active)
        return Text(text or "no fault", style="red" if active else "green")


def _state_name(state: str) -> str:
    return STATE_NAMES.get(state, state)


@click.command()
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="The folder for the plots.")
@click.option(
    "--seconds", type=click.IntRange(28, 600), default=30, show_default=True, help="The duration of the run."
)
def demo(out: Path | None, seconds: int) -> None:
    """Run a demo fleet: discovery, six workers of two kinds, two dispatchers and clients, on free ports.

    One worker is killed after 8 s and one hangs after 16 s. At the end the service by request class and the
    verdict of an audit are printed.
    """
    experiment = parse_experiment({**DEMO, "lasts": f"{seconds}s"})
    folder = out or Path(tempfile.mkdtemp(prefix="ploverspoke-demo-"))
    console = make_console()
    console.print("Starting two dispatchers, fake workers, discovery and clients.")
    run = (
        _run_with_live_screen(experiment, console)
        if console.is_terminal
        else _run_with_status_lines(experiment)
    )
    result = make_result(experiment, "sockets", [run])
    write_result(result, folder)
    console.print(result_table(result))
    for line in verdict_lines(result):
        print_plain(console, line)
    print_plain(console, f"plots: {folder}/service.svg, waits.svg, workers.svg")
    sys.exit(1 if result.failed else 0)


def _run_with_live_screen(experiment: Experiment, console: Console) -> RunScore:
    """Run the experiment and show its state on the terminal."""
    board = StatusBoard(experiment)
    with Live(console=console, refresh_per_second=REFRESHES_PER_SECOND) as screen:

        def show(report: Report) -> None:
            """Redraw the screen after a report."""
            board.on_report(report)
            if board.workers:
                screen.update(board.render())

        return run_sockets(experiment, experiment.seeds[0], None, show)


def _run_with_status_lines(experiment: Experiment) -> RunScore:
    """Run the experiment and print a status line at each interval."""
    return run_sockets(experiment, experiment.seeds[0], None, _line_printer(StatusBoard(experiment)))


def _line_printer(board: StatusBoard) -> Callable[[Report], None]:
    printed_at = time.monotonic()

    def on_report(report: Report) -> None:
        """Print a status line if the interval since the last one has passed."""
        nonlocal printed_at
        board.on_report(report)
        if time.monotonic() - printed_at >= PRINT_INTERVAL_S:
            printed_at = time.monotonic()
            print(f"{board.status_line()}  {board.worker_states()}", flush=True)

    return on_report
