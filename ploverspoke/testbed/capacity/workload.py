"""The load of each role in a fleet of a given size, on an ordinary day, at the peak and in each failure.

Every amount says whether the operators stated it, whether it follows from what they stated, or whether it is
assumed here. The assumptions stand in one list, each with the question that would replace it.
"""

from math import ceil
from typing import Final, Literal, NamedTuple

from ..experiment_files.durations import SECOND
from .fleet_size import FleetSize

STATED: Final = "stated"
WORKED_OUT: Final = "worked out"
ASSUMED: Final = "assumed"
Origin = Literal["stated", "worked out", "assumed"]
DAY, MINUTE = 86_400, 60  # seconds
MINUTES_PER_HOUR = 60

ORDINARY, PEAK = "ordinary day", "peak"
MACHINE, RESTART, RACK, ZONE, APART = "machine", "restart", "rack or switch", "zone", "regions apart"
SITUATIONS = (ORDINARY, PEAK, MACHINE, RESTART, RACK, ZONE, APART)


class Amount(NamedTuple):
    """An amount and where it comes from."""

    value: float
    origin: Origin


class Assumption(NamedTuple):
    """A value that the operators do not state."""

    name: str
    value: float
    what: str
    question: str  # whose answer would replace it


ASSUMPTIONS = {
    assumption.name: assumption
    for assumption in (
        Assumption(
            "workers_a_rack", 20, "workers behind one rack or switch", "How many workers does a rack hold?"
        ),
        Assumption(
            "changes_a_restart",
            3,
            "changes of the list for one restart: draining, gone, ready",
            "Is a restarted worker always drained first?",
        ),
        Assumption(
            "peak_hour_of_changes",
            0.25,
            "part of a day's changes of configuration that falls into its busiest hour",
            "When do the changes of configuration come, and how many in one minute?",
        ),
        Assumption(
            "changes_in_trouble",
            10,
            "changes of configuration in the worst minute of a failure",
            "Who changes what in trouble?",
        ),
        Assumption(
            "keepers_of_tasks",
            2,
            "leases of the fleet (publisher, summary) that each control machine waits for",
            "Which tasks of the fleet run under a lease?",
        ),
        Assumption("body_bytes", 16_384, "bytes of a configuration's shared part", "How large is it?"),
        Assumption("voters", 5, "voters of each kind (keepers, replicas, config servers), in five zones", ""),
    )
}


def assumed(name: str) -> Amount:
    """Return the assumption of that name as an amount."""
    return Amount(ASSUMPTIONS[name].value, ASSUMED)


def largest_zone_part(fleet: FleetSize, whole: float) -> int:
    """Return the part of the whole that the largest zone has."""
    return ceil(whole / fleet.size.zones)


def larger_region(fleet: FleetSize) -> int:
    """Return the number of zones of the larger region, where zones are spread evenly."""
    return ceil(fleet.size.zones / fleet.size.regions)


def running_time(fleet: FleetSize) -> float:
    """Return the mean running time of a task in seconds: at the peak as many end as start (Little's law)."""
    return fleet.size.tasks_running / fleet.size.task_starts_a_second


def ordinary_starts(fleet: FleetSize) -> Amount:
    """Return starts a second of a day's jobs; each counts as the largest gang: tasks are not stated."""
    return Amount(fleet.size.jobs_a_day * fleet.size.largest_gang / DAY, ASSUMED)


def lost_workers(fleet: FleetSize, situation: str) -> Amount:
    """Return the workers that the dispatcher that is worst off can no longer reach."""
    if situation in (MACHINE, RESTART):
        return Amount(1, WORKED_OUT)
    if situation == RACK:
        return assumed("workers_a_rack")
    if situation == ZONE:
        return Amount(largest_zone_part(fleet, fleet.size.workers), WORKED_OUT)
    if situation == APART:
        return Amount(fleet.size.workers * larger_region(fleet) / fleet.size.zones, WORKED_OUT)
    return Amount(0, WORKED_OUT)


def list_changes(fleet: FleetSize, situation: str) -> Amount:
    """Return changes of the endpoint list a second, over the worst minute; a lost worker is gone once."""
    ordinary = fleet.failures.restarts_a_day * ASSUMPTIONS["changes_a_restart"].value
    ordinary += 2 * fleet.failures.machines_a_day  # gone, and back
    if situation in (ORDINARY, PEAK):
        return Amount(ordinary / DAY, ASSUMED)
    lost = lost_workers(fleet, situation)
    each = assumed("changes_a_restart") if situation == RESTART else Amount(1, WORKED_OUT)
    origin: Origin = ASSUMED if ASSUMED in (lost.origin, each.origin) else WORKED_OUT
    return Amount(lost.value * each.value / MINUTE, origin)


def configuration_changes(fleet: FleetSize, situation: str) -> Amount:
    """Return changes of the configuration a minute."""
    a_day = fleet.size.configuration_changes_a_day
    if situation == ORDINARY:
        return Amount(a_day * MINUTE / DAY, WORKED_OUT)
    if situation == PEAK:
        return Amount(a_day * ASSUMPTIONS["peak_hour_of_changes"].value / MINUTES_PER_HOUR, ASSUMED)
    return assumed("changes_in_trouble")


