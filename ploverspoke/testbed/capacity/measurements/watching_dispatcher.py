"""Measures the costs of a dispatcher that watches config servers.

The dispatcher runs as users start it. The bytes of its watch are counted at the proxy in front of the
servers.
"""

import tempfile
from functools import partial
from pathlib import Path

from ploverspoke.consensus.framing import FrameError

from ...experiment_files.durations import SECOND
from ...experiment_files.reader import parse_experiment
from ...processes.capacity_check import memory_backed_folder
from ...processes.rig import Rig
from ...processes.running_process import ProcessStartError
from ...processes.tcp_proxy import OUTSIDE
from ..time_units import SECONDS_PER_MINUTE
from .config_server import BODY_SIZES, CHANGE_RATES
from .config_server_fleet import ConfigServerFleet
from .dispatcher import RELOAD_OFFSET, WORKERS, dispatcher_experiment, measurement_interval
from .measurement import (
    FOLDER_PREFIX,
    NO_RESULT,
    NOT_READY,
    SEED,
    Interval,
    MeasuredLoad,
    Measurement,
    MeasurementRequest,
    MeasurementResult,
    Point,
    make_result,
    run_points,
)
from .measurement_fleet import Action, MeasurementFleet, run_fleet
from .replica_usage import ByteRates, LinkBytes, read_link_bytes

WATCHING_ROLE = "dispatcher watching configuration"
WATCHING_METHOD = (
    "schedstat and /proc/PID/status; bytes_*_config at the proxy before the config servers, the others "
    "at the fakes"
)


async def _measure_without_watch(request: MeasurementRequest) -> Point:
    interval = measurement_interval(request.quick)
    experiment = parse_experiment(dispatcher_experiment(interval))
    _, reading = await run_fleet(experiment, SEED, interval.settling_s * SECOND)
    return Point(0.0, reading.metrics, reading.void)


async def _measure_watching(changes: int, body_size: int, request: MeasurementRequest) -> Point:
    interval = measurement_interval(request.quick)
    experiment = parse_experiment(dispatcher_experiment(interval))
    readings: list[LinkBytes] = []
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX, dir=memory_backed_folder()) as folder:
        try:
            async with Rig(Path(folder), SEED) as rig:
                servers = ConfigServerFleet(rig)
                await servers.start()
                leader = await servers.find_leader()
                actions = _watching_actions(servers, readings, interval, changes, body_size)
                watch_file = servers.write_watch_file(leader)
                _, reading = await run_fleet(
                    experiment, SEED, interval.settling_s * SECOND, actions, watch_file=watch_file
                )
                void = reading.void or rig.void_reason()
        except (ProcessStartError, OSError, FrameError) as error:
            return Point(float(changes), {}, str(error) or NOT_READY)
    if not void and len(readings) < 2:
        void = "too little was seen at the config servers"
    # The proxy in front of the config servers counts bytes only, so the message counts are left out.
    metrics = {key: value for key, value in reading.metrics.items() if "messages" not in key}
    if not void:
        _add_config_traffic(metrics, ByteRates(*readings), leader.name)
    text = void or f"core {metrics['core_share']:.3%}, {metrics['bytes_in_config']:.0f} bytes a second in"
    request.report_progress(f"{WATCHING_ROLE}, {changes} changes a minute of {body_size} bytes: {text}")
    return Point(float(changes), metrics, void)


def _watching_actions(
    servers: ConfigServerFleet,
    readings: list[LinkBytes],
    interval: Interval,
    changes: int,
    body_size: int,
) -> list[tuple[int, Action]]:
    """Return the actions of a run.

    They publish a first version, read the proxy at the start and end of the interval, and publish changes in
    between.
    """
    count = changes * interval.duration_s // SECONDS_PER_MINUTE
    publish = partial(_publish, servers, body_size)
    read_proxy = partial(_append_link_bytes, servers, readings)
    times = (
        interval.settling_s + RELOAD_OFFSET + number * interval.duration_s / count for number in range(count)
    )
    return [
        (SECOND, publish),
        (interval.settling_s * SECOND, read_proxy),
        *((int(at * SECOND), publish) for at in times),
        (interval.end_s * SECOND, read_proxy),
    ]


async def _publish(servers: ConfigServerFleet, body_size: int, fleet: MeasurementFleet) -> None:
    await servers.publish(body_size)
    fleet.expected_reloads += 1


async def _append_link_bytes(
    servers: ConfigServerFleet, readings: list[LinkBytes], fleet: MeasurementFleet
) -> None:
    readings.append(await read_link_bytes(servers.rig))


def _add_config_traffic(metrics: dict[str, float], rates: ByteRates, server: str) -> None:
    received, sent = rates.between(server, OUTSIDE), rates.between(OUTSIDE, server)
    metrics["bytes_in_config"], metrics["bytes_out_config"] = received, sent
    metrics["bytes_in"] += received
    metrics["bytes_out"] += sent


async def measure_changes_at_dispatcher(request: MeasurementRequest) -> MeasurementResult:
    """Vary the changes a minute at a watching dispatcher; the notes give the costs of one without a watch."""
    result = NO_RESULT
    for body_size in BODY_SIZES:
        watching = [_measure_watching(rate, body_size, request) for rate in CHANGE_RATES]
        without, *points = await run_points([_measure_without_watch(request), *watching], request)
        fixed = {"body_bytes": float(body_size), "workers_listed": float(WORKERS)}
        note = _note_without_watch(without)
        measured = MeasuredLoad(WATCHING_ROLE, "changes_a_minute", WATCHING_METHOD, fixed, note)
        result = result.plus(make_result(measured, points))
    return result


def _note_without_watch(point: Point) -> str:
    if point.void:
        return f"without a watch: void: {point.void}"
    return (
        f"without a watch, in the same call: core_share {point.metrics['core_share']:.6f}, "
        f"memory_bytes {point.metrics['memory_bytes']:.0f}"
    )


MEASUREMENTS = [Measurement((WATCHING_ROLE,), "changes_a_minute", measure_changes_at_dispatcher)]
