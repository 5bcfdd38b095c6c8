"""The experiment of a scale scenario: its workers, request classes, traffic and faults."""

from typing import Any

from ..capacity.fleet_size import FleetFileError, FleetSize
from ..experiment_files.durations import SECOND, Duration
from ..experiment_files.experiment import Experiment
from ..experiment_files.reader import parse_experiment
from ..scale.scenario_file import ScaleScenario, ScaleScenarios

URGENT, ORDINARY = "urgent", "ordinary"  # request classes; urgent work must start within a time limit
COMPARISON = "hollow and real"  # the scenario that runs with simulated and with real dispatchers
# Time until the number of running tasks is steady, in addition to the running time of one task.
RAMP_UP = 5 * SECOND
URGENT_WEIGHT = 4.0
CLIENT_TRIES = 5
DEADLINE_FACTOR = 3  # the deadline of urgent work, as a multiple of its latency objective
# Latency objective and deadline of ordinary work are its running time times the factor, plus a margin.
ORDINARY_FACTOR, OBJECTIVE_MARGIN, DEADLINE_MARGIN = 1.2, 3 * SECOND, 10 * SECOND
# A cold worker crashes if the work that arrives within the window exceeds the overload multiple of its rate.
# The multiple is raised for long tasks so that a worker in slow start can take one in each of its slots.
DEFAULT_OVERLOAD_MULTIPLE, SLOW_START_SHARE, SLOW_START_WINDOW = 3.0, 0.3, 2 * SECOND


def comparison_scenario(table: ScaleScenarios) -> ScaleScenario:
    """Return the scenario that runs with simulated and with real dispatchers."""
    comparison = table.comparison
    return ScaleScenario(
        name=COMPARISON,
        starts_a_second=comparison.starts_a_second,
        tasks_running=comparison.tasks_running,
        dispatchers=comparison.dispatchers,
        duration=comparison.duration,
    )


def scale_experiment(fleet: FleetSize, table: ScaleScenarios, scenario: ScaleScenario) -> Experiment:
    """Return the experiment of a scenario: the load ramps up until `measured_from`, then it is measured."""
    starts = scenario.starts_a_second or fleet.size.task_starts_a_second
    ordinary = _ordinary_work(fleet, table, scenario, starts)
    measured_from = Duration(ordinary + RAMP_UP)
    document: dict[str, Any] = {
        "name": f"{fleet.name}: {scenario.name}",
        "lasts": Duration(measured_from + scenario.duration),
        "counted_from": measured_from,
        "seeds": [table.seed],
        "grades": _request_classes(fleet, table, ordinary),
        "workers": _worker_groups(fleet, table),
        "worker_rules": {
            "tip_multiple": max(DEFAULT_OVERLOAD_MULTIPLE, ordinary / (SLOW_START_SHARE * SLOW_START_WINDOW))
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
        "troubles": _faults(fleet, table, scenario, measured_from),
    }
    return parse_experiment(document)


def _ordinary_work(
    fleet: FleetSize, table: ScaleScenarios, scenario: ScaleScenario, starts: float
) -> Duration:
    """Return the running time of ordinary tasks that leads to the wanted number of running tasks.

    By Little's law, the number of running tasks is the rate of starts times the mean running time.
    """
    running = scenario.tasks_running or fleet.size.tasks_running
    urgent_part = table.urgent_share * table.urgent_work
    mean = (running / starts * SECOND - urgent_part) / (1 - table.urgent_share)
    if mean <= 0:
        reason = f"{scenario.name}: too few running tasks, ordinary ones would have no running time"
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
    """Return all workers, spread evenly over the zones and their racks."""
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
    fleet: FleetSize, table: ScaleScenarios, scenario: ScaleScenario, measured_from: int
) -> list[dict[str, Any]]:
    times = {"at": Duration(measured_from + scenario.fault_start), "lasts": scenario.fault_duration}
    if scenario.kind == "zone lost":
        return [{"what": "crash", "zone": scenario.zone, **times}]
    if scenario.kind == "rack lost":
        return [{"what": "crash", "workers": _first_rack(fleet, table, scenario.zone), **times}]
    if scenario.kind == "region cut":
        return [{"what": "region cut", "region": scenario.region, **times}]
    if scenario.kind == "restart":
        return _restarts(scenario, scenario.dispatchers or table.dispatchers, measured_from)
    return []


def _first_rack(fleet: FleetSize, table: ScaleScenarios, zone: str) -> list[str]:
    """Return the names of the workers of the zone's first rack."""
    first = 0
    for group in _worker_groups(fleet, table):
        if group["zone"] == zone:
            return [f"w{number}" for number in range(first, first + group["count"])]
        first += group["count"]
    return []


def _restarts(scenario: ScaleScenario, dispatchers: int, measured_from: int) -> list[dict[str, Any]]:
    """Return a rolling restart: groups of dispatchers that restart together, spread evenly over the run."""
    group_size = max(1, round(dispatchers * scenario.restart_share))
    groups = [
        list(range(first, min(dispatchers, first + group_size)))
        for first in range(0, dispatchers, group_size)
    ]
    time_left = scenario.duration - scenario.fault_start - scenario.fault_duration
    return [
        {
            "what": "dispatcher restarted",
            "at": Duration(measured_from + scenario.fault_start + number * time_left // len(groups)),
            "dispatchers": group,
            "lasts": scenario.fault_duration,
        }
        for number, group in enumerate(groups)
    ]
