"""`testbed bench --store`: throughput with a store, time without a leader, size of the store, snapshot load.

As with the other benchmarks, only measurements of the same call can be compared with each other.
"""

import os
import tempfile
import time
from collections import defaultdict
from contextlib import ExitStack
from pathlib import Path
from statistics import median

import msgspec
from rich.table import Table

from ..fakes.load_generator import LoadResult
from ..processes.running_process import ProcessStartError
from .bench_process import WORKERS, InstantWorkers, LoadRunner, Log
from .bench_replicas import LEADER_TIMEOUT, BenchReplicas
from .store_size_bench import SnapshotLoad, StoreSize, measure_snapshot_load, measure_store_size

REPLICA_COUNTS = (0, 1, 3, 5)  # 0: a dispatcher without a store
REPLICA_CORES = 5
CLIENT_COUNTS = (1, 32, 128)
REQUEST_CLASSES = ("book", "look-up")
ROUNDS, QUICK_ROUNDS = 2, 1
SECONDS, QUICK_SECONDS = 2.0, 1.0  # duration of one load
KILLS, QUICK_KILLS = 100, 5
REPLICAS_IN_KILLS = 3
SERVICE_POLL_INTERVAL = 0.003  # seconds
PAUSE_AFTER_RESTART = 0.4  # seconds
STORED_REQUESTS, QUICK_STORED_REQUESTS = 1_000_000, 10_000
OPEN_REQUESTS, QUICK_OPEN_REQUESTS = 100_000, 10_000


class ThroughputMetrics(msgspec.Struct, rename={"request_class": "grade", "requests_per_second": "a_second"}):
    """A closed loop of one request class, by the number of replicas and clients."""

    request_class: str
    replicas: int
    clients: int
    requests_per_second: float
    p50_ms: float
    p99_ms: float


class StoreMetrics(
    msgspec.Struct,
    rename={"store_size": "million", "snapshot_load": "start"},
):
    """All measurements of one call."""

    throughput: list[ThroughputMetrics]
    without_service_ms: list[float]  # for each kill of the leader
    store_size: StoreSize
    snapshot_load: SnapshotLoad


def measure_store(is_quick: bool, log: Log) -> StoreMetrics:
    """Take all measurements."""
    cores = sorted(os.sched_getaffinity(0))
    with ExitStack() as stack:
        workers = InstantWorkers(WORKERS, cores[-1])
        stack.callback(workers.process.stop)
        throughput = _measure_throughput(workers.ports, cores, is_quick, log)
        gaps = _measure_kills(workers.ports, cores, QUICK_KILLS if is_quick else KILLS, log)
    size = measure_store_size(QUICK_STORED_REQUESTS if is_quick else STORED_REQUESTS)
    log(f"after {size.requests:.0f} requests the store has {size.bytes / 1e6:.1f} MB")
    load = measure_snapshot_load(QUICK_OPEN_REQUESTS if is_quick else OPEN_REQUESTS)
    log(f"start from a snapshot of {load.open_requests:.0f} open requests: {load.seconds * 1000:.0f} ms")
    return StoreMetrics(throughput, gaps, size, load)


def _measure_throughput(
    worker_ports: list[int], cores: list[int], is_quick: bool, log: Log
) -> list[ThroughputMetrics]:
    loads = LoadRunner(cores[-2], QUICK_SECONDS if is_quick else SECONDS)
    rows = []
    for request_class in REQUEST_CLASSES:
        results: dict[tuple[int, int], list[LoadResult]] = defaultdict(list)  # by replicas and clients
        for _ in range(QUICK_ROUNDS if is_quick else ROUNDS):
            for size in REPLICA_COUNTS:
                for clients, result in _run_loads(size, worker_ports, cores, loads, request_class):
                    results[size, clients].append(result)
        for (size, clients), load_results in sorted(results.items()):
            row = ThroughputMetrics(
                request_class=request_class,
                replicas=size,
                clients=clients,
                requests_per_second=median(result.requests_per_second for result in load_results),
                p50_ms=median(result.p50_ms for result in load_results),
                p99_ms=median(result.p99_ms for result in load_results),
            )
            rows.append(row)
            rate = f"{row.requests_per_second:.0f} a second"
            log(f"{request_class}, {size} replicas, {clients} clients: {rate}")
    return rows


def _run_loads(
    size: int, worker_ports: list[int], cores: list[int], loads: LoadRunner, request_class: str
) -> list[tuple[int, LoadResult]]:
    """Start replicas with a new store; return the results of loads on the leader, by number of clients."""
    with tempfile.TemporaryDirectory(prefix="ploverspoke-store-bench-") as folder:
        replicas = BenchReplicas(Path(folder), size, worker_ports, cores[:REPLICA_CORES])
        try:
            port = replicas.client_ports[replicas.wait_for_leader()]
            return [(clients, loads.run(port, clients, 0, request_class)) for clients in CLIENT_COUNTS]
        finally:
            replicas.stop()


def _measure_kills(worker_ports: list[int], cores: list[int], kills: int, log: Log) -> list[float]:
    """Return the ms from each kill of the leader until another replica serves a non-idempotent request."""
    with tempfile.TemporaryDirectory(prefix="ploverspoke-store-bench-") as folder:
        replicas = BenchReplicas(Path(folder), REPLICAS_IN_KILLS, worker_ports, cores[:REPLICA_CORES])
        try:
            gaps = [_measure_kill(replicas, number) for number in range(kills)]
        finally:
            replicas.stop()
    log(f"without service after a kill: {median(gaps):.0f} ms at the median, {max(gaps):.0f} ms at the worst")
    return gaps


def _measure_kill(replicas: BenchReplicas, number: int) -> float:
    leader = replicas.wait_for_leader()
    others = [other for other in range(replicas.size) if other != leader]
    killed_at = time.monotonic()
    replicas.kill(leader)
    tries = 0
    while not any(replicas.serves(other, f"kill-{number}-{tries}-{other}") for other in others):
        tries += 1
        time.sleep(SERVICE_POLL_INTERVAL)
        if time.monotonic() - killed_at > LEADER_TIMEOUT:
            raise ProcessStartError(problem="no replica took over")
    gap_ms = (time.monotonic() - killed_at) * 1000
    replicas.restart(leader)
    time.sleep(PAUSE_AFTER_RESTART)
    return gap_ms


def store_tables(metrics: StoreMetrics) -> list[Table]:
    """Return the table of throughput."""
    table = Table(title="requests a second, closed loop", title_justify="left")
    for heading in ("class", "replicas", "clients", "a second", "p50 ms", "p99 ms"):
        table.add_column(heading, justify="right")
    for row in metrics.throughput:
        table.add_row(
            row.request_class,
            str(row.replicas),
            str(row.clients),
            f"{row.requests_per_second:.0f}",
            f"{row.p50_ms:.2f}",
            f"{row.p99_ms:.2f}",
        )
    return [table]
