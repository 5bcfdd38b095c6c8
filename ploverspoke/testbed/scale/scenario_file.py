"""The table `[play]` of a fleet file: the scenarios of the scale tests, read and checked.

Fields have the glossary's terms; the keys of the file stand beside them.
"""

from typing import Literal

import msgspec

from ..capacity.fleet_size import FleetFileError, FleetSize, Part
from ..experiment_files.durations import Duration, decode_duration

Kind = Literal["steady", "zone lost", "rack lost", "region cut", "changes", "restart"]
KINDS_WITH_FAULTS = ("zone lost", "rack lost", "region cut", "restart")


class ScaleScenario(
    Part,
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
    """One scenario (`[[play.worlds]]`). Loads that are not given are those of the fleet's peak."""

    name: str
    kind: Kind = "steady"
    starts_a_second: float = 0.0
    tasks_running: float = 0.0
    dispatchers: int = 0
    duration: Duration  # measured, once all that is to run does
    fault_start: Duration = Duration(0)  # from the begin of the measured time
    fault_duration: Duration = Duration(0)  # of the zone, rack, region or restarted dispatcher
    zone: str = ""
    region: int = 1
    changes: int = 0  # of configuration, spread over the time
    delivery: Literal["signals", "watch"] = "signals"  # of changes
    config_servers: int = 3
    restart_share: float = 0.1  # of the dispatchers, that restarts together


class ComparisonRun(
    Part, frozen=True, kw_only=True, rename={"duration": "lasts", "max_difference": "differ_at_most"}
):
    """Where simulated and real dispatchers both run (`[play.compared]`)."""

    dispatchers: int
    starts_a_second: float
    tasks_running: float
    duration: Duration
    max_difference: float = 0.15  # as a share of the real metric


class ScaleScenarios(
    Part,
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
    host_processes: int  # of simulated dispatchers
    worker_processes: int
    client_processes: int
    slots: int  # of a worker
    racks_per_zone: int
    regions: list[list[str]]  # the zones of each
    same_zone: Duration  # latency one way
    other_zone: Duration
    other_region: Duration
    urgent_share: float  # of the starts
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


def _must(holds: bool, key: str, reason: str) -> None:
    if not holds:
        raise FleetFileError(f"play.{key}", reason)


def _check_table(fleet: FleetSize, table: ScaleScenarios) -> None:
    keys = dict(zip(table.__struct_fields__, table.__struct_encode_fields__, strict=True))
    positive = (
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
    for field in positive:
        _must(getattr(table, field) > 0, keys[field], "expected more than 0")
    _must(0 < table.urgent_share < 1, "urgent_share", "expected more than 0 and less than 1")
    regions, zones = fleet.size.regions, fleet.size.zones
    _must(len(table.regions) == regions, "regions", f"expected {regions} of them, as in size")
    is_whole = len(set(table.zones())) == len(table.zones()) == zones
    _must(is_whole, "regions", f"expected {zones} zones in all")
    _must(bool(table.scenarios), "worlds", "none is given")
    names = {scenario.name for scenario in table.scenarios}
    _must(len(names) == len(table.scenarios), "worlds", "two have one name")
    comparison = table.comparison
    for field, key in zip(comparison.__struct_fields__, comparison.__struct_encode_fields__, strict=True):
        _must(getattr(comparison, field) > 0, f"compared.{key}", "expected more than 0")


def _check_scenario(row: str, scenario: ScaleScenario, table: ScaleScenarios) -> None:
    for key in ("starts_a_second", "tasks_running", "dispatchers", "changes"):
        _must(getattr(scenario, key) >= 0, f"{row}.{key}", "expected 0 or more")
    _must(scenario.duration > 0, f"{row}.lasts", "expected more than 0")
    if scenario.kind in KINDS_WITH_FAULTS:
        _must(scenario.fault_duration > 0, f"{row}.away", f"expected how long, of {scenario.kind!r}")
        ends_in_time = scenario.fault_start + scenario.fault_duration <= scenario.duration
        _must(ends_in_time, f"{row}.away", "ends beyond the end")
    if scenario.kind in ("zone lost", "rack lost"):
        _must(scenario.zone in table.zones(), f"{row}.zone", f"no zone is called {scenario.zone!r}")
    _must(0 <= scenario.region < len(table.regions), f"{row}.region", "there is none of that number")
    _must(scenario.kind != "changes" or scenario.changes > 0, f"{row}.changes", "expected more than 0")
    _must(scenario.config_servers > 0, f"{row}.config_servers", "expected more than 0")
    _must(0 < scenario.restart_share <= 1, f"{row}.at_once", "expected more than 0 and at most 1")
