"""The experiment of a scale scenario: its workers, request classes, traffic and faults."""

from typing import Any

from ..capacity.fleet_size import FleetFileError, FleetSize
from ..experiment_files.durations import SECOND, Duration
from ..experiment_files.experiment import Experiment
from ..experiment_files.reader import parse_experiment
from ..scale.scenario_file import ScaleScenario, ScaleScenarios

URGENT, ORDINARY = "urgent", "ordinary"  # request classes; urgent work has to begin in time
COMPARISON = "hollow and real"  # the scenario in which both kinds of dispatchers run
RAMP_UP = 5 * SECOND  # beside the running time of a task, until as many run as will
URGENT_WEIGHT = 4.0
CLIENT_TRIES = 5
DEADLINE_FACTOR = 3  # of urgent work, over its objective
# Of ordinary work, over its running time.
ORDINARY_FACTOR, OBJECTIVE_MARGIN, DEADLINE_MARGIN = 1.2, 3 * SECOND, 10 * SECOND
# A worker in slow start has to bear its slots full of long tasks.
DEFAULT_TIP_MULTIPLE, SLOW_START_SHARE, SLOW_START_WINDOW = 3.0, 0.3, 2 * SECOND


def comparison_scenario(table: ScaleScenarios) -> ScaleScenario:
    """Return the scenario in which simulated and real dispatchers both run."""
    comparison = table.comparison
    return ScaleScenario(
        name=COMPARISON,
        starts_a_second=comparison.starts_a_second,
        tasks_running=comparison.tasks_running,
        dispatchers=comparison.dispatchers,
        duration=comparison.duration,
    )


def scale_experiment(fleet: FleetSize, table: ScaleScenarios, scenario: ScaleScenario) -> Experiment:
    """Return the experiment of a scenario: the load comes up until `measured_from`, then it is measured."""
    starts = scenario.starts_a_second or fleet.size.task_starts_a_second
    ordinary = _ordinary_work(fleet, table, scenario, starts)
    begin = Duration(ordinary + RAMP_UP)
    document: dict[str, Any] = {
        "name": f"{fleet.name}: {scenario.name}",
        "lasts": Duration(begin + scenario.duration),
        "counted_from": begin,
        "seeds": [table.seed],
        "grades": _request_classes(fleet, table, ordinary),
        "workers": _worker_groups(fleet, table),
        "worker_rules": {
            "tip_multiple": max(DEFAULT_TIP_MULTIPLE, ordinary / (SLOW_START_SHARE * SLOW_START_WINDOW))
        },
        "dispatchers": {"count": scenario.dispatchers or table.dispatchers},
        "network": {
            "near": table.same_zone,
            "far": table.other_zone,
            "farther": table.other_region,
            "regions": table.regions,
        },
        "clients": {"tries": CLIENT_TRIES},
        "traffic": [{"rate": starts}],
        "troubles": _faults(fleet, table, scenario, begin),
    }
    return parse_experiment(document)


def _ordinary_work(
    fleet: FleetSize, table: ScaleScenarios, scenario: ScaleScenario, starts: float
) -> Duration:
    """Return the running time of ordinary tasks with which as many run as is asked for (Little's law)."""
    running = scenario.tasks_running or fleet.size.tasks_running
    urgent_part = table.urgent_share * table.urgent_work
    mean = (running / starts * SECOND - urgent_part) / (1 - table.urgent_share)
    if mean <= 0:
        reason = f"{scenario.name}: so few tasks run that ordinary ones would last no time"
        raise FleetFileError("play", reason)
    return Duration(int(mean))


def _request_classes(fleet: FleetSize, table: ScaleScenarios, ordinary: Duration) -> list[dict[str, Any]]:
    urgent_objective = Duration(fleet.size.urgent_starts_within + table.urgent_work)
    return [
        {
            "name": URGENT,
            "share": table.urgent_share,
            "expected_time": urgent_objective,
            "abandon_time": Duration(DEADLINE_FACTOR * urgent_objective),
            "benefit": URGENT_WEIGHT,
            "work": {"law": "fixed", "mean": table.urgent_work},
        },
        {
            "name": ORDINARY,
            "repeat": "irreversible",
            "share": 1 - table.urgent_share,
            "expected_time": Duration(int(ordinary * ORDINARY_FACTOR) + OBJECTIVE_MARGIN),
            "abandon_time": Duration(int(ordinary * ORDINARY_FACTOR) + DEADLINE_MARGIN),
            "work": {"law": "fixed", "mean": ordinary},
        },
    ]


def _worker_groups(fleet: FleetSize, table: ScaleScenarios) -> list[dict[str, Any]]:
    """Return all workers, evenly over the zones and their racks."""
    zones = table.zones()
    racks = len(zones) * table.racks_per_zone
    per_rack, remainder = divmod(fleet.size.workers, racks)
    groups = []
    for rack in range(racks):
        count = per_rack + (rack < remainder)
        if count:
            zone = zones[rack % len(zones)]
            groups.append({"count": count, "zone": zone, "rack": rack, "slots": table.slots})
    return groups


def _faults(
    fleet: FleetSize, table: ScaleScenarios, scenario: ScaleScenario, begin: int
) -> list[dict[str, Any]]:
    times = {"at": Duration(begin + scenario.fault_start), "lasts": scenario.fault_duration}
    if scenario.kind == "zone lost":
        return [{"what": "crash", "zone": scenario.zone, **times}]
    if scenario.kind == "rack lost":
        return [{"what": "crash", "workers": _first_rack(fleet, table, scenario.zone), **times}]
    if scenario.kind == "region cut":
        return [{"what": "region cut", "region": scenario.region, **times}]
    if scenario.kind == "restart":
        return _restarts(scenario, scenario.dispatchers or table.dispatchers, begin)
    return []


def _first_rack(fleet: FleetSize, table: ScaleScenarios, zone: str) -> list[str]:
    """Return the names of the workers of the zone's first rack."""
    first = 0
    for group in _worker_groups(fleet, table):
        if group["zone"] == zone:
            return [f"w{number}" for number in range(first, first + group["count"])]
        first += group["count"]
    return []


def _restarts(scenario: ScaleScenario, dispatchers: int, begin: int) -> list[dict[str, Any]]:
    """Return restarts of a share of the dispatchers at a time, evenly over the time."""
    together = max(1, round(dispatchers * scenario.restart_share))
    parts = [
        list(range(first, min(dispatchers, first + together))) for first in range(0, dispatchers, together)
    ]
    time_left = scenario.duration - scenario.fault_start - scenario.fault_duration
    return [
        {
            "what": "dispatcher restarted",
            "at": Duration(begin + scenario.fault_start + number * time_left // len(parts)),
            "dispatchers": part,
            "lasts": scenario.fault_duration,
        }
        for number, part in enumerate(parts)
    ]
