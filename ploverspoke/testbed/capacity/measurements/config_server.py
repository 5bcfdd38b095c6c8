"""Measures the costs of config servers and of publishing.

Three servers run on a rig. Bytes are counted at the proxy, which is in front of them and between them. The
watchers are real watch clients in the measuring process, all of them connected to the leader.
"""

import asyncio
import tempfile
import time
from pathlib import Path

from ploverspoke.config_distribution.client import WatchClient
from ploverspoke.config_distribution.cluster_config import WatchConfig
from ploverspoke.config_distribution.messages import VerifiedVersion
from ploverspoke.consensus.framing import FrameError

from ...processes.addresses import ProcessAddress
from ...processes.capacity_check import memory_backed_folder
from ...processes.rig import Rig
from ...processes.running_process import ProcessStartError
from ...processes.tcp_proxy import OUTSIDE
from ...scenarios.replica_files import SECRET
from ..time_units import SECONDS_PER_MINUTE
from .command_costs import METHOD as COMMAND_METHOD
from .command_costs import run_command
from .config_server_fleet import CLUSTER, SERVER_COUNT, ConfigServerFleet, make_body
from .dispatcher import RELOAD_OFFSET, measurement_interval
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
from .replica_usage import ByteRates, UsageSampler, read_link_bytes, replica_metrics

ROLE, PUBLISHER = "config server", "configuration publisher"
BODY_SIZES = (4096, 16384)  # bytes
CHANGE_RATES = (0, 10, 30, 60)  # a minute
WATCHER_COUNTS = (20, 60, 150)
FIXED_WATCHERS = 60  # while the rate of changes is varied
PUBLISHED_SIZES = (4096, 16384, 65536)  # bytes
SAMPLE_INTERVAL, MIN_SAMPLE_INTERVAL = 0.5, 0.05  # seconds
DELIVERY_TIME = 1.0  # seconds until all watchers have received the last version
METHOD = (
    "the server that leads and that all watch, the others as follower_*; schedstat and /proc/PID/status, "
    "bytes at the proxy; servers have the rig's launcher"
)


class _Watchers:
    """Watch clients of one server, without dispatchers, in this process."""

    def __init__(self, rig: Rig, server: ProcessAddress, count: int) -> None:
        self.versions_received = 0
        loop = asyncio.get_running_loop()
        servers = [server.proxied_endpoint("clients")]
        self._clients = [
            WatchClient(
                loop,
                WatchConfig(CLUSTER, servers, [], SECRET.encode(), rig.folder / f"cache-{number}.json"),
                f"d{number}",
                self._on_version,
                seed=number,
            )
            for number in range(count)
        ]

    def _on_version(self, version: VerifiedVersion) -> None:
        self.versions_received += 1

    def start(self) -> None:
        for client in self._clients:
            client.start()

    def close(self) -> None:
        for client in self._clients:
            client.close()


async def _measure_server(watchers: int, changes: int, body_size: int, request: MeasurementRequest) -> Point:
    """Measure the leader with a number of watchers and of changes a minute."""
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX, dir=memory_backed_folder()) as folder:
        try:
            async with Rig(Path(folder), SEED) as rig:
                metrics = await _measure_server_on(rig, watchers, changes, body_size, request)
                point = Point(float(watchers), metrics, rig.void_reason())
        except (ProcessStartError, OSError, FrameError) as error:
            point = Point(float(watchers), {}, str(error) or NOT_READY)
    text = point.void or f"core {point.metrics['core_share']:.2%}"
    request.report_progress(
        f"{ROLE}, {watchers} watchers, {changes} changes a minute of {body_size} bytes: {text}"
    )
    return point


