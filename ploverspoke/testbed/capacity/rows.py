"""One row for each line of the fleet's size: what is asked, what today's design gives, what carries it, a
verdict, from which size on it stops, and which other rows' mechanisms it needs. Without I/O.

What the rows say of the code is written by hand, read off the modules that they name; their figures come from
slopes, plays and the fleet file alone.
"""

from collections.abc import Callable, Sequence
from math import ceil
from typing import NamedTuple

import msgspec

from .budgets import (
    EVERYTHING,
    PROGRESS,
    STARTS,
    WATCHED,
    WATCHING,
    BudgetRow,
    core_with,
    figures_of,
    stop_of,
    within,
)
from .estimate import Figure
from .fleet_size import FleetSize
from .machines import VOTERS, layout, losses, third_site
from .measured_costs import MeasuredCosts
from .scenario_results import ScenarioResult, ScenarioResults
from .verdicts import FAILS, HOLDS, LESSER, MISSING, NOT_MEASURED, OVER, worst
from .workload import (
    APART,
    DAY,
    MACHINE,
    PEAK,
    RACK,
    RESTART,
    ZONE,
    configuration_changes,
    larger_region,
    lost_workers,
    running_time,
    zone_part,
)

SECOND = 1_000_000_000
KB, MB = 1_000, 1_000_000
NONE = "none"
PLAYED, SLOPES, READ, WORKED = "played", "slopes of one process", "read off the code", "worked out"
BY_SERVERS = "from config servers"  # in the name of the play in which they bring the changes
BEYOND = "beyond what was played"
HALF = "half"  # in the name of a play that has less load than the peak on purpose
LOAD = {"starts_a_second": "starts a second", "tasks_running": "tasks running"}  # figures of a play
NEARLY = 0.97  # arrivals are drawn by chance: so much of a rate is that rate


class Need(NamedTuple):
    row: str  # whose mechanism it needs
    why: str


class Row(msgspec.Struct, frozen=True, kw_only=True):
    key: str
    line: str  # of the size
    demand: str
    gives: str  # what today's design gives
    mechanism: str  # module and page, or "none"
    verdict: str
    basis: str  # of the verdict
    letter: str  # when it fails: a a promise on an ordinary day, b a budget on one, c in a failure
    stops: str  # from which size on today's design stops
    needs: list[Need] = []


class Facts(NamedTuple):
    """What all rows are worked out from."""

    fleet: FleetSize
    slopes: MeasuredCosts
    plays: ScenarioResults
    budget: list[BudgetRow]
    distributed: bool  # whether the distribution of configuration is counted in

    @property
    def fewest(self) -> int:
        return min(self.fleet.size.dispatchers)

    def measured_to(self, size: str) -> float:
        """The largest of that size at which anything of a dispatcher was measured."""
        lines = [one for one in self.slopes.lines if (one.role, one.size) == ("dispatcher", size)]
        return max((line.measured_to for line in lines), default=0.0)

    def runs(self, *plays: str) -> list[ScenarioResult]:
        return [run for run in self.plays.runs if any(word in run.play for word in plays)]

    def stop(self, figure: str, size: str, limit: float, counted: str) -> float | None:
        return stop_of(self.fleet, self.slopes, figure, size, limit, counted)


def judged(facts: Facts, runs: list[ScenarioResult], words: Sequence[str] = ()) -> tuple[str, str]:
    """The verdict of the runs that count, and what they say; only of lines with one of the words, if any.

    What held in runs that all had less than the peak's load is called so.
    """
    counted = [run for run in runs if not run.void]
    if not counted:
        voids = sorted({run.void for run in runs})
        return NOT_MEASURED, f"every play of it is void ({'; '.join(voids)})" if voids else "not played"

    def about(texts: list[str]) -> list[str]:
        return [text for text in texts if not words or any(word in text.lower() for word in words)]

    failed = sorted({text for run in counted for text in about(run.failed)})
    held = sorted({text for run in counted for text in about(run.held)})
    sizes = ", ".join(str(many) for many in sorted({run.dispatchers for run in counted}))
    told = f"{len(counted)} run{'s' if len(counted) > 1 else ''} played with {sizes} dispatchers"
    for figure, of in LOAD.items():
        found = [value for run in counted if (value := run.figures.get(figure)) is not None]
        told += f", {min(found):.3g} {of}" if found else ""
    if failed:
        return FAILS, f"{told}, failed: {'; '.join(failed)}"
    if not held:
        return NOT_MEASURED, f"{told} say nothing of it"
    return (HOLDS if any(at_peak(facts, run) for run in counted) else LESSER), f"{told}, held"


