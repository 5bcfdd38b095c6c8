"""Plays a fleet file: hollow against real first, then each world, one after the other, in real time."""

import asyncio
import platform
import subprocess
import tempfile
import time
from collections.abc import Callable, Sequence
from os import sched_getaffinity
from pathlib import Path

import msgspec

from ..capacity.fleet_size import FleetSize
from ..checkers.request_audit import SOCKETS_TOLERANCE, audit_requests
from ..checkers.scale_checker import (
    BY_NATURE,
    FORMAT,
    METRIC_KINDS,
    ScaleObservations,
    ScaleResults,
    ScaleRow,
    bounded_by_length,
    check_scale_run,
    compare_metrics,
    healing,
    mark_void_metrics,
    scale_metrics,
)
from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from ..models.event_records import merge_events, read_events, write_events
from ..processes.capacity_check import CapacityError, memory_backed_folder
from ..processes.running_process import ProcessStartError
from ..reports.scores import score_run
from .config_change_fleet import ConfigChangeFleet, WatchedConfigFleet
from .scale_fleet import ProcessCounts, RealScaleFleet, ScaleFleet, SimulatedScaleFleet, total_memory
from .scale_phases import (
    ScaleScenario,
    ScaleScenarios,
    comparison_scenario,
    experiment_for,
    process_counts,
    read_scale_scenarios,
)

COMPARED = "hollow and real"
LENGTHS = "absences of two lengths"


def stage_of(
    play: ScaleScenario,
    plays: ScaleScenarios,
    e: Experiment,
    folder: Path,
    hollow: bool,
    shape: ProcessCounts | None = None,
) -> ScaleFleet:
    shape = process_counts(plays) if shape is None else shape
    if not hollow:
        return RealScaleFleet(e, plays.seed, folder, shape._replace(hollow=0))
    if play.what != "changes":
        return SimulatedScaleFleet(e, plays.seed, folder, shape)
    return (WatchedConfigFleet if play.by == "watch" else ConfigChangeFleet)(
        e, plays.seed, folder, shape, play
    )


async def _play(stage: ScaleFleet) -> None:
    try:
        await stage.run()
    finally:
        await stage.close()


def play_one(
    fleet: FleetSize,
    plays: ScaleScenarios,
    play: ScaleScenario,
    *,
    hollow: bool = True,
    void_kinds: Sequence[str] = (),
    keep: Path | None = None,
) -> ScaleRow:
    """Raises nothing that a run can bring: one that does not fit or come up is void, and says why."""
    e = experiment_for(fleet, plays, play)
    count = e.dispatchers.count
    row = ScaleRow(
        play=play.name,
        seed=plays.seed,
        dispatchers=count,
        processes=plays.hollow_processes if hollow else count,
        hollow=hollow,
        void="",
        figures={},
    )
    with tempfile.TemporaryDirectory(prefix="ploverspoke-fleet-", dir=memory_backed_folder()) as name:
        folder = Path(name)
        stage = stage_of(play, plays, e, folder, hollow)
        try:
            asyncio.run(_play(stage))
        except (CapacityError, ProcessStartError, TimeoutError) as error:
            row.void = str(error) or "a process was not ready in time"
            return row
        events = merge_events(
            [stage.records.events, *(read_events(path) for path in sorted(folder.glob("*.jsonl")))]
        )
        lines = sum(path.read_bytes().count(b"\n") for path in folder.glob("d*.log"))
    if keep is not None:
        write_events(events, keep)
    row.void = stage.void_reason()
    found = score_run(e, "ours", plays.seed, events, audit_requests(e, events, SOCKETS_TOLERANCE), row.void)
    changes = stage.took if isinstance(stage, ConfigChangeFleet) else []
    seen = ScaleObservations(e, events, found, stage.samples, changes, lines)
    figures = scale_metrics(seen)
    if play.what == "region cut":
        figures |= healing(seen, play)
    if isinstance(stage, ConfigChangeFleet):
        figures["carried_bytes_a_change_a_dispatcher"] = stage.carried / play.changes / count
    verdict = check_scale_run(fleet, play, seen, figures, void_kinds)
    if play.what == "changes" and len(changes) < play.changes:
        verdict.demand(False, f"{len(changes)} of {play.changes} changes were seen to the end")
    row.figures = {key: round(value, 6) for key, value in mark_void_metrics(figures, void_kinds).items()}
    row.held = verdict.held
    row.failed = [*verdict.failed, *(text.splitlines()[0] for text in found.findings[:5])]
    if void_kinds:
        row.note = note_of(void_kinds)
    return row