async def _measure_server_on(
    rig: Rig, watchers: int, changes: int, body_size: int, request: MeasurementRequest
) -> dict[str, float]:
    """Measure on the rig. Raises ProcessStartError if a watcher missed a version or the leader changed."""
    interval, fleet = measurement_interval(request.quick), ConfigServerFleet(rig)
    await fleet.start()
    leader = await fleet.find_leader()
    await fleet.publish(body_size)
    clients = _Watchers(rig, leader, watchers)
    try:
        clients.start()
        await asyncio.sleep(interval.settling_s)
        if clients.versions_received != watchers:
            reason = f"{clients.versions_received} of {watchers} watchers have the first version"
            raise ProcessStartError(reason)
        sampler = UsageSampler(rig, [address.name for address in fleet.addresses])
        before = await read_link_bytes(rig)
        published = await _publish_and_sample(fleet, sampler, interval, changes, body_size)
        after = await read_link_bytes(rig)
        await asyncio.sleep(DELIVERY_TIME)
        expected = watchers * (1 + published)
        if clients.versions_received != expected or (await fleet.find_leader()).name != leader.name:
            reason = f"{clients.versions_received} versions came to watchers where {expected} were sent"
            raise ProcessStartError(reason)
    finally:
        clients.close()
    rates = ByteRates(before, after)
    metrics = replica_metrics(leader.name, sampler.samples, rates)
    metrics["bytes_in_watchers"] = rates.between(OUTSIDE, leader.name)
    metrics["bytes_out_watchers"] = rates.between(leader.name, OUTSIDE)
    return metrics


async def _publish_and_sample(
    fleet: ConfigServerFleet, sampler: UsageSampler, interval: Interval, changes: int, body_size: int
) -> int:
    """Publish at a fixed rate and sample meanwhile; return the number of published versions."""
    start, published = time.monotonic(), 0
    publish_interval = SECONDS_PER_MINUTE / changes if changes else 0.0
    sample_interval = (
        min(SAMPLE_INTERVAL, max(MIN_SAMPLE_INTERVAL, publish_interval / 4)) if changes else SAMPLE_INTERVAL
    )
    while time.monotonic() < start + interval.duration_s:
        sampler.sample()
        if changes and time.monotonic() >= start + RELOAD_OFFSET + published * publish_interval:
            await fleet.publish(body_size)
            published += 1
        await asyncio.sleep(sample_interval)
    return published


async def measure_watchers(request: MeasurementRequest) -> MeasurementResult:
    """Vary the number of watchers of one server."""
    runs = [_measure_server(count, 0, BODY_SIZES[0], request) for count in WATCHER_COUNTS]
    fixed = {"changes_a_minute": 0.0, "servers": float(SERVER_COUNT)}
    return make_result(MeasuredLoad(ROLE, "watchers", METHOD, fixed), await run_points(runs, request))


async def measure_changes_at_server(request: MeasurementRequest) -> MeasurementResult:
    """Vary the changes a minute, with a small and a large body."""
    result = NO_RESULT
    for body_size in BODY_SIZES:
        runs = [_measure_server(FIXED_WATCHERS, rate, body_size, request) for rate in CHANGE_RATES]
        points_by_watchers = await run_points(runs, request)
        points = [
            point._replace(load=float(rate))
            for rate, point in zip(CHANGE_RATES, points_by_watchers, strict=True)
        ]
        fixed = {
            "watchers": float(FIXED_WATCHERS),
            "body_bytes": float(body_size),
            "servers": float(SERVER_COUNT),
        }
        result = result.plus(make_result(MeasuredLoad(ROLE, "changes_a_minute", METHOD, fixed), points))
    return result


async def measure_publisher(request: MeasurementRequest) -> MeasurementResult:
    """Vary the size of the body of `config publish`, which ends when its version is committed."""
    points = [await _measure_publish(size, request) for size in PUBLISHED_SIZES]
    fixed = {"servers": float(SERVER_COUNT)}
    return make_result(MeasuredLoad(PUBLISHER, "body_bytes", COMMAND_METHOD, fixed), points)


async def _measure_publish(body_size: int, request: MeasurementRequest) -> Point:
    with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX, dir=memory_backed_folder()) as folder:
        try:
            async with Rig(Path(folder), SEED) as rig:
                fleet = ConfigServerFleet(rig)
                await fleet.start()
                leader = await fleet.find_leader()
                path = rig.folder / "body.json"
                path.write_text(make_body(body_size, 0))
                words = ["config", "publish", str(fleet.config_path(leader)), str(path)]
                costs = await asyncio.to_thread(run_command, words)
                point = Point(float(body_size), costs)
        except (ProcessStartError, OSError, FrameError) as error:
            point = Point(float(body_size), {}, str(error) or NOT_READY)
    request.report_progress(
        f"{PUBLISHER}, {body_size} bytes: {point.void or point.metrics['processor_seconds']}"
    )
    return point


MEASUREMENTS = [
    Measurement((ROLE,), "watchers", measure_watchers),
    Measurement((ROLE,), "changes_a_minute", measure_changes_at_server),
    Measurement((PUBLISHER,), "body_bytes", measure_publisher),
]
