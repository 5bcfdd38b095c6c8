"""`testbed bench`: what one dispatcher carries on one core, what it adds, and what fleet size costs the
decisions.

All figures of one call are taken in turns on the same cores, so that they can be set against one another;
alone they say little, since machines differ and are noisy.
"""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median
from typing import Any

import msgspec
from rich.table import Table

from ..experiment_files.experiment import Experiment
from ..experiment_files.reader import parse_experiment
from ..models.baseline_policies import POLICIES, Policy
from ..models.deployment_settings import dispatcher_settings
from ..processes.addresses import reserve_ports

CLIENTS = (1, 8, 32, 128)
WORKERS = 8
OPEN_SHARE = 0.6  # of the smaller of both throughputs: the rate of the open loop
FLEETS = (10, 100, 300, 1000)
EVENTS = (
    "request_arrived", "attempt_started", "attempt_progressed", "attempt_ended", "probe_completed",
    "timer_fired", "endpoint_list_received", "endpoints_changed", "client_disconnected",
)  # fmt: skip
FAKES = "ploverspoke.testbed.fakes"
Say = Callable[[str], None]


class Figures(msgspec.Struct):
    sockets: list[dict[str, Any]]
    generator: list[dict[str, Any]]
    decisions: list[dict[str, Any]]