def at_peak(facts: Facts, run: ScenarioResult) -> bool:
    """Whether it had the load of the peak, and as many dispatchers as there are at the least."""
    size, found = facts.fleet.size, run.figures
    starts, running = found.get("starts_a_second") or 0.0, found.get("tasks_running") or 0.0
    enough = starts >= NEARLY * size.task_starts_a_second and running >= NEARLY * size.tasks_running
    return enough and run.dispatchers >= facts.fewest


def reached(facts: Facts, figure: str, demand: float, of: str) -> tuple[str, str]:
    """The verdict of the peak's runs by one of their figures against what is asked; half of the peak that
    was played on purpose is no failure.
    """
    runs = facts.runs("peak")
    counted = [run for run in runs if not run.void and run.figures.get(figure) is not None]
    if not counted:
        return NOT_MEASURED, judged(facts, [run for run in runs if run.void])[1]
    most = max(run.figures[figure] or 0.0 for run in counted)
    whole = any(HALF not in run.play for run in counted)
    verdict = HOLDS if most >= NEARLY * demand else FAILS if whole else LESSER
    return verdict, f"played: {most:.4g} {of}"


def number(value: float | None, unit: str = "") -> str:
    return NOT_MEASURED if value is None else f"{value:.3g}{unit}"


def at_each(facts: Facts, counted: str) -> tuple[str, str]:
    """The verdict over all numbers of dispatchers, and how it is at each."""
    found = {}
    for dispatchers in facts.fleet.size.dispatchers:
        rows = [row for row in facts.budget if (row.counted, row.dispatchers) == (counted, dispatchers)]
        found[dispatchers] = worst([row.verdict for row in rows])
    peak = {
        row.dispatchers: shares(row)
        for row in facts.budget
        if (row.counted, row.situation) == (counted, PEAK)
    }
    told = "; ".join(f"{verdict} with {many} ({peak[many]} at the peak)" for many, verdict in found.items())
    return worst(list(found.values())), told


def shares(row: BudgetRow) -> str:
    core, memory, octets = scaled(row.core, 100), scaled(row.memory, 1 / MB), scaled(row.bytes, 1 / KB)
    return f"{number(core, '%')}, {number(memory, ' MB')}, {number(octets, ' KB/s')}"


def measured_or_played(verdict: str, measured_to: float, demand: float) -> tuple[str, str]:
    """Where nothing was played, one dispatcher that bore its part on its own counts: verdict and basis."""
    if verdict in (NOT_MEASURED, LESSER) and measured_to >= demand:
        return HOLDS, SLOPES
    return verdict, PLAYED


def stop_text(value: float | None, of: str) -> str:
    return f"{value:.3g} {of}" if value is not None else f"no number of {of} near what was measured"


# ---- On an ordinary day ----


def workers_row(facts: Facts) -> Row:
    workers = facts.fleet.size.workers
    to = facts.measured_to("workers_listed")
    stop = facts.stop("core_share", "workers_listed", facts.fleet.budget.core_share, STARTS)
    verdict, played = judged(facts, facts.runs("peak"), ("rule",))
    verdict, basis = measured_or_played(verdict, to, workers)
    return Row(
        key="workers",
        line=f"{workers} workers",
        demand=f"each dispatcher knows and may use all {workers}",
        gives=f"the whole list at each; one dispatcher measured to {to:.3g} listed; {played}",
        mechanism="`routing/endpoint_watch.py`, `docs/architecture.md`",
        verdict=verdict,
        basis=basis,
        letter="a",
        stops=stop_text(stop, "listed workers") + ", by the share of a core",
    )


