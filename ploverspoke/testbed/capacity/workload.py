"""The load of each role in a fleet of a given size, on an ordinary day, at the peak and in each failure.

The origin of each amount says whether the operators stated it, whether it is calculated from stated values,
or whether it is assumed here. ASSUMPTIONS lists all assumptions, each with the question whose answer would
replace it.
"""

from math import ceil
from typing import Final, Literal, NamedTuple

from ..experiment_files.durations import SECOND
from .fleet_size import FleetSize
from .time_units import MINUTES_PER_HOUR, SECONDS_PER_DAY, SECONDS_PER_MINUTE

STATED: Final = "stated"
WORKED_OUT: Final = "worked out"
ASSUMED: Final = "assumed"
Origin = Literal["stated", "worked out", "assumed"]

ORDINARY, PEAK = "ordinary day", "peak"
MACHINE, RESTART, RACK, ZONE, REGIONS_APART = "machine", "restart", "rack or switch", "zone", "regions apart"
SITUATIONS = (ORDINARY, PEAK, MACHINE, RESTART, RACK, ZONE, REGIONS_APART)


class Amount(NamedTuple):
    """The amount of a load, and the origin of the value."""

    value: float
    origin: Origin


class Assumption(NamedTuple):
    """A value that the operators do not state and that is assumed instead."""

    name: str
    value: float
    description: str
    question: str  # the question whose answer would replace the assumption


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


def assumed_amount(name: str) -> Amount:
    """Return the assumption with that name as an amount."""
    return Amount(ASSUMPTIONS[name].value, ASSUMED)


def largest_zone_share(fleet: FleetSize, total: float) -> int:
    """Return how many of the total are in the largest zone."""
    return ceil(total / fleet.size.zones)


def zones_in_larger_region(fleet: FleetSize) -> int:
    """Return the number of zones in the larger region, if zones are spread evenly over the regions."""
    return ceil(fleet.size.zones / fleet.size.regions)


def mean_running_time_s(fleet: FleetSize) -> float:
    """Return the mean running time of a task at the peak, by Little's law: as many tasks end as start."""
    return fleet.size.tasks_running / fleet.size.task_starts_a_second


def ordinary_start_rate(fleet: FleetSize) -> Amount:
    """Return the starts a second on an ordinary day.

    Each job counts as many tasks as the largest gang, since the number of tasks in a job is not stated.
    """
    return Amount(fleet.size.jobs_a_day * fleet.size.largest_gang / SECONDS_PER_DAY, ASSUMED)


def lost_workers(fleet: FleetSize, situation: str) -> Amount:
    """Return the number of workers that the most affected dispatcher can no longer reach."""
    if situation in (MACHINE, RESTART):
        return Amount(1, WORKED_OUT)
    if situation == RACK:
        return assumed_amount("workers_a_rack")
    if situation == ZONE:
        return Amount(largest_zone_share(fleet, fleet.size.workers), WORKED_OUT)
    if situation == REGIONS_APART:
        return Amount(fleet.size.workers * zones_in_larger_region(fleet) / fleet.size.zones, WORKED_OUT)
    return Amount(0, WORKED_OUT)


def list_change_rate(fleet: FleetSize, situation: str) -> Amount:
    """Return the changes of the endpoint list a second, over the worst minute.

    A worker that is lost in a failure makes one change.
    """
    changes_a_day = fleet.failures.restarts_a_day * ASSUMPTIONS["changes_a_restart"].value
    changes_a_day += 2 * fleet.failures.machines_a_day  # one when it fails and one when it returns
    if situation in (ORDINARY, PEAK):
        return Amount(changes_a_day / SECONDS_PER_DAY, ASSUMED)
    lost = lost_workers(fleet, situation)
    changes_per_worker = (
        assumed_amount("changes_a_restart") if situation == RESTART else Amount(1, WORKED_OUT)
    )
    origin: Origin = ASSUMED if ASSUMED in (lost.origin, changes_per_worker.origin) else WORKED_OUT
    return Amount(lost.value * changes_per_worker.value / SECONDS_PER_MINUTE, origin)


def config_change_rate(fleet: FleetSize, situation: str) -> Amount:
    """Return the changes of the configuration a minute."""
    changes_a_day = fleet.size.configuration_changes_a_day
    if situation == ORDINARY:
        return Amount(changes_a_day * SECONDS_PER_MINUTE / SECONDS_PER_DAY, WORKED_OUT)
    if situation == PEAK:
        return Amount(changes_a_day * ASSUMPTIONS["peak_hour_of_changes"].value / MINUTES_PER_HOUR, ASSUMED)
    return assumed_amount("changes_in_trouble")


def remaining_dispatchers(fleet: FleetSize, dispatchers: int, situation: str) -> int:
    """Return the number of dispatchers that remain; a lost zone, rack or machine includes its dispatchers."""
    if situation == ZONE:
        return dispatchers - largest_zone_share(fleet, dispatchers)
    if situation in (MACHINE, RESTART, RACK):
        return dispatchers - ceil(lost_workers(fleet, situation).value * dispatchers / fleet.size.workers)
    return dispatchers  # regions apart: each region keeps its dispatchers and their work


