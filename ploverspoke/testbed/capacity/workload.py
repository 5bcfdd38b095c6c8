"""What each role meets in a fleet of a given size: how many of everything, on a day and in each failure.

Every amount says whether the operators stated it, whether it follows from what they stated, or whether it is
assumed here. The assumptions stand in one list, each with the question that would replace it.
"""

from math import ceil
from typing import Final, Literal, NamedTuple

from .fleet_size import FleetSize

STATED: Final = "stated"
WORKED_OUT: Final = "worked out"
ASSUMED: Final = "assumed"
Origin = Literal["stated", "worked out", "assumed"]
DAY, MINUTE = 86_400, 60

ORDINARY, PEAK = "ordinary day", "peak"
MACHINE, RESTART, RACK, ZONE, APART = "machine", "restart", "rack or switch", "zone", "regions apart"
SITUATIONS = (ORDINARY, PEAK, MACHINE, RESTART, RACK, ZONE, APART)


class Amount(NamedTuple):
    value: float
    origin: Origin


class Assumption(NamedTuple):
    name: str
    value: float
    what: str
    question: str


ASSUMPTIONS = {
    one.name: one
    for one in (
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
    return Amount(ASSUMPTIONS[name].value, ASSUMED)


def zone_part(fleet: FleetSize, whole: float) -> int:
    """What the largest zone has of it."""
    return ceil(whole / fleet.size.zones)


def larger_region(fleet: FleetSize) -> int:
    """Zones of it, where zones are spread as evenly as can be."""
    return ceil(fleet.size.zones / fleet.size.regions)


def running_time(fleet: FleetSize) -> float:
    """Seconds: at the peak as many end as start (Little's law)."""
    return fleet.size.tasks_running / fleet.size.task_starts_a_second


def ordinary_starts(fleet: FleetSize) -> Amount:
    """A second: the day's jobs, each taken for the largest gang, since tasks a job are not stated."""
    return Amount(fleet.size.jobs_a_day * fleet.size.largest_gang / DAY, ASSUMED)


def lost_workers(fleet: FleetSize, situation: str) -> Amount:
    """That whoever is worst off can reach no more."""
    if situation in (MACHINE, RESTART):
        return Amount(1, WORKED_OUT)
    if situation == RACK:
        return assumed("workers_a_rack")
    if situation == ZONE:
        return Amount(zone_part(fleet, fleet.size.workers), WORKED_OUT)
    if situation == APART:
        return Amount(fleet.size.workers * larger_region(fleet) / fleet.size.zones, WORKED_OUT)
    return Amount(0, WORKED_OUT)


def list_changes(fleet: FleetSize, situation: str) -> Amount:
    """Of discovery's list, a second, over the worst minute; a lost worker is gone once."""
    ordinary = fleet.failures.restarts_a_day * ASSUMPTIONS["changes_a_restart"].value
    ordinary += 2 * fleet.failures.machines_a_day  # gone, and back
    if situation in (ORDINARY, PEAK):
        return Amount(ordinary / DAY, ASSUMED)
    lost = lost_workers(fleet, situation)
    each = assumed("changes_a_restart") if situation == RESTART else Amount(1, WORKED_OUT)
    origin: Origin = ASSUMED if ASSUMED in (lost.origin, each.origin) else WORKED_OUT
    return Amount(lost.value * each.value / MINUTE, origin)


def configuration_changes(fleet: FleetSize, situation: str) -> Amount:
    """A minute."""
    a_day = fleet.size.configuration_changes_a_day
    if situation == ORDINARY:
        return Amount(a_day * MINUTE / DAY, WORKED_OUT)
    if situation == PEAK:
        return Amount(a_day * ASSUMPTIONS["peak_hour_of_changes"].value / 60, ASSUMED)
    return assumed("changes_in_trouble")


def dispatchers_left(fleet: FleetSize, dispatchers: int, situation: str) -> int:
    """A lost zone takes its own along, a rack and a machine as many as sit on them."""
    if situation == ZONE:
        return dispatchers - zone_part(fleet, dispatchers)
    if situation in (MACHINE, RESTART, RACK):
        return dispatchers - ceil(lost_workers(fleet, situation).value * dispatchers / fleet.size.workers)
    return dispatchers  # apart, each region keeps its own dispatchers and their work


def workload(fleet: FleetSize, dispatchers: int, situation: str) -> dict[str, dict[str, Amount]]:
    """The sizes that each role meets, by their names in the slopes file.

    A failure strikes at the peak. Work is spread evenly; what ran on lost workers starts again within the
    minute, and the dispatchers that are left have all of it.
    """
    size = fleet.size
    at_peak = Amount(size.task_starts_a_second, STATED)
    starts = ordinary_starts(fleet) if situation == ORDINARY else at_peak
    lost = lost_workers(fleet, situation)
    if lost.value and situation != RESTART:  # a restarted worker drains first
        again = lost.value / size.workers * size.tasks_running / MINUTE
        starts = Amount(starts.value + again, lost.origin if lost.origin == ASSUMED else WORKED_OUT)
    left = dispatchers_left(fleet, dispatchers, situation)
    changes, reloads = list_changes(fleet, situation), configuration_changes(fleet, situation)
    workers_left = size.workers - lost.value

    def each(whole: Amount, of: float) -> Amount:
        return Amount(whole.value / of, ASSUMED if whole.origin == ASSUMED else WORKED_OUT)

    running = Amount(size.tasks_running, STATED)
    listed = Amount(size.workers, STATED)
    count = Amount(dispatchers, ASSUMED)
    tasks_of_the_fleet = fleet.budget.control_machines * ASSUMPTIONS["keepers_of_tasks"].value
    # Dispatchers that were lost come back, and each waits for a place of the restart's lease.
    restarting = 1.0 if situation == APART else max(1.0, lost.value * dispatchers / size.workers)
    servers = ASSUMPTIONS["voters"].value - (situation in (MACHINE, RACK, ZONE))
    # Apart, the smaller region's dispatchers have the smaller half of the voters.
    on_one_side = left * (1 - larger_region(fleet) / size.zones) / (servers // 2)
    watchers = Amount(ceil(on_one_side if situation == APART else left / servers), ASSUMED)
    calm = situation in (ORDINARY, PEAK)
    tasks = ASSUMPTIONS["keepers_of_tasks"].value  # in a failure they move to other machines, too
    changing = fleet.failures.restarts_a_day / DAY if calm else (restarting + tasks) / MINUTE
    return {
        "dispatcher": {
            "workers_listed": listed,
            "tasks_running": each(running, left),
            "starts_a_second": each(starts, left),
            "list_changes_a_second": changes,
            "reloads_a_minute": reloads,
            "peers_telling": Amount(0, WORKED_OUT),  # off by default; a row of its own says what it costs
        },
        "discovery": {"dispatchers": count, "workers_listed": listed, "list_changes_a_second": changes},
        "worker": {
            "dispatchers": count,
            "starts_a_second": each(starts, workers_left),
            "tasks_running": each(running, workers_left),
        },
        "keeper": {
            "holders": Amount(tasks_of_the_fleet + ceil(restarting), ASSUMED),
            "names": Amount(ASSUMPTIONS["keepers_of_tasks"].value + 1, ASSUMED),
            "changes_of_holder_a_second": Amount(changing, ASSUMED),
        },
        "store replica": {
            "commits_a_second": Amount(reloads.value / MINUTE, reloads.origin),
            "kept_state": Amount(0, WORKED_OUT),  # submissions are kept by daemons alone
        },
        "config server": {"watchers": watchers, "changes_a_minute": reloads},
        "dispatcher watching configuration": {"changes_a_minute": reloads},
        "configuration publisher": {"body_bytes": assumed("body_bytes")},
        "fleet summary": {"doors": count},  # of operators, one at each dispatcher
        "rolling restart": {"keepers": assumed("voters")},
        "supervisor": {"processes": Amount(1, ASSUMED)},  # of one dispatcher; more are off by default
    }


def telling(fleet: FleetSize, dispatchers: int) -> Amount:
    """Peers that tell one dispatcher, where a telling has no price: all others of its zone, and two more."""
    return Amount(zone_part(fleet, dispatchers) - 1 + 2, ASSUMED)


def aside(fleet: FleetSize) -> dict[str, Amount]:
    """Sizes that no role meets all the time: what a replica has missed that was away as regions are apart."""
    minutes = fleet.failures.regions_apart / 1e9 / MINUTE
    return {"missed_entries": Amount(minutes * ASSUMPTIONS["changes_in_trouble"].value, ASSUMED)}
