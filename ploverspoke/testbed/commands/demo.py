"""`ploverspoke demo`: everything on free loopback ports, thirty seconds of load, two troubles, live."""

import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from typing import Any

import click
import msgspec
from rich.console import Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from ..experiment_files.experiment import Experiment, parse_experiment
from ..reports.tables import console, result_table, verdict
from ..scenarios.experiment_runner import FORMAT, Result, run_sockets, what_held
from .experiments import leave

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
SPARKS = " ▁▂▃▄▅▆▇█"
COLOURS = {"up": "green", "cold": "cyan", "hung": "yellow", "down": "red", "slow": "magenta"}
SHOWN_EVERY = 1.0  # seconds, where there is no terminal


class Board:
    """What is shown while it runs, from what the stand-ins tell."""

    def __init__(self, e: Experiment) -> None:
        self.e = e
        self.at = 0.0
        self.workers: dict[str, list[Any]] = {}
        self.clients: dict[int, dict[str, Any]] = {}
        self.history: dict[str, deque[float]] = {name: deque(maxlen=40) for name in e.worker_names()}

    def told(self, told: dict[str, Any]) -> None:
        self.at = told["at"] / 1e9
        if "workers" in told:
            self.workers = told["workers"]
            for name, (_, load, _) in self.workers.items():
                self.history[name].append(load)
        elif "answers" in told:
            self.clients[told["child"]] = told

    def count(self, how: str) -> int:
        return sum(c["answers"].get(how, 0) for c in self.clients.values())

    def line(self) -> str:
        sent, out = (sum(c[key] for c in self.clients.values()) for key in ("sent", "out"))
        hows = ", ".join(f"{self.count(how)} {how}" for how in ("satisfied", "nacked", "abandoned", "broken"))
        return f"{max(0.0, self.at):5.1f} s: {sent} handed in, {hows}, {out} out"

    def picture(self) -> Group:
        table = Table(box=None, pad_edge=False)
        for heading in ("worker", "kind", "state", "hand-offs", "load, the last 10 s"):
            table.add_column(heading)
        kinds = [w.kind for w in self.e.workers for _ in range(w.count)]
        for (name, (state, _, served)), kind in zip(self.workers.items(), kinds, strict=True):
            bars = "".join(SPARKS[min(8, round(load * 8))] for load in self.history[name])
            table.add_row(name, kind, Text(state, style=COLOURS[state]), str(served), bars)
        troubles = [t for t in self.e.troubles if t.at <= self.at * 1e9 < t.at + t.lasts]
        now = "; ".join(f"{t.name}: {', '.join(t.workers)}" for t in troubles) or "all is well"
        return Group(Text(self.line()), Text(now, style="red" if troubles else "green"), table)


@click.command()
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Where the plots go.")
@click.option(
    "--seconds", type=click.IntRange(28, 600), default=30, show_default=True, help="How long it runs."
)
def demo(out: Path | None, seconds: int) -> None:
    """See it work: discovery, six workers of two kinds, two dispatchers and mixed load, on free ports.

    One worker is killed after 8 s and one hangs after 16 s. It ends with service by grade and the audit's
    verdict.
    """
    e = parse_experiment({**DEMO, "lasts": f"{seconds}s"})
    folder = out or Path(tempfile.mkdtemp(prefix="ploverspoke-demo-"))
    board, show = Board(e), console()
    show.print("Starting two dispatchers and the stand-ins round them.")
    if show.is_terminal:
        with Live(console=show, refresh_per_second=4) as screen:

            def paint(told: dict[str, Any]) -> None:
                board.told(told)
                if board.workers:
                    screen.update(board.picture())

            run = run_sockets(e, e.seeds[0], None, paint)
    else:
        last = time.monotonic()

        def say(told: dict[str, Any]) -> None:
            nonlocal last
            board.told(told)
            if time.monotonic() - last >= SHOWN_EVERY:
                last = time.monotonic()
                states = " ".join(f"{name}:{state}" for name, (state, _, _) in board.workers.items())
                print(f"{board.line()}  {states}", flush=True)

        run = run_sockets(e, e.seeds[0], None, say)
    held, failed = what_held(e, [run])
    result = Result(FORMAT, "sockets", msgspec.to_builtins(e, enc_hook=int), [run], held, failed)
    leave(result, folder)
    show.print(result_table(result))
    for line in verdict(result):
        show.print(line, markup=False, highlight=False, soft_wrap=True)
    show.print(
        f"plots: {folder}/service.svg, waits.svg, workers.svg", markup=False, highlight=False, soft_wrap=True
    )
    sys.exit(1 if failed else 0)