def compare_both(fleet: FleetSize, plays: ScaleScenarios) -> tuple[list[ScaleRow], list[str]]:
    """The same experiment and seed with hollow and with real dispatchers, and the kinds that are void."""
    play = comparison_scenario(fleet, plays)
    processes = max(1, plays.hollow_processes * plays.compared.dispatchers // plays.dispatchers)
    few = msgspec.structs.replace(plays, hollow_processes=processes)
    rows = [play_one(fleet, few, play, hollow=hollow) for hollow in (True, False)]
    both = ScaleRow(
        play=COMPARED,
        seed=plays.seed,
        dispatchers=plays.compared.dispatchers,
        processes=processes,
        hollow=True,
        void=next((f"one of the two is void: {row.void}" for row in rows if row.void), ""),
        figures={},
        note="hollow figures as parts of the real ones; a kind is void where one is off by over "
        f"{plays.compared.differ_at_most:.0%}, memory a dispatcher always: it is shared",
    )
    rows[0].play, rows[1].play = f"{COMPARED}: hollow", f"{COMPARED}: real"
    if both.void:
        return [*rows, both], [BY_NATURE]
    ratios, void = compare_metrics(rows[0].figures, rows[1].figures, plays.compared.differ_at_most)
    both.figures = {key: round(value, 4) for key, value in ratios.items()}
    both.held = [kind for kind in METRIC_KINDS if kind not in void]
    both.failed = [f"{kind}: hollow figures of it are void" for kind in void]
    return [*rows, both], [*void, BY_NATURE]


def compare_lengths(fleet: FleetSize, plays: ScaleScenarios, rows: Sequence[ScaleRow]) -> ScaleRow | None:
    """Two absences of a region that were both played: what grows with their length."""
    worlds = {play.name: play for play in plays.worlds if play.what == "region cut"}
    latest = {row.play: row for row in rows if row.play in worlds}  # one that was played again counts once
    played = sorted(latest.values(), key=lambda row: worlds[row.play].away)
    if len(played) < 2:
        return None
    short, long = played[0], played[-1]
    times = worlds[long.play].away / worlds[short.play].away
    verdict = bounded_by_length(short.figures, long.figures, times)
    return ScaleRow(
        play=LENGTHS,
        seed=plays.seed,
        dispatchers=long.dispatchers,
        processes=long.processes,
        hollow=True,
        void=next((f"{row.play} is void: {row.void}" for row in (short, long) if row.void), ""),
        figures={},
        held=verdict.held,
        failed=verdict.failed,
    )


def run_fleet(
    fleet: FleetSize,
    names: Sequence[str],
    out: Path | None,
    told: Callable[[ScaleRow], None],
    keep: Path | None = None,
) -> list[ScaleRow]:
    """All plays, or those named; each is written to `out` as soon as it is over, beside what is there.

    Raises FleetFileError where the table of plays is wrong, ExperimentError where a name is none of them.
    """
    plays = read_scale_scenarios(fleet)
    known = [COMPARED, *(play.name for play in plays.worlds)]
    for name in names:
        if name not in known:
            raise ExperimentError(f"--play: {name!r} is none of {', '.join(known)}")
    rows: list[ScaleRow] = []
    results = read_results(out)

    def done(*more: ScaleRow) -> None:
        for row in more:
            rows.append(row)
            results.runs.append(row)
            told(row)
        if out is not None:
            out.write_bytes(msgspec.json.format(msgspec.json.encode(results)) + b"\n")

    void_kinds = void_before(results.runs)
    if not names or COMPARED in names:
        compared, void_kinds = compare_both(fleet, plays)
        for row in results.runs:
            call_void(row, void_kinds)  # what was played before binds as well
        done(*compared)
    for play in plays.worlds:
        if not names or play.name in names:
            path = None if keep is None else keep / f"events-{play.name.replace(' ', '-')}.jsonl"
            done(play_one(fleet, plays, play, void_kinds=void_kinds, keep=path))
    cuts = [
        row
        for row in rows
        if any(play.name == row.play and play.what == "region cut" for play in plays.worlds)
    ]
    lengths = compare_lengths(fleet, plays, results.runs) if cuts else None
    if lengths is not None:
        done(lengths)
    return rows


def call_void(row: ScaleRow, void_kinds: Sequence[str]) -> None:
    """What a comparison takes from a hollow play's row: figures are marked, judgements by them go."""
    if not row.hollow or row.play.startswith(COMPARED) or row.play == LENGTHS:
        return
    row.figures = mark_void_metrics(row.figures, void_kinds)
    openings = tuple(kind for kind in void_kinds if kind != BY_NATURE)
    if openings:
        row.held = [text for text in row.held if not text.startswith(openings)]
        row.failed = [text for text in row.failed if not text.startswith(openings)]
        row.note = note_of(void_kinds)


def note_of(void_kinds: Sequence[str]) -> str:
    return f"void by kind, since hollow and real differ there: {', '.join(void_kinds)}"


def void_before(rows: Sequence[ScaleRow]) -> list[str]:
    """What the last comparison that was no void one has found."""
    last = next((row for row in reversed(rows) if row.play == COMPARED and not row.void), None)
    found = [] if last is None else [text.partition(":")[0] for text in last.failed]
    return [*found, BY_NATURE]


def read_results(out: Path | None) -> ScaleResults:
    now = time.strftime("%Y-%m-%d", time.gmtime())
    fresh = ScaleResults(format=FORMAT, at=now, text=commit(), machine=machine())
    if out is None or not out.exists():
        return fresh
    try:
        fresh.runs = msgspec.json.decode(out.read_bytes(), type=ScaleResults).runs
    except (OSError, msgspec.DecodeError) as error:
        raise ExperimentError(f"{out}: no results of plays: {error}") from None
    return fresh


def commit() -> str:
    """The text that is played; unknown outside of a repository."""
    try:
        found = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent,
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return found.stdout.strip()


def machine() -> str:
    return (
        f"{len(sched_getaffinity(0))} cores, {total_memory() >> 30} GiB, Python {platform.python_version()}"
    )
