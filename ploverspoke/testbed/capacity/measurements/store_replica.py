"""Measures the costs of store replicas: commits, stored state, and catching up after an absence."""

import asyncio
import sys
import tempfile
import time
from functools import partial
from typing import Any, NamedTuple

import msgspec

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.replica_client import call_replica

from ...experiment_files.durations import SECOND, Duration
from ...experiment_files.fault_timeline import FaultStep
from ...experiment_files.reader import parse_experiment
from ...processes.capacity_check import memory_backed_folder
from ...scenarios.replica_files import SECRET
from .dispatcher import measurement_interval
from .measurement import (
    FOLDER_PREFIX,
    NO_RESULT,
    SEED,
    MeasuredLoad,
    Measurement,
    MeasurementRequest,
    MeasurementResult,
    Point,
    make_result,
    run_points,
)
from .measurement_fleet import Action, MeasurementFleet, run_fleet
from .replica_usage import ByteRates, LinkBytes, read_link_bytes, replica_metrics
from .stored_state import StoredStateCosts

ROLE = "store replica"
REPLICA_COUNTS = (3, 5)
COMMIT_RATES = (2.0, 10.0, 50.0)  # entries a second
STORED_REQUESTS, QUICK_STORED_REQUESTS = (10_000, 30_000, 100_000), (5_000, 10_000, 20_000)
ABSENCES = (1.0, 4.0, 10.0)  # seconds
ABSENT_REPLICAS = 3
SNAPSHOT_INTERVALS = (20_000, 200)  # log entries; with 200 the absent replica receives a snapshot
RATE_DURING_ABSENCE = 50.0  # requests a second
CATCH_UP_TIMEOUT = 15.0  # seconds
CATCH_UP_POLL_INTERVAL = 0.005  # seconds
WORKERS = 20
METHOD = (
    "the replica that leads, the others as follower_*; schedstat and /proc/PID/status, bytes at the proxy "
    "between replicas; they have the rig's launcher"
)
STATE_METHOD = "a process that holds a ledger alone: its memory beyond the empty one, its snapshot on disk"
ABSENCE_METHOD = "from the replica's own readiness on, bytes at the proxy towards it"


def _experiment(rate: float, seconds: int, replicas: int, **extra: Any) -> dict[str, Any]:
    request_class = {
        "name": "book",
        "repeat": "irreversible",
        "expected_time": "10s",
        "abandon_time": "20s",
        "work": {"law": "fixed", "mean": "50ms"},
    }
    return {
        "name": "slopes",
        "lasts": f"{seconds}s",
        "grades": [request_class],
        "workers": [{"count": WORKERS, "slots": 16}],
        "dispatchers": {"count": replicas, "store": True, **extra},
        "traffic": [{"rate": rate}],
    }


class ClusterState(NamedTuple):
    """The state of the replicas at one moment: their status by number, and the bytes between them so far."""

    status: dict[int, dict[str, Any]]
    link_bytes: LinkBytes

    def leader(self) -> int:
        """Return the number of the leader, or -1 if there is none."""
        return next((number for number, status in self.status.items() if status.get("leads")), -1)


async def _read_status(fleet: MeasurementFleet, number: int) -> dict[str, Any]:
    address = fleet.rig.addresses[f"d{number}"]
    status = await asyncio.to_thread(
        call_replica, address.endpoint("peers"), SECRET.encode(), StatusRequest(), StatusRow
    )
    return dict(status.fields)


async def _read_cluster(fleet: MeasurementFleet) -> ClusterState:
    status = {number: await _read_status(fleet, number) for number in range(len(fleet.programs))}
    return ClusterState(status, await read_link_bytes(fleet.rig))


async def _append_cluster_state(states: list[ClusterState], fleet: MeasurementFleet) -> None:
    states.append(await _read_cluster(fleet))


async def _measure_commits_at(replicas: int, rate: float, request: MeasurementRequest) -> Point:
    interval = measurement_interval(request.quick)
    states: list[ClusterState] = []
    actions: list[tuple[int, Action]] = [
        (interval.settling_s * SECOND, partial(_append_cluster_state, states)),
        (interval.end_s * SECOND, partial(_append_cluster_state, states)),
    ]
    experiment = parse_experiment(_experiment(rate, interval.end_s, replicas))
    fleet, reading = await run_fleet(experiment, SEED, interval.settling_s * SECOND, actions)
    point = Point(rate, {}, reading.void) if reading.void else _commit_point(rate, fleet, states)
    text = f"void: {point.void}" if point.void else f"core {point.metrics['core_share']:.2%}"
    request.report_progress(f"{replicas} replicas, commits_a_second {point.load:.3g}: {text}")
    return point


def _commit_point(rate: float, fleet: MeasurementFleet, states: list[ClusterState]) -> Point:
    if len(states) < 2 or states[0].leader() != states[1].leader() or states[0].leader() < 0:
        return Point(rate, {}, "no replica led throughout")
    before, after = states
    leader = before.leader()
    committed = after.status[leader]["committed"] - before.status[leader]["committed"]
    rates = ByteRates(before.link_bytes, after.link_bytes)
    samples = {f"d{number}": samples for number, samples in enumerate(fleet.samples)}
    metrics = replica_metrics(f"d{leader}", samples, rates)
    return Point(committed / (after.link_bytes.at - before.link_bytes.at), metrics)


