"""Runs an experiment on sockets: the real program, started as users start it, among fakes in real time."""

import asyncio
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

from ..experiment_files.experiment import Experiment
from ..models.event_records import Event, merge_events, read_events
from ..processes.capacity_check import memory_backed_folder
from ..processes.history import HistoryEvent
from ..processes.link_faults import LinkCounters
from .socket_fleet import ReportListener, SocketFleet

LOG_TAIL = 2000  # characters from the end of each dispatcher's log


class SocketRunResult(NamedTuple):
    """The result of one run."""

    events: list[Event]
    void: str  # why the run proves nothing; "" if it is valid
    elapsed_s: float
    logs: str  # the ends of the dispatchers' logs
    history: list[HistoryEvent]  # the faults of dispatchers, and what they logged
    links: LinkCounters


def run_on_sockets(
    experiment: Experiment, seed: int, on_report: ReportListener | None = None
) -> SocketRunResult:
    """Run once, in real time.

    Raises:
        ExperimentError, CapacityError, ProcessStartError: see `SocketFleet.run`.
    """
    began_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="ploverspoke-testbed-", dir=memory_backed_folder()) as name:
        folder = Path(name)
        fleet = SocketFleet(experiment, seed, folder, on_report)
        asyncio.run(_run_and_close(fleet))
        fake_records = [read_events(path) for path in sorted(folder.glob("*.jsonl"))]
        events = merge_events([fleet.records.events, *fake_records])
        history = fleet.rig.read_events()
        logs = "\n".join(path.read_text()[-LOG_TAIL:] for path in sorted(folder.glob("d*.log")))
    elapsed = time.monotonic() - began_at
    links = fleet.rig.link_faults.counters.links
    return SocketRunResult(events, fleet.void_reason(), elapsed, logs, history, links)


async def _run_and_close(fleet: SocketFleet) -> None:
    try:
        await fleet.run()
    finally:
        await fleet.close()