class Process:
    """A process of ours on one core."""

    def __init__(self, words: list[str], core: int, **environment: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *words],
            env={**os.environ, **environment},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        os.sched_setaffinity(self.process.pid, {core})

    def line(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        found: dict[str, Any] = json.loads(self.process.stdout.readline())
        return found

    def end(self) -> None:
        self.process.terminate()
        self.process.wait()


def measure(quick: bool, say: Say) -> Figures:
    cores = sorted(os.sched_getaffinity(0))
    say(f"on {len(cores)} cores; all figures are of this run only")
    sockets, generator = _sockets(cores, quick, say)
    return Figures(sockets, generator, _decisions(quick, say))


# ---- Sockets ----


def _sockets(cores: list[int], quick: bool, say: Say) -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    def core(number: int) -> int:
        return cores[number % len(cores)]

    rounds, seconds = (1, 1.0) if quick else (3, 2.5)
    workers = [Process(["-m", f"{FAKES}.instant_workers", str(WORKERS // 2)], core(2 + n)) for n in range(2)]
    rows: list[dict[str, Any]] = []
    generator = []
    try:
        worker_ports = [port for w in workers for port in w.line()["ports"]]
        start = 1

        def load(port: int, clients: int, rate: float, grade: str = "look-up") -> dict[str, Any]:
            nonlocal start
            words = [str(port), str(clients), str(seconds), str(rate), grade, str(start)]
            start += 10_000_000
            process = Process(["-m", f"{FAKES}.load_generator", *words], core(1))
            found = process.line()
            process.process.wait()
            return found

        for clients in CLIENTS:
            found = load(worker_ports[0], clients, 0.0, "plain")
            generator.append({"clients": clients, "a_second": found["requests_per_second"]})
        with tempfile.TemporaryDirectory(prefix="ploverspoke-bench-") as folder:
            programs = {
                "dispatcher": _program(Path(folder), "ploverspoke", worker_ports, core(0)),
                "bare relay": _program(Path(folder), f"{FAKES}.baseline_dispatcher", worker_ports, core(0)),
            }
            try:
                for clients in CLIENTS:
                    taken: dict[str, list[dict[str, Any]]] = {name: [] for name in programs}
                    for _ in range(rounds):
                        for name, (_, port) in programs.items():
                            taken[name].append(load(port, clients, 0.0))
                    rate = OPEN_SHARE * min(
                        median(r["requests_per_second"] for r in t) for t in taken.values()
                    )
                    for name, (_, port) in programs.items():
                        waits = [load(port, clients, rate) for _ in range(rounds)]
                        row = {
                            "clients": clients,
                            "program": name,
                            "a_second": median(r["requests_per_second"] for r in taken[name]),
                            "nacked": sum(r["rejected"] for r in taken[name]),
                            "open_rate": rate,
                            "open_p50_ms": median(r["p50_ms"] for r in waits),
                            "open_p99_ms": median(r["p99_ms"] for r in waits),
                            "generator_late_ms": max(r["max_lateness_ms"] for r in waits),
                        }
                        rows.append(row)
                        say(f"{clients} clients, {name}: {row['a_second']:.0f} a second")
            finally:
                for process, _ in programs.values():
                    process.end()
    finally:
        for process in workers:
            process.end()
    return rows, generator


def _program(folder: Path, module: str, worker_ports: list[int], core: int) -> tuple[Process, int]:
    """A dispatcher or the relay, with a list of workers that it is given at start; nobody is at its
    discovery.
    """
    [port, nobody] = reserve_ports(2)
    e = _world(WORKERS, 1, "10s", 100.0)
    servers = [
        {
            "id": f"w{n}",
            "addr": f"127.0.0.1:{p}",
            "zone": "a",
            "kind": "plain",
            "state": "Ready",
            "weight": 1.0,
        }
        for n, p in enumerate(worker_ports)
    ]
    config = {
        "name": module,
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{nobody}",
        "seed": "1",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": dispatcher_settings(e, 0),
    }
    path = folder / f"{module}.json"
    path.write_bytes(msgspec.json.encode(config))
    process = Process(["-m", module], core, RELAY_CONFIG=str(path))
    until = time.monotonic() + 10
    while time.monotonic() < until:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return process, port
        time.sleep(0.02)
    process.end()
    raise RuntimeError(f"{module} did not come up")


# ---- Virtual time ----


def _world(workers: int, dispatchers: int, lasts: str, rate: float) -> Experiment:
    return parse_experiment(
        {
            "name": f"{workers} workers",
            "lasts": lasts,
            "dispatchers": {"count": dispatchers},
            "grades": [
                {
                    "name": "look-up",
                    "expected_time": "1s",
                    "abandon_time": "2s",
                    "work": {"law": "lognormal", "mean": "40ms"},
                }
            ],
            "workers": [{"count": workers, "slots": 4}],
            "traffic": [{"rate": rate}],
        }
    )


class TimedHost:
    """A host with a watch on it, so that what the models cost is not counted as the decisions'."""

    def __init__(self, host: Any) -> None:
        self.host = host
        self.now = host.now

    def __getattr__(self, name: str) -> Any:
        act = getattr(self.host, name)

        def timed(*what: Any) -> None:
            began = time.perf_counter()
            act(*what)
            Timed.host_spent += time.perf_counter() - began

        setattr(self, name, timed)
        return timed


class Timed(Policy):
    """The decisions with a watch on each call."""

    spent = 0.0
    host_spent = 0.0

    def __init__(self, host: Any, seed: int, settings: Any, true_load: Any = None) -> None:
        super().__init__(TimedHost(host), seed, settings)


def _timed(name: str) -> Callable[..., None]:
    original = getattr(Policy, name)

    def call(self: Timed, *what: Any, **named: Any) -> None:
        began, host = time.perf_counter(), Timed.host_spent
        original(self, *what, **named)
        Timed.spent += time.perf_counter() - began - (Timed.host_spent - host)

    return call


for _name in EVENTS:
    setattr(Timed, _name, _timed(_name))


def _decisions(quick: bool, say: Say) -> list[dict[str, Any]]:
    """Microseconds of decisions for each submission, one dispatcher at a load that grows with its fleet."""
    from ..models.virtual_run import VirtualRun

    rows = []
    POLICIES["timed"] = Timed
    try:
        for workers in FLEETS[:3] if quick else FLEETS:
            rate = 300.0
            e = _world(workers, 1, "5s" if quick else "20s", rate)
            costs = []
            for seed in range(1 if quick else 3):
                Timed.spent = Timed.host_spent = 0.0
                world = VirtualRun(e, seed, "timed")
                world.run()
                costs.append(Timed.spent / max(1, world.clients.sent_count) * 1e6)
            rows.append({"workers": workers, "us_each": median(costs)})
            say(f"{workers} workers: {median(costs):.0f} us of decisions for each submission")
    finally:
        del POLICIES["timed"]
    return rows


def tables(figures: Figures) -> list[Table]:
    sockets = Table(
        title="one dispatcher on one core, and a bare relay in the same run", title_justify="left"
    )
    for heading in (
        "clients",
        "",
        "a second",
        "nacked",
        "open loop at",
        "p50 ms",
        "p99 ms",
        "generator late ms",
    ):
        sockets.add_column(heading, justify="right")
    for r in figures.sockets:
        waits = [f"{r[key]:.2f}" for key in ("open_p50_ms", "open_p99_ms", "generator_late_ms")]
        carried = [f"{r['a_second']:.0f}", str(r["nacked"]), f"{r['open_rate']:.0f}"]
        sockets.add_row(str(r["clients"]), r["program"], *carried, *waits)
    generator = Table(title="the generator alone, against one worker", title_justify="left")
    generator.add_column("clients", justify="right")
    generator.add_column("a second", justify="right")
    for r in figures.generator:
        generator.add_row(str(r["clients"]), f"{r['a_second']:.0f}")
    decisions = Table(title="decisions for each submission, virtual time", title_justify="left")
    decisions.add_column("workers", justify="right")
    decisions.add_column("microseconds", justify="right")
    for r in figures.decisions:
        decisions.add_row(str(r["workers"]), f"{r['us_each']:.0f}")
    return [sockets, generator, decisions]