def starts_row(facts: Facts) -> Row:
    size = facts.fleet.size
    each = size.task_starts_a_second / facts.fewest
    to = facts.measured_to("starts_a_second")
    stop = facts.stop("core_share", "starts_a_second", facts.fleet.budget.core_share, STARTS)
    verdict, played = reached(facts, "starts_a_second", size.task_starts_a_second, "starts a second")
    verdict, basis = measured_or_played(verdict, to, each)
    return Row(
        key="starts",
        line=f"{size.jobs_a_day:,} jobs a day, {size.task_starts_a_second:g} starts a second at the peak",
        demand=f"{size.jobs_a_day / DAY:.2g} jobs a second; {each:.2g} starts a second at one of "
        f"{facts.fewest} dispatchers",
        gives=f"each hands out its own; one dispatcher measured to {to:.3g} a second; {played}",
        mechanism="`decisions/queues.py`, `docs/design.md`",
        verdict=verdict,
        basis=basis,
        letter="a",
        stops=stop_text(stop, "starts a second at one dispatcher") + ", by its share of a core",
    )


def tasks_row(facts: Facts) -> Row:
    size = facts.fleet.size
    each, slots = size.tasks_running / facts.fewest, size.tasks_running / size.workers
    to = facts.measured_to("tasks_running")
    verdict, played = reached(facts, "tasks_running", size.tasks_running, "tasks running")
    verdict, basis = measured_or_played(verdict, to, each)
    return Row(
        key="tasks",
        line=f"{size.tasks_running:,} tasks running",
        demand=f"{each:.3g} at one of {facts.fewest} dispatchers, {slots:.2g} at a worker; each runs for "
        f"{running_time(facts.fleet):.3g} s, where the peak lasts",
        gives=f"one errand and one connection for each; one dispatcher measured to {to:.3g}; {played}",
        mechanism="`routing/worker_calls.py`, `docs/architecture.md`",
        verdict=verdict,
        basis=basis,
        letter="a",
        stops="the connections to workers that `limits.sockets` leaves; its share of a core is a row below",
    )


def gangs_row(facts: Facts) -> Row:
    fleet = facts.fleet
    gang = fleet.size.largest_gang
    core = core_with(fleet, facts.slopes, gang, PROGRESS)
    share = number(None if core is None else 100 * core, "% of a core")
    return Row(
        key="gangs",
        line=f"gangs of up to {gang}",
        demand="all tasks of a gang begin together, or none does",
        gives="each task is a submission of its own: a part of a gang may run and hold workers while the "
        f"rest waits. {gang} tasks at one dispatcher, with progress reports: {share}",
        mechanism=NONE,
        verdict=MISSING,
        basis=READ,
        letter="a",
        stops="2 tasks in a gang",
        needs=[Need("quotas", f"one start takes up to {gang} of a team's places at once")],
    )


def quotas_row(facts: Facts) -> Row:
    teams = facts.fleet.size.teams
    return Row(
        key="quotas",
        line=f"{teams} teams with quotas",
        demand="over all dispatchers a team has no more than its quota, and its quota when it asks",
        gives="a request may name its tenant, and settings may list their shares; the dispatcher reads "
        "neither. `MaxOpen` bounds one dispatcher, whoever asks; nothing is counted over two of them",
        mechanism=NONE,
        verdict=MISSING,
        basis=READ,
        letter="a",
        stops="1 team with a quota",
        needs=[Need("changes", f"the table of {teams} quotas changes, and is the same at all dispatchers")],
    )


