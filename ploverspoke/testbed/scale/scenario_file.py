"""The table `[play]` of a fleet file: the scenarios of the scale tests, read and checked.

Fields use the terms of the glossary; `rename` maps them to the keys of the file.
"""

from typing import Literal

import msgspec

from ..capacity.fleet_size import FleetFileError, FleetFileTable, FleetSize
from ..experiment_files.durations import Duration, decode_duration

Kind = Literal["steady", "zone lost", "rack lost", "region cut", "changes", "restart"]
KINDS_WITH_FAULTS = ("zone lost", "rack lost", "region cut", "restart")


class ScaleScenario(
    FleetFileTable,
    frozen=True,
    kw_only=True,
    rename={
        "kind": "what",
        "duration": "lasts",
        "fault_start": "at",
        "fault_duration": "away",
        "delivery": "by",
        "restart_share": "at_once",
    },
):
    """One scenario (`[[play.worlds]]`). Loads of 0 are replaced by those of the fleet's peak."""

    name: str
    kind: Kind = "steady"
    starts_a_second: float = 0.0
    tasks_running: float = 0.0
    dispatchers: int = 0
    duration: Duration  # of the measurement, which starts after the load has ramped up
    fault_start: Duration = Duration(0)  # from the start of the measurement
    fault_duration: Duration = Duration(0)  # outage of the zone, rack, region or restarted dispatcher
    zone: str = ""
    region: int = 1
    changes: int = 0  # configuration changes, spread over the measurement
    delivery: Literal["signals", "watch"] = "signals"  # of configuration changes
    config_servers: int = 3
    restart_share: float = 0.1  # share of the dispatchers that restart together


class ComparisonRun(
    FleetFileTable,
    frozen=True,
    kw_only=True,
    rename={"duration": "lasts", "max_difference": "differ_at_most"},
):
    """The comparison of simulated with real dispatchers (`[play.compared]`)."""

    dispatchers: int
    starts_a_second: float
    tasks_running: float
    duration: Duration
    max_difference: float = 0.15  # as a share of the metric of real dispatchers


class ScaleScenarios(
    FleetFileTable,
    frozen=True,
    kw_only=True,
    rename={
        "host_processes": "hollow_processes",
        "racks_per_zone": "racks_a_zone",
        "same_zone": "near",
        "other_zone": "far",
        "other_region": "farther",
        "urgent_work": "urgent_mean",
        "comparison": "compared",
        "scenarios": "worlds",
    },
):
    """The whole table `[play]`."""

    seed: int = 1
    dispatchers: int
    host_processes: int  # processes of simulated dispatchers
    worker_processes: int
    client_processes: int
    slots: int  # per worker
    racks_per_zone: int
    regions: list[list[str]]  # the zones of each region
    same_zone: Duration  # one-way latency
    other_zone: Duration
    other_region: Duration
    urgent_share: float  # of the task starts
    urgent_work: Duration  # running time of an urgent task
    comparison: ComparisonRun
    scenarios: list[ScaleScenario]

    def zones(self) -> list[str]:
        """Return the zones of all regions."""
        return [zone for region in self.regions for zone in region]


def read_scale_scenarios(fleet: FleetSize) -> ScaleScenarios:
    """Read and check the table of a fleet file. Raises FleetFileError, naming the key."""
    try:
        scenarios = msgspec.convert(fleet.scenarios, ScaleScenarios, dec_hook=decode_duration)
    except msgspec.ValidationError as error:
        text = str(error).replace("`$.", "`play.").replace("`$`", "`play`")
        raise FleetFileError("", text if "`play" in text else f"{text} - at `play`") from error
    _check_table(fleet, scenarios)
    for number, scenario in enumerate(scenarios.scenarios):
        _check_scenario(f"worlds[{number}]", scenario, scenarios)
    return scenarios


def _require(is_valid: bool, key: str, reason: str) -> None:
    if not is_valid:
        raise FleetFileError(f"play.{key}", reason)


def _check_table(fleet: FleetSize, table: ScaleScenarios) -> None:
    keys = dict(zip(table.__struct_fields__, table.__struct_encode_fields__, strict=True))
    positive_fields = (
        "dispatchers",
        "host_processes",
        "worker_processes",
        "client_processes",
        "slots",
        "racks_per_zone",
        "same_zone",
        "other_zone",
        "other_region",
        "urgent_work",
    )
    for field in positive_fields:
        _require(getattr(table, field) > 0, keys[field], "expected more than 0")
    _require(0 < table.urgent_share < 1, "urgent_share", "expected more than 0 and less than 1")
    regions, zones = fleet.size.regions, fleet.size.zones
    _require(len(table.regions) == regions, "regions", f"expected {regions} regions, as in size")
    zones_are_complete = len(set(table.zones())) == len(table.zones()) == zones
    _require(zones_are_complete, "regions", f"expected {zones} different zones in all")
    _require(bool(table.scenarios), "worlds", "expected at least one")
    names = {scenario.name for scenario in table.scenarios}
    _require(len(names) == len(table.scenarios), "worlds", "two have the same name")
    comparison = table.comparison
    for field, key in zip(comparison.__struct_fields__, comparison.__struct_encode_fields__, strict=True):
        _require(getattr(comparison, field) > 0, f"compared.{key}", "expected more than 0")


def _check_scenario(row: str, scenario: ScaleScenario, table: ScaleScenarios) -> None:
    for key in ("starts_a_second", "tasks_running", "dispatchers", "changes"):
        _require(getattr(scenario, key) >= 0, f"{row}.{key}", "expected 0 or more")
    _require(scenario.duration > 0, f"{row}.lasts", "expected more than 0")
    if scenario.kind in KINDS_WITH_FAULTS:
        _require(scenario.fault_duration > 0, f"{row}.away", f"expected a duration for {scenario.kind!r}")
        ends_in_time = scenario.fault_start + scenario.fault_duration <= scenario.duration
        _require(ends_in_time, f"{row}.away", "ends after the scenario")
    if scenario.kind in ("zone lost", "rack lost"):
        _require(scenario.zone in table.zones(), f"{row}.zone", f"no zone is called {scenario.zone!r}")
    _require(0 <= scenario.region < len(table.regions), f"{row}.region", "no region has this number")
    _require(scenario.kind != "changes" or scenario.changes > 0, f"{row}.changes", "expected more than 0")
    _require(scenario.config_servers > 0, f"{row}.config_servers", "expected more than 0")
    _require(0 < scenario.restart_share <= 1, f"{row}.at_once", "expected more than 0 and at most 1")