def dispatchers_left(fleet: FleetSize, dispatchers: int, situation: str) -> int:
    """Return how many dispatchers are left; a lost zone, rack or machine takes its own along."""
    if situation == ZONE:
        return dispatchers - largest_zone_part(fleet, dispatchers)
    if situation in (MACHINE, RESTART, RACK):
        return dispatchers - ceil(lost_workers(fleet, situation).value * dispatchers / fleet.size.workers)
    return dispatchers  # apart, each region keeps its own dispatchers and their work


def workload(fleet: FleetSize, dispatchers: int, situation: str) -> dict[str, dict[str, Amount]]:
    """Return the loads of each role, by the names that measured costs have for roles and loads.

    A failure comes at the peak. Work is spread evenly; what ran on lost workers starts again within the
    minute, and the dispatchers that are left have all of it.
    """
    changes, reloads = list_changes(fleet, situation), configuration_changes(fleet, situation)
    listed = Amount(fleet.size.workers, STATED)
    count = Amount(dispatchers, ASSUMED)
    starts = _starts(fleet, situation)
    running = Amount(fleet.size.tasks_running, STATED)
    dispatchers_with_work = dispatchers_left(fleet, dispatchers, situation)
    workers_with_work = fleet.size.workers - lost_workers(fleet, situation).value
    return {
        "dispatcher": {
            "workers_listed": listed,
            "tasks_running": _share(running, dispatchers_with_work),
            "starts_a_second": _share(starts, dispatchers_with_work),
            "list_changes_a_second": changes,
            "reloads_a_minute": reloads,
            "peers_telling": Amount(0, WORKED_OUT),  # off by default; a row of its own says what it costs
        },
        "discovery": {"dispatchers": count, "workers_listed": listed, "list_changes_a_second": changes},
        "worker": {
            "dispatchers": count,
            "starts_a_second": _share(starts, workers_with_work),
            "tasks_running": _share(running, workers_with_work),
        },
        "keeper": _lease_server_amounts(fleet, dispatchers, situation),
        "store replica": {
            "commits_a_second": Amount(reloads.value / MINUTE, reloads.origin),
            "kept_state": Amount(0, WORKED_OUT),  # only dispatchers with a store keep requests
        },
        "config server": {"watchers": _watchers(fleet, dispatchers, situation), "changes_a_minute": reloads},
        "dispatcher watching configuration": {"changes_a_minute": reloads},
        "configuration publisher": {"body_bytes": assumed("body_bytes")},
        "fleet summary": {"doors": count},  # admin addresses, one at each dispatcher
        "rolling restart": {"keepers": assumed("voters")},
        "supervisor": {"processes": Amount(1, ASSUMED)},  # of one dispatcher; more are off by default
    }


def _share(whole: Amount, of: float) -> Amount:
    return Amount(whole.value / of, ASSUMED if whole.origin == ASSUMED else WORKED_OUT)


def _starts(fleet: FleetSize, situation: str) -> Amount:
    """Return starts a second over all dispatchers, those again of work on lost workers included."""
    size = fleet.size
    starts = ordinary_starts(fleet) if situation == ORDINARY else Amount(size.task_starts_a_second, STATED)
    lost = lost_workers(fleet, situation)
    if not lost.value or situation == RESTART:  # a restarted worker drains first
        return starts
    again = lost.value / size.workers * size.tasks_running / MINUTE
    return Amount(starts.value + again, lost.origin if lost.origin == ASSUMED else WORKED_OUT)


def _lease_server_amounts(fleet: FleetSize, dispatchers: int, situation: str) -> dict[str, Amount]:
    # Dispatchers that were lost come back, and each waits for a place of the restart's lease.
    lost_share = lost_workers(fleet, situation).value * dispatchers / fleet.size.workers
    restarting = 1.0 if situation == APART else max(1.0, lost_share)
    tasks = ASSUMPTIONS["keepers_of_tasks"].value  # in a failure they move to other machines, too
    is_calm = situation in (ORDINARY, PEAK)
    changing = fleet.failures.restarts_a_day / DAY if is_calm else (restarting + tasks) / MINUTE
    return {
        "holders": Amount(fleet.budget.control_machines * tasks + ceil(restarting), ASSUMED),
        "names": Amount(tasks + 1, ASSUMED),
        "changes_of_holder_a_second": Amount(changing, ASSUMED),
    }


def _watchers(fleet: FleetSize, dispatchers: int, situation: str) -> Amount:
    """Return the watchers of one config server; apart, the smaller region has the smaller half of them."""
    left = dispatchers_left(fleet, dispatchers, situation)
    servers = ASSUMPTIONS["voters"].value - (situation in (MACHINE, RACK, ZONE))
    if situation == APART:
        on_smaller_side = left * (1 - larger_region(fleet) / fleet.size.zones)
        return Amount(ceil(on_smaller_side / (servers // 2)), ASSUMED)
    return Amount(ceil(left / servers), ASSUMED)


def gossip_peers(fleet: FleetSize, dispatchers: int) -> Amount:
    """Return the peers that gossip to one dispatcher at no price: all others of its zone, and two more."""
    return Amount(largest_zone_part(fleet, dispatchers) - 1 + 2, ASSUMED)


def temporary_amounts(fleet: FleetSize) -> dict[str, Amount]:
    """Return loads that no role has all the time: what a replica has missed while regions were apart."""
    minutes = fleet.failures.regions_apart / SECOND / MINUTE
    return {"missed_entries": Amount(minutes * ASSUMPTIONS["changes_in_trouble"].value, ASSUMED)}