def urgent_row(facts: Facts) -> Row:
    size = facts.fleet.size
    verdict, played = judged(facts, facts.runs("peak"), ("urgent",))
    return Row(
        key="urgent",
        line=f"urgent work starts within {size.urgent_starts_within / SECOND:g} s",
        demand="at the peak, and in trouble",
        gives="grades with expected times of their own; a queue is first come, first served within a slot "
        f"count and machine kind, but for those that are too late; nothing that runs makes way; {played}",
        mechanism="`decisions/admission_policy.py` (queueing budgets, weights), `docs/design.md`",
        verdict=verdict,
        basis=PLAYED,
        letter="a",
        stops=f"where all slots are busy: how many a worker has is not stated, "
        f"{size.tasks_running / size.workers:.2g} of them run",
        needs=[
            Need("quotas", "what is over its quota has to wait when workers are full"),
            Need("changes", "limits of other grades are tightened everywhere at once in trouble"),
        ],
    )


def changes_row(facts: Facts) -> Row:
    size = facts.fleet.size
    soon = size.configuration_in_force_within / SECOND
    busiest = configuration_changes(facts.fleet, PEAK).value
    row = Row(
        key="changes",
        line=f"{size.configuration_changes_a_day} changes of configuration a day, in force within {soon:g} s",
        demand=f"{busiest:.2g} a minute in the busiest hour (assumed), at every dispatcher",
        gives="each reads a file of its own at SIGHUP (`service/service.py`); `lease publish` commits to a "
        "store, which its own replicas alone take; nothing tells dispatchers, or what is in force where",
        mechanism=NONE,
        verdict=MISSING,
        basis=READ,
        letter="a",
        stops="2 machines with a dispatcher",
    )
    if not facts.distributed:
        return row
    verdict, played = judged(facts, facts.runs(BY_SERVERS), ("in force", "rule"))
    verdict, costs = watched(facts, verdict)
    return msgspec.structs.replace(
        row,
        gives="config servers agree on versions and tell every dispatcher that watches; with fewer of them "
        f"it was measured (`docs/distribution.md`); {played}; {costs}",
        mechanism="`config_distribution/`, `docs/distribution.md`",
        verdict=verdict,
        basis=PLAYED,
        stops=NOT_MEASURED if verdict == NOT_MEASURED else BEYOND,
    )


def watched(facts: Facts, verdict: str) -> tuple[str, str]:
    """With what the watch costs a dispatcher: over its budget it does not hold, however soon it is."""
    core, memory, octets = figures_of(
        facts.fleet, facts.slopes, max(facts.fleet.size.dispatchers), PEAK, WATCHED
    )
    share, kilobytes = scaled(core, 100), scaled(octets, 1 / KB)
    costs = f"control with a watch {number(share, '% of a core')}, {number(kilobytes, ' KB/s')}"
    over = within(facts.fleet.budget, core, memory, octets) == OVER
    return (OVER if over and verdict != FAILS else verdict), costs


def scaled(figure: Figure, times: float) -> float | None:
    return None if figure.value is None else figure.value * times


def zones_row(facts: Facts) -> Row:
    size = facts.fleet.size
    verdict, played = judged(facts, facts.runs("peak"), ("rule",))
    return Row(
        key="zones",
        line=f"{size.regions} regions with {size.zones} zones",
        demand=f"work stays near; {zone_part(facts.fleet, size.workers)} workers in a zone",
        gives="own zone first, others where it has no room; a region is not known: zones of the other are "
        f"no further away; {played}",
        mechanism="`decisions/worker_choice.py` (`tiers`), `docs/design.md`",
        verdict=verdict,
        basis=PLAYED,
        letter="a",
        stops="2 regions, where the way between them is dearer than between zones",
    )


# ---- Budgets ----