def workload(fleet: FleetSize, dispatchers: int, situation: str) -> dict[str, dict[str, Amount]]:
    """Return the loads of each role, by the names of roles and loads in the measured costs."""
    # Failures happen at the peak. Work is spread evenly.
    changes, reloads = list_change_rate(fleet, situation), config_change_rate(fleet, situation)
    listed = Amount(fleet.size.workers, STATED)
    count = Amount(dispatchers, ASSUMED)
    starts = _start_rate(fleet, situation)  # the tasks of lost workers start again within a minute
    running = Amount(fleet.size.tasks_running, STATED)
    dispatchers_with_work = remaining_dispatchers(fleet, dispatchers, situation)  # they take over all work
    workers_with_work = fleet.size.workers - lost_workers(fleet, situation).value
    return {
        "dispatcher": {
            "workers_listed": listed,
            "tasks_running": _divide(running, dispatchers_with_work),
            "starts_a_second": _divide(starts, dispatchers_with_work),
            "list_changes_a_second": changes,
            "reloads_a_minute": reloads,
            "peers_telling": Amount(0, WORKED_OUT),  # off by default; SCOPE_GOSSIP estimates its cost
        },
        "discovery": {"dispatchers": count, "workers_listed": listed, "list_changes_a_second": changes},
        "worker": {
            "dispatchers": count,
            "starts_a_second": _divide(starts, workers_with_work),
            "tasks_running": _divide(running, workers_with_work),
        },
        "keeper": _lease_server_amounts(fleet, dispatchers, situation),
        "store replica": {
            "commits_a_second": Amount(reloads.value / SECONDS_PER_MINUTE, reloads.origin),
            "kept_state": Amount(0, WORKED_OUT),  # only dispatchers with a store have stored requests
        },
        "config server": {
            "watchers": _watchers_per_server(fleet, dispatchers, situation),
            "changes_a_minute": reloads,
        },
        "dispatcher watching configuration": {"changes_a_minute": reloads},
        "configuration publisher": {"body_bytes": assumed_amount("body_bytes")},
        "fleet summary": {"doors": count},  # the admin address of each dispatcher
        "rolling restart": {"keepers": assumed_amount("voters")},
        "supervisor": {"processes": Amount(1, ASSUMED)},  # per dispatcher; more than one are off by default
    }


def _divide(total: Amount, count: float) -> Amount:
    return Amount(total.value / count, ASSUMED if total.origin == ASSUMED else WORKED_OUT)


def _start_rate(fleet: FleetSize, situation: str) -> Amount:
    """Return the starts a second over all dispatchers, including the restarts of tasks of lost workers."""
    size = fleet.size
    starts = (
        ordinary_start_rate(fleet) if situation == ORDINARY else Amount(size.task_starts_a_second, STATED)
    )
    lost = lost_workers(fleet, situation)
    if not lost.value or situation == RESTART:  # a worker drains before its restart
        return starts
    restarts = lost.value / size.workers * size.tasks_running / SECONDS_PER_MINUTE
    return Amount(starts.value + restarts, lost.origin if lost.origin == ASSUMED else WORKED_OUT)


def _lease_server_amounts(fleet: FleetSize, dispatchers: int, situation: str) -> dict[str, Amount]:
    # Lost dispatchers come back, and each of them waits for a place in the lease that limits restarts.
    lost_dispatchers = lost_workers(fleet, situation).value * dispatchers / fleet.size.workers
    restarting = 1.0 if situation == REGIONS_APART else max(1.0, lost_dispatchers)
    tasks = ASSUMPTIONS["keepers_of_tasks"].value  # in a failure these leases also move to other machines
    has_no_failure = situation in (ORDINARY, PEAK)
    changes_a_second = (
        fleet.failures.restarts_a_day / SECONDS_PER_DAY
        if has_no_failure
        else (restarting + tasks) / SECONDS_PER_MINUTE
    )
    return {
        "holders": Amount(fleet.budget.control_machines * tasks + ceil(restarting), ASSUMED),
        "names": Amount(tasks + 1, ASSUMED),
        "changes_of_holder_a_second": Amount(changes_a_second, ASSUMED),
    }


def _watchers_per_server(fleet: FleetSize, dispatchers: int, situation: str) -> Amount:
    """Return the number of watchers of one config server.

    While regions are apart, the smaller region has the smaller half of the servers.
    """
    remaining = remaining_dispatchers(fleet, dispatchers, situation)
    servers = ASSUMPTIONS["voters"].value - (situation in (MACHINE, RACK, ZONE))
    if situation == REGIONS_APART:
        in_smaller_region = remaining * (1 - zones_in_larger_region(fleet) / fleet.size.zones)
        return Amount(ceil(in_smaller_region / (servers // 2)), ASSUMED)
    return Amount(ceil(remaining / servers), ASSUMED)


def gossip_peers(fleet: FleetSize, dispatchers: int) -> Amount:
    """Return the number of peers that gossip to one dispatcher.

    These are all others of its zone, and two of other zones, if the settings give gossip messages no price.
    """
    return Amount(largest_zone_share(fleet, dispatchers) - 1 + 2, ASSUMED)


def temporary_amounts(fleet: FleetSize) -> dict[str, Amount]:
    """Return the temporary loads: the log entries that a replica missed while regions were apart."""
    minutes = fleet.failures.regions_apart / SECOND / SECONDS_PER_MINUTE
    return {"missed_entries": Amount(minutes * ASSUMPTIONS["changes_in_trouble"].value, ASSUMED)}