async def measure_commits(request: MeasurementRequest) -> MeasurementResult:
    """Vary the rate of log entries.

    A non-idempotent request makes four entries if its first attempt completes it.
    """
    result = NO_RESULT
    for replicas in REPLICA_COUNTS:
        points = await run_points(
            [_measure_commits_at(replicas, rate, request) for rate in COMMIT_RATES], request
        )
        measured = MeasuredLoad(ROLE, "commits_a_second", METHOD, {"replicas": float(replicas)})
        result = result.plus(make_result(measured, points))
    return result


async def measure_stored_state(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of stored requests."""
    counts = QUICK_STORED_REQUESTS if request.quick else STORED_REQUESTS
    points = [await _measure_stored_requests(count, request) for count in counts]
    return make_result(MeasuredLoad(ROLE, "kept_state", STATE_METHOD, {}), points)


async def _measure_stored_requests(count: int, request: MeasurementRequest) -> Point:
    module = "ploverspoke.testbed.capacity.measurements.stored_state"
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX, dir=memory_backed_folder()) as folder:
        words = [sys.executable, "-m", module, str(count), folder]
        process = await asyncio.create_subprocess_exec(*words, stdout=asyncio.subprocess.PIPE)
        output, _ = await process.communicate()
    if process.returncode:
        return Point(float(count), {}, f"exit {process.returncode}")
    costs: StoredStateCosts = msgspec.json.decode(output, type=StoredStateCosts)
    request.report_progress(f"store replica, kept_state {costs.kept:g}: {costs.memory_bytes / 1e6:.1f} MB")
    metrics = {key: float(value) for key, value in msgspec.to_builtins(costs).items() if key != "kept"}
    return Point(float(costs.kept), metrics)


class _Absence:
    """Kills a follower, restarts it, and measures how it catches up."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self.point: Point | None = None  # None: it did not catch up in time

    async def run(self, fleet: MeasurementFleet) -> None:
        """Run the absence, as an action of a fleet."""
        before = await _read_cluster(fleet)
        leader = before.leader()
        if leader < 0:
            return
        absent = (leader + 1) % len(fleet.programs)
        name = f"d{absent}"
        duration = Duration(int(self._seconds * SECOND))
        step = FaultStep(start=Duration(0), kind="kill", processes=[name], duration=duration)
        await fleet.rig.timeline.apply_to_process(step, name)  # returns when the replica is ready again
        start = time.monotonic()
        goal = (await _read_status(fleet, leader))["committed"]
        if not await self._catches_up(fleet, absent, goal, start + CATCH_UP_TIMEOUT):
            return
        after = await _read_cluster(fleet)
        link = f"d{leader}>{name}"
        sent = after.link_bytes.by_link.get(link, 0) - before.link_bytes.by_link.get(link, 0)
        metrics = {"seconds": time.monotonic() - start, "bytes_sent": float(sent)}
        self.point = Point(goal - before.status[absent]["applied"], metrics)

    async def _catches_up(self, fleet: MeasurementFleet, number: int, goal: int, deadline: float) -> bool:
        while (await _read_status(fleet, number))["applied"] < goal:
            if time.monotonic() >= deadline:
                return False
            await asyncio.sleep(CATCH_UP_POLL_INTERVAL)
        return True


async def _measure_absence(seconds: float, snapshot_interval: int, request: MeasurementRequest) -> Point:
    settling_s = 2
    run_s = int(settling_s + seconds + 4 + CATCH_UP_TIMEOUT / 3)
    absence = _Absence(seconds)
    document = _experiment(RATE_DURING_ABSENCE, run_s, ABSENT_REPLICAS, snapshot_every=snapshot_interval)
    actions: list[tuple[int, Action]] = [(settling_s * SECOND, absence.run)]
    _, reading = await run_fleet(
        parse_experiment(document), SEED, SECOND, actions, interval_end=settling_s * SECOND
    )
    point = absence.point or Point(seconds, {}, "it did not catch up while the world lasted")
    if reading.void:
        point = point._replace(void=reading.void)
    metrics = point.metrics
    text = point.void or f"{metrics['seconds']:.3f} s, {metrics['bytes_sent']:,.0f} bytes"
    request.report_progress(f"store replica, missed_entries {point.load:g}: {text}")
    return point


async def measure_absences(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of entries that a replica missed; it catches up from the log or by a snapshot."""
    result = NO_RESULT
    for interval in SNAPSHOT_INTERVALS:
        points = await run_points(
            [_measure_absence(seconds, interval, request) for seconds in ABSENCES], request
        )
        fixed = {"replicas": float(ABSENT_REPLICAS), "snapshot_every": float(interval)}
        result = result.plus(make_result(MeasuredLoad(ROLE, "missed_entries", ABSENCE_METHOD, fixed), points))
    return result


MEASUREMENTS = [
    Measurement((ROLE,), "commits_a_second", measure_commits),
    Measurement((ROLE,), "kept_state", measure_stored_state),
    Measurement((ROLE,), "missed_entries", measure_absences),
]
