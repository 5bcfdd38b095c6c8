"""`testbed bench`: throughput and latency of one dispatcher on one core, and the cost of its decisions.

All measurements of one call are taken in turns on the same cores, so that they can be compared with each
other. Measurements of different calls cannot, since machines differ and are noisy.
"""

import os
import socket
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path
from statistics import median

import msgspec
from rich.table import Table

from ..fakes.load_generator import LoadResult
from ..models.deployment_settings import dispatcher_settings
from ..processes.addresses import reserve_ports
from ..processes.running_process import ProcessStartError
from .bench_process import (
    FAKES,
    WORKERS,
    BenchProcess,
    InstantWorkers,
    LoadRunner,
    Log,
    bench_experiment,
    endpoint_list,
)
from .decision_bench import REQUEST_CLASS, DecisionCost, measure_decisions

CLIENT_COUNTS = (1, 8, 32, 128)
WORKER_PROCESSES = 2
PROGRAMS = {"dispatcher": "ploverspoke", "bare relay": f"{FAKES}.baseline_dispatcher"}
OPEN_LOOP_SHARE = 0.6  # the rate of the open loop, as a share of the lower closed-loop throughput of both
ROUNDS, QUICK_ROUNDS = 3, 1
SECONDS, QUICK_SECONDS = 2.5, 1.0  # duration of one load
START_TIMEOUT = 10.0  # seconds
START_POLL_INTERVAL = 0.02  # seconds
MAX_SOCKETS = 1024
MEMORY_MB = 192


class ProgramMetrics(
    msgspec.Struct,
    rename={
        "requests_per_second": "a_second",
        "rejected": "nacked",
        "open_loop_rate": "open_rate",
        "open_loop_p50_ms": "open_p50_ms",
        "open_loop_p99_ms": "open_p99_ms",
    },
):
    """One program, by the number of clients; rates are requests a second."""

    clients: int
    program: str
    requests_per_second: float
    rejected: int
    open_loop_rate: float
    open_loop_p50_ms: float
    open_loop_p99_ms: float
    generator_late_ms: float


class GeneratorMetrics(msgspec.Struct, rename={"requests_per_second": "a_second"}):
    """The load generator alone, against one worker."""

    clients: int
    requests_per_second: float


class BenchMetrics(msgspec.Struct):
    """All measurements of one call."""

    sockets: list[ProgramMetrics]
    generator: list[GeneratorMetrics]
    decisions: list[DecisionCost]


class BenchProgram:
    """A dispatcher, or the baseline, with an endpoint list in its configuration."""

    def __init__(self, folder: Path, name: str, worker_ports: list[int], core: int) -> None:
        """Start the program and wait until it accepts connections; nothing listens at its discovery address.

        Raises:
            ProcessStartError: it does not accept connections within START_TIMEOUT.
        """
        module = PROGRAMS[name]
        [self.port, unused_port] = reserve_ports(2)
        path = folder / f"{module}.json"
        config = {
            "name": module,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{unused_port}",
            "seed": "1",
            "limits": {"sockets": MAX_SOCKETS, "memory_mb": MEMORY_MB},
            "known": endpoint_list(worker_ports),
            "settings": dispatcher_settings(bench_experiment([REQUEST_CLASS], WORKERS, "10s", 100.0), 0),
        }
        path.write_bytes(msgspec.json.encode(config))
        self.process = BenchProcess(["-m", module], core, RELAY_CONFIG=str(path))
        if not self._wait_until_ready():
            self.process.stop()
            raise ProcessStartError(process=module, problem="did not come up")

    def _wait_until_ready(self) -> bool:
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", self.port)) == 0:
                    return True
            time.sleep(START_POLL_INTERVAL)
        return False