def control_row(facts: Facts) -> Row:
    budget = facts.fleet.budget
    verdict, told = at_each(facts, STARTS)
    stop = facts.stop("core_share", "starts_a_second", budget.core_share, STARTS)
    return Row(
        key="budget",
        line=f"a dispatcher within {100 * budget.core_share:g}% of a core, {budget.memory_mb:g} MB and "
        f"{budget.bytes_a_second / KB:g} KB/s, progress reports not counted",
        demand="on an ordinary day and at its peak",
        gives=told,
        mechanism="`limits` bound memory and descriptors (`docs/architecture.md`); nothing bounds the rest",
        verdict=verdict,
        basis=SLOPES,
        letter="b",
        stops=stop_text(stop, "starts a second at one dispatcher") + ", by its share of a core",
    )


def progress_row(facts: Facts) -> Row:
    budget = facts.fleet.budget
    watches = facts.distributed and any(line.role == WATCHING for line in facts.slopes.lines)
    verdict, told = at_each(facts, EVERYTHING if watches else PROGRESS)
    _, played = judged(facts, facts.runs("peak"), ("processor time", "bytes a second"))
    core = facts.stop("core_share", "tasks_running", budget.core_share, PROGRESS)
    octets = facts.stop("bytes_in", "tasks_running", budget.bytes_a_second, PROGRESS)
    fewest = "" if core is None else f" ({ceil(facts.fleet.size.tasks_running / core)} dispatchers)"
    return Row(
        key="progress",
        line="a dispatcher within that, progress reports counted",
        demand=f"a report a second of each task that runs{', and configuration watched' * watches}",
        gives=f"{told}; {played}",
        mechanism="`ProgressUs`, one interval for all tasks (`service/settings.py`)",
        verdict=verdict,
        basis=SLOPES,
        letter="b",
        stops=f"{stop_text(core, 'tasks running at one dispatcher')}{fewest}, by its share of a core; "
        f"{stop_text(octets, 'tasks')}, by the bytes that come in",
        needs=[Need("changes", "workers and all dispatchers change the interval in step")],
    )


def machines_row(facts: Facts) -> Row:
    fleet = facts.fleet
    machines = layout(fleet)
    found = {one.what: one for one in losses(machines)}
    two = found["any two machines"]
    zones = all(one.majority for what, one in found.items() if what.startswith("zone "))
    return Row(
        key="machines",
        line=f"{fleet.budget.control_machines} machines for control",
        demand="all roles but dispatchers, discovery and workers; two machines down, or a zone gone",
        gives=f"{VOTERS} voters of each kind in as many zones, {len(machines) - VOTERS} machines for single "
        f"tasks; two down: {two.note}; {'any zone may go' if zones else 'not every zone may go'}",
        mechanism="`consensus/`, `docs/operating-leases.md`, `docs/operating-the-store.md`",
        verdict=HOLDS if two.majority and zones else MISSING,
        basis=WORKED,
        letter="b",
        stops=f"{VOTERS // 2 + 1} voters down",
    )


# ---- Failures ----


WORST_MINUTES = {"machine": MACHINE, "restarts": RESTART, "rack": RACK, "zone": ZONE}


def worst_minute(facts: Facts, situation: str) -> str:
    """By slopes, with as few dispatchers as there may be."""
    cores = [
        scaled(figures_of(facts.fleet, facts.slopes, facts.fewest, situation, counted)[0], 100)
        for counted in (STARTS, PROGRESS)
    ]
    without, counted_in = (number(core, "%") for core in cores)
    return (
        f"by slopes {without} of a core with {facts.fewest} dispatchers, {counted_in} with progress reports"
    )


