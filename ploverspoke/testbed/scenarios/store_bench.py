"""`testbed bench --store`: what the store costs, how long a lost leader is missed, how large it gets.

As with the other bench, figures are set against one another within one call.
"""

import http.client
import os
import signal
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

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.log import Entry, EntryKind, Snapshot
from ploverspoke.consensus.persisted_state import WriteBatch
from ploverspoke.consensus.replica_client import call_replica
from ploverspoke.consensus.storage import ReplicaStorage
from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import FinalAnswer
from ploverspoke.store.log_commands import (
    AcceptRequest,
    AnswerRequest,
    FinishAttempt,
    StartAttempt,
    encode_command,
)
from ploverspoke.store.state_machine import RequestStateMachine

from ..experiment_files.reader import parse_experiment
from ..models.deployment_settings import dispatcher_settings
from ..processes.addresses import reserve_ports
from .dispatcher_bench import FAKES, WORKERS, Process

SECRET = b"a secret of the bench's own"
SIZES = (0, 1, 3, 5)  # replicas; 0: no store
CLIENTS = (1, 32, 128)
POLL = 0.003  # seconds between two asks for service
GIVE_UP = 20.0
Say = Callable[[str], None]


class StoreFigures(msgspec.Struct):
    throughput: list[dict[str, Any]]
    without_service_ms: list[float]
    million: dict[str, float]
    start: dict[str, float]