def measure(is_quick: bool, log: Log) -> BenchMetrics:
    """Take all measurements."""
    cores = sorted(os.sched_getaffinity(0))
    log(f"on {len(cores)} cores; all figures are of this run only")
    with ExitStack() as stack:
        worker_ports = []
        for number in range(WORKER_PROCESSES):
            workers = InstantWorkers(WORKERS // WORKER_PROCESSES, cores[(2 + number) % len(cores)])
            stack.callback(workers.process.stop)
            worker_ports += workers.ports
        loads = LoadRunner(cores[1 % len(cores)], QUICK_SECONDS if is_quick else SECONDS)
        generator = [
            GeneratorMetrics(count, loads.run(worker_ports[0], count, 0.0, "plain").requests_per_second)
            for count in CLIENT_COUNTS
        ]
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="ploverspoke-bench-")))
        programs = {}
        for name in PROGRAMS:
            programs[name] = BenchProgram(folder, name, worker_ports, cores[0])
            stack.callback(programs[name].process.stop)
        rounds = QUICK_ROUNDS if is_quick else ROUNDS
        sockets = [
            row for count in CLIENT_COUNTS for row in _measure_programs(programs, count, rounds, loads, log)
        ]
    return BenchMetrics(sockets, generator, measure_decisions(is_quick, log))


def _measure_programs(
    programs: dict[str, BenchProgram], clients: int, rounds: int, loads: LoadRunner, log: Log
) -> list[ProgramMetrics]:
    """Measure all programs in turns: first in a closed loop, then at a rate that all of them can sustain."""
    closed_loop: dict[str, list[LoadResult]] = {name: [] for name in programs}
    for _ in range(rounds):
        for name, program in programs.items():
            closed_loop[name].append(loads.run(program.port, clients, 0.0, "look-up"))
    rate = OPEN_LOOP_SHARE * min(_median_throughput(results) for results in closed_loop.values())
    rows = []
    for name, program in programs.items():
        open_loop = [loads.run(program.port, clients, rate, "look-up") for _ in range(rounds)]
        row = ProgramMetrics(
            clients=clients,
            program=name,
            requests_per_second=_median_throughput(closed_loop[name]),
            rejected=sum(result.rejected for result in closed_loop[name]),
            open_loop_rate=rate,
            open_loop_p50_ms=median(result.p50_ms for result in open_loop),
            open_loop_p99_ms=median(result.p99_ms for result in open_loop),
            generator_late_ms=max(result.max_lateness_ms for result in open_loop),
        )
        rows.append(row)
        log(f"{clients} clients, {name}: {row.requests_per_second:.0f} a second")
    return rows


def _median_throughput(results: list[LoadResult]) -> float:
    return median(result.requests_per_second for result in results)


def tables(metrics: BenchMetrics) -> list[Table]:
    """Return the tables of all measurements."""
    return [_socket_table(metrics), _generator_table(metrics), _decision_table(metrics)]


def _socket_table(metrics: BenchMetrics) -> Table:
    title = "one dispatcher on one core, and a bare relay in the same run"
    table = Table(title=title, title_justify="left")
    headings = (
        "clients",
        "",
        "a second",
        "rejected",
        "open loop at",
        "p50 ms",
        "p99 ms",
        "generator late ms",
    )
    for heading in headings:
        table.add_column(heading, justify="right")
    for row in metrics.sockets:
        table.add_row(
            str(row.clients),
            row.program,
            f"{row.requests_per_second:.0f}",
            str(row.rejected),
            f"{row.open_loop_rate:.0f}",
            f"{row.open_loop_p50_ms:.2f}",
            f"{row.open_loop_p99_ms:.2f}",
            f"{row.generator_late_ms:.2f}",
        )
    return table


def _generator_table(metrics: BenchMetrics) -> Table:
    table = Table(title="the generator alone, against one worker", title_justify="left")
    table.add_column("clients", justify="right")
    table.add_column("a second", justify="right")
    for row in metrics.generator:
        table.add_row(str(row.clients), f"{row.requests_per_second:.0f}")
    return table


def _decision_table(metrics: BenchMetrics) -> Table:
    table = Table(title="decisions for each request, virtual time", title_justify="left")
    table.add_column("workers", justify="right")
    table.add_column("microseconds", justify="right")
    for row in metrics.decisions:
        table.add_row(str(row.workers), f"{row.microseconds_per_request:.0f}")
    return table