def failing_rows(facts: Facts) -> list[Row]:
    fleet = facts.fleet
    failures = fleet.failures
    rack, zone = lost_workers(fleet, RACK).value, lost_workers(fleet, ZONE).value
    told: list[tuple[str, str, str, str, str]] = [
        (
            "machine",
            f"{failures.machines_a_day:g} machines fail a day",
            "set aside by its errors, then gone from discovery's list; by the play of a rack",
            "`decisions/outlier_ejection.py`, `docs/on-call.md`",
            "rack",  # as much as one machine, and more
        ),
        (
            "restarts",
            f"{failures.restarts_a_day:g} are restarted or replaced a day",
            "workers drain by the list; dispatchers a few at a time under a lease, or replaced over a "
            "passed socket",
            "`leases/commands.py` (`restart`), `service/inherited_socket.py`, `docs/operating-leases.md`",
            "restart",
        ),
        (
            "rack",
            f"a rack or switch every {failures.rack_every_days:g} days",
            f"as so many machines at once, {rack:g} assumed; repeats may be bound to a rack, nothing else "
            "goes by it",
            "`decisions/outlier_ejection.py`, `docs/on-call.md`",
            "rack",
        ),
        (
            "zone",
            f"a zone every {failures.zone_every_days:g} days",
            f"{zone:g} workers go and their dispatchers with them; other zones are drawn",
            "`decisions/worker_choice.py` (`tiers`), `docs/on-call.md`",
            "zone",
        ),
    ]
    rows = []
    for key, line, gives, mechanism, play in told:
        verdict, played = judged(facts, facts.runs(play))
        played += f"; {worst_minute(facts, WORST_MINUTES[key])}"
        rows.append(
            Row(
                key=key,
                line=line,
                demand="rules kept, urgent work in time, budgets kept, back by itself",
                gives=f"{gives}; {played}",
                mechanism=mechanism,
                verdict=verdict,
                basis=PLAYED,
                letter="c",
                stops=NOT_MEASURED if verdict == NOT_MEASURED else BEYOND,
            )
        )
    return rows


def apart_row(facts: Facts) -> Row:
    runs = facts.runs("region", "absence")
    verdict, played = judged(facts, runs)
    if names := sorted({run.play for run in runs if not run.void}):
        played += f" ({'; '.join(names)})"
    played += f"; {worst_minute(facts, APART)}"
    by = "a version can name another for the zones of a region" if facts.distributed else "all go by hand"
    return Row(
        key="apart",
        line=f"regions apart for {facts.fleet.failures.regions_apart / SECOND / 60:g} minutes",
        demand="each goes on with its own workers; nothing grows without bound; one fleet again afterwards",
        gives="dispatchers keep the last list and set aside what they cannot reach; a configuration names "
        f"one discovery, and {by}; the side with fewer voters gets no lease and commits nothing; "
        f"what config servers hold for one that is silent: `docs/distribution.md`; {played}",
        mechanism="`routing/endpoint_watch.py`, `leases/manager.py`, `docs/leases.md`",
        verdict=verdict,
        basis=PLAYED,
        letter="c",
        stops=NOT_MEASURED if verdict == NOT_MEASURED else BEYOND,
        needs=[Need("changes", "discovery, limits and grades of one region change at all its dispatchers")],
    )


def region_row(facts: Facts) -> Row:
    fleet = facts.fleet
    gone = [one for one in losses(layout(fleet)) if one.what.startswith("region ")]
    ends = " and ".join(one.what for one in gone if not one.majority)
    left = fleet.size.zones - larger_region(fleet)
    return Row(
        key="region lost",
        line="a region gone (asked of the machines; not in the list of failures)",
        demand=f"the other goes on: {left} of {fleet.size.zones} zones may be all that is left",
        gives=f"without {ends} the {VOTERS} voters have no majority, and no split over two regions bears "
        f"the loss of either; one voter at a third site would{'' if third_site() else ' not'}",
        mechanism="members are changed by hand (`consensus/membership.py`, `docs/operating-the-store.md`)",
        verdict=MISSING if ends else HOLDS,
        basis=WORKED,
        letter="c",
        stops=f"{fleet.size.regions} regions without a third site",
    )


ROWS: tuple[Callable[[Facts], Row], ...] = (
    workers_row,
    starts_row,
    tasks_row,
    gangs_row,
    quotas_row,
    urgent_row,
    changes_row,
    zones_row,
    control_row,
    progress_row,
    machines_row,
)


def size_rows(facts: Facts) -> list[Row]:
    return [*(row(facts) for row in ROWS), *failing_rows(facts), apart_row(facts), region_row(facts)]