class Replicas:
    """Dispatchers with one store, or a single one without, each on a core of its own as far as there are
    any.
    """

    def __init__(self, folder: Path, size: int, worker_ports: list[int], cores: list[int]) -> None:
        self.folder = folder
        self.size = size
        self.cores = cores
        count = max(1, size)
        ports = reserve_ports(2 * count + 1)
        self.clients, self.peers, nobody = ports[:count], ports[count : 2 * count], ports[-1]
        (folder / "secret").write_bytes(SECRET)
        e = _world()
        servers = [
            {"id": f"w{n}", "addr": f"127.0.0.1:{p}", "zone": "a", "kind": "plain", "state": "Ready"}
            for n, p in enumerate(worker_ports)
        ]
        for n in range(count):
            config = {
                "name": f"r{n}",
                "listen": f"127.0.0.1:{self.clients[n]}",
                "discovery": f"127.0.0.1:{nobody}",
                "seed": "1",
                "known": {"version": 1, "full": True, "servers": servers},
                "settings": dispatcher_settings(e, 0),
            }
            (folder / f"c{n}.json").write_bytes(msgspec.json.encode(config))
            replicas = {
                f"r{m}": {"peers": f"127.0.0.1:{self.peers[m]}", "clients": f"127.0.0.1:{self.clients[m]}"}
                for m in range(count)
            }
            told = {"cluster": "bench", "name": f"r{n}", "folder": f"store{n}", "secret_file": "secret"}
            (folder / f"s{n}.json").write_bytes(msgspec.json.encode({**told, "replicas": replicas}))
        self.processes = [self._start(n, ["--new"]) for n in range(count)]

    def _start(self, n: int, more: list[str]) -> subprocess.Popen[bytes]:
        words = ["-m", "ploverspoke"]
        if self.size:
            words += [
                "serve",
                str(self.folder / f"c{n}.json"),
                "--store",
                str(self.folder / f"s{n}.json"),
                *more,
            ]
        environment = {**os.environ, "RELAY_CONFIG": str(self.folder / f"c{n}.json")}
        process = subprocess.Popen(
            [sys.executable, *words], env=environment, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        os.sched_setaffinity(process.pid, {self.cores[n % len(self.cores)]})
        return process

    def leader(self) -> int:
        """Waits for one."""
        until = time.monotonic() + GIVE_UP
        while time.monotonic() < until:
            for n in range(max(1, self.size)):
                if self.size == 0:
                    if self.serves(n, f"first-{time.monotonic_ns()}"):
                        return n
                    continue
                try:
                    address = f"127.0.0.1:{self.peers[n]}"
                    if call_replica(address, SECRET, StatusRequest(), StatusRow).leads:
                        return n
                except (OSError, FrameError):
                    continue
            time.sleep(0.02)
        raise RuntimeError("no replica leads")

    def serves(self, n: int, request_id: str) -> bool:
        """Whether an irreversible submission is satisfied there now."""
        connection = http.client.HTTPConnection("127.0.0.1", self.clients[n], timeout=0.5)
        try:
            headers = {"Request-Id": request_id, "Request-Timeout-Ms": "400"}
            connection.request("POST", "/book", b"work", headers)
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def kill(self, n: int) -> None:
        self.processes[n].send_signal(signal.SIGKILL)
        self.processes[n].wait()

    def start_again(self, n: int) -> None:
        self.processes[n] = self._start(n, [])

    def end(self) -> None:
        for process in self.processes:
            process.kill()
            process.wait()


def _world() -> Any:
    grade = {"name": "book", "repeat": "irreversible", "expected_time": "1s", "abandon_time": "2s"}
    return parse_experiment(
        {
            "name": "store",
            "lasts": "1s",
            "grades": [{"name": "look-up", "expected_time": "1s", "abandon_time": "2s"}, grade],
            "workers": [{"count": WORKERS, "slots": 4}],
            "dispatchers": {"count": 1},
            "traffic": [{"rate": 1.0}],
        }
    )


def measure_store(quick: bool, say: Say) -> StoreFigures:
    cores = sorted(os.sched_getaffinity(0))
    workers = Process(["-m", f"{FAKES}.instant_workers", str(WORKERS)], cores[-1])
    try:
        ports = workers.line()["ports"]
        throughput = _throughput(ports, cores, quick, say)
        gaps = _without_service(ports, cores, 5 if quick else 100, say)
    finally:
        workers.end()
    million = _million(10_000 if quick else 1_000_000)
    say(f"after {million['submissions']:.0f} submissions the store has {million['bytes'] / 1e6:.1f} MB")
    start = _start_from_snapshot(10_000 if quick else 100_000)
    say(f"start from a snapshot of {start['open']:.0f} open submissions: {start['seconds'] * 1000:.0f} ms")
    return StoreFigures(throughput, gaps, million, start)


def _throughput(worker_ports: list[int], cores: list[int], quick: bool, say: Say) -> list[dict[str, Any]]:
    rows = []
    rounds, seconds = (1, 1.0) if quick else (2, 2.0)
    start = 1
    for grade in ("book", "look-up"):
        found: dict[tuple[int, int], list[dict[str, Any]]] = {}
        for _ in range(rounds):
            for size in SIZES:
                with tempfile.TemporaryDirectory(prefix="ploverspoke-store-bench-") as folder:
                    replicas = Replicas(Path(folder), size, worker_ports, cores[:5])
                    try:
                        leader = replicas.leader()
                        for clients in CLIENTS:
                            port = replicas.clients[leader]
                            words = [str(port), str(clients), str(seconds), "0", grade, str(start)]
                            load = Process(["-m", f"{FAKES}.load_generator", *words], cores[-2])
                            found.setdefault((size, clients), []).append(load.line())
                            load.process.wait()
                            start += 10_000_000
                    finally:
                        replicas.end()
        for (size, clients), taken in sorted(found.items()):
            row = {
                "grade": grade,
                "replicas": size,
                "clients": clients,
                "a_second": median(t["requests_per_second"] for t in taken),
                "p50_ms": median(t["p50_ms"] for t in taken),
                "p99_ms": median(t["p99_ms"] for t in taken),
            }
            rows.append(row)
            say(f"{grade}, {size} replicas, {clients} clients: {row['a_second']:.0f} a second")
    return rows


def _without_service(worker_ports: list[int], cores: list[int], kills: int, say: Say) -> list[float]:
    """From the kill of the leader until another one satisfies an irreversible submission."""
    gaps = []
    with tempfile.TemporaryDirectory(prefix="ploverspoke-store-bench-") as folder:
        replicas = Replicas(Path(folder), 3, worker_ports, cores[:5])
        try:
            for n in range(kills):
                leader = replicas.leader()
                others = [m for m in range(3) if m != leader]
                killed = time.monotonic()
                replicas.kill(leader)
                asked = 0
                while not any(replicas.serves(m, f"kill-{n}-{asked}-{m}") for m in others):
                    asked += 1
                    time.sleep(POLL)
                    if time.monotonic() - killed > GIVE_UP:
                        raise RuntimeError("no replica took over")
                gaps.append((time.monotonic() - killed) * 1000)
                replicas.start_again(leader)
                time.sleep(0.4)
        finally:
            replicas.end()
    ordered = sorted(gaps)
    middle, worst = median(ordered), ordered[-1]
    say(f"without service after a kill: {middle:.0f} ms at the median, {worst:.0f} ms at the worst")
    return gaps


def _million(submissions: int) -> dict[str, float]:
    """Every submission irreversible, one hand-off each; a snapshot every 20,000 entries, as in service."""
    with tempfile.TemporaryDirectory(prefix="ploverspoke-store-bench-") as folder:
        disk, ledger = ReplicaStorage(Path(folder)), RequestStateMachine()
        disk.open()
        disk.initialize("r0.1", "bench", {})
        at = since = largest = 0
        for first in range(0, submissions, 250):
            batch = WriteBatch()
            for n in range(first, min(first + 250, submissions)):
                name, now = f"{n:016x}", n * 1_000_000
                for command in (
                    AcceptRequest(name, 1, b"0" * 16, now + 2_000_000_000, now),
                    StartAttempt(name, "w1", 0, now),
                    FinishAttempt(name, 0, AttemptOutcome.SUCCEEDED),
                    AnswerRequest(name, FinalAnswer.SUCCEEDED, "x" * 64, b"0" * 16, now),
                ):
                    at += 1
                    stored = encode_command(command)
                    batch.entries.append(Entry(at, 1, EntryKind.DATA, stored))
                    ledger.apply(at, stored)
            disk.write(batch)
            if at - since >= 20_000:
                since = at
                disk.save_snapshot(Snapshot(at, 1, {}, ledger.take_snapshot()))
                largest = max(largest, disk.size_bytes())
        size = disk.size_bytes()
        disk.close()
    return {"submissions": float(submissions), "bytes": float(size), "largest": float(max(largest, size))}


def _start_from_snapshot(count: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="ploverspoke-store-bench-") as folder:
        disk, ledger = ReplicaStorage(Path(folder)), RequestStateMachine()
        disk.open()
        disk.initialize("r0.1", "bench", {})
        for n in range(count):
            ledger.apply(n, encode_command(AcceptRequest(f"{n:016x}", 1, b"0" * 16, 1 << 62, n)))
            ledger.apply(n, encode_command(StartAttempt(f"{n:016x}", "w1", 0, n)))
        disk.save_snapshot(Snapshot(2 * count, 1, {}, ledger.take_snapshot()))
        disk.close()
        began = time.perf_counter()
        again, loaded = ReplicaStorage(Path(folder)), RequestStateMachine()
        again.open()
        loaded.restore_snapshot(again.persisted.snapshot_data)
        took = time.perf_counter() - began
        again.close()
        assert len(loaded.open_requests) == count
    return {"open": float(count), "seconds": took}


def store_tables(figures: StoreFigures) -> list[Table]:
    table = Table(title="submissions a second, closed loop", title_justify="left")
    for heading in ("grade", "replicas", "clients", "a second", "p50 ms", "p99 ms"):
        table.add_column(heading, justify="right")
    for r in figures.throughput:
        waits = [f"{r['p50_ms']:.2f}", f"{r['p99_ms']:.2f}"]
        table.add_row(r["grade"], str(r["replicas"]), str(r["clients"]), f"{r['a_second']:.0f}", *waits)
    return [table]
