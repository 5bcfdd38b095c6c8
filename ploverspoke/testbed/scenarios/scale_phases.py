"""The table `[play]` of a fleet file: what the scale tests play, checked, and the world of each play.

`plays_of` raises FleetFileError with one line that names the key.
"""

from typing import Any, Literal

import msgspec

from ..capacity.fleet_size import FleetFileError, FleetSize, Part
from ..experiment_files.durations import SECOND, Duration, parse_duration
from ..experiment_files.experiment import Experiment
from ..experiment_files.reader import parse_experiment
from .scale_fleet import ProcessCounts

What = Literal["steady", "zone lost", "rack lost", "region cut", "changes", "restart"]
URGENT, ORDINARY = "urgent", "ordinary"  # grades; the first is the one that has to begin in time
STRUCK = ("zone lost", "rack lost", "region cut", "restart")


class ScaleScenario(Part, frozen=True, kw_only=True):
    """One world. What is not given of its load is that of the fleet's peak."""

    name: str
    what: What = "steady"
    starts_a_second: float = 0.0
    tasks_running: float = 0.0
    dispatchers: int = 0
    lasts: Duration  # counted, once all that is to run does
    at: Duration = Duration(0)  # into that time, what happens begins
    away: Duration = Duration(0)  # how long the zone, the rack or the region is, or a restarted dispatcher
    zone: str = ""
    region: int = 1
    changes: int = 0  # of configuration, spread over the time
    by: Literal["signals", "watch"] = "signals"  # how they come to dispatchers
    config_servers: int = 3
    at_once: float = 0.1  # share of the dispatchers that is restarted together


class Compared(Part, frozen=True, kw_only=True):
    """Where hollow and real are both played."""

    dispatchers: int
    starts_a_second: float
    tasks_running: float
    lasts: Duration
    differ_at_most: float = 0.15


class ScaleScenarios(Part, frozen=True, kw_only=True):
    seed: int = 1
    dispatchers: int
    hollow_processes: int
    worker_processes: int
    client_processes: int
    slots: int  # of a worker
    racks_a_zone: int
    regions: list[list[str]]  # the zones of each
    near: Duration
    far: Duration
    farther: Duration
    urgent_share: float  # of the starts
    urgent_mean: Duration
    compared: Compared
    worlds: list[ScaleScenario]


def read_scale_scenarios(fleet: FleetSize) -> ScaleScenarios:
    """Raises FleetFileError, naming the key."""
    try:
        found = msgspec.convert(fleet.scenarios, ScaleScenarios, dec_hook=_span_hook)
    except msgspec.ValidationError as error:
        text = str(error).replace("`$.", "`play.").replace("`$`", "`play`")
        raise FleetFileError("", text if "`play" in text else f"{text} - at `play`") from None
    _check(fleet, found)
    return found


def _span_hook(kind: type, value: Any) -> Any:
    if kind is Duration:
        return parse_duration(value)
    raise NotImplementedError(kind)


def _check(fleet: FleetSize, plays: ScaleScenarios) -> None:
    def must(holds: bool, key: str, why: str) -> None:
        if not holds:
            raise FleetFileError(f"play.{key}", why)

    for key in (
        "dispatchers",
        "hollow_processes",
        "worker_processes",
        "client_processes",
        "slots",
        "racks_a_zone",
    ):
        must(getattr(plays, key) > 0, key, "expected more than 0")
    for key in ("near", "far", "farther", "urgent_mean"):
        must(getattr(plays, key) > 0, key, "expected more than 0")
    must(0 < plays.urgent_share < 1, "urgent_share", "expected more than 0 and less than 1")
    zones = [zone for region in plays.regions for zone in region]
    must(
        len(plays.regions) == fleet.size.regions,
        "regions",
        f"expected {fleet.size.regions} of them, as in size",
    )
    must(
        len(set(zones)) == len(zones) == fleet.size.zones,
        "regions",
        f"expected {fleet.size.zones} zones in all",
    )
    must(bool(plays.worlds), "worlds", "none is given")
    must(len({w.name for w in plays.worlds}) == len(plays.worlds), "worlds", "two have one name")
    for key in ("dispatchers", "starts_a_second", "tasks_running", "lasts", "differ_at_most"):
        must(getattr(plays.compared, key) > 0, f"compared.{key}", "expected more than 0")
    for at, w in enumerate(plays.worlds):
        row = f"worlds[{at}]"
        for key in ("starts_a_second", "tasks_running", "dispatchers", "changes"):
            must(getattr(w, key) >= 0, f"{row}.{key}", "expected 0 or more")
        must(w.lasts > 0, f"{row}.lasts", "expected more than 0")
        if w.what in STRUCK:
            must(w.away > 0, f"{row}.away", f"expected how long, of {w.what!r}")
            must(w.at + w.away <= w.lasts, f"{row}.away", "ends beyond the end")
        if w.what in ("zone lost", "rack lost"):
            must(w.zone in zones, f"{row}.zone", f"no zone is called {w.zone!r}")
        must(0 <= w.region < len(plays.regions), f"{row}.region", "there is none of that number")
        must(w.what != "changes" or w.changes > 0, f"{row}.changes", "expected more than 0")
        must(w.config_servers > 0, f"{row}.config_servers", "expected more than 0")
        must(0 < w.at_once <= 1, f"{row}.at_once", "expected more than 0 and at most 1")


# ---- Worlds ----


def process_counts(plays: ScaleScenarios) -> ProcessCounts:
    return ProcessCounts(plays.hollow_processes, plays.worker_processes, plays.client_processes)


def comparison_scenario(fleet: FleetSize, plays: ScaleScenarios) -> ScaleScenario:
    c = plays.compared
    return ScaleScenario(
        name="hollow and real",
        starts_a_second=c.starts_a_second,
        tasks_running=c.tasks_running,
        dispatchers=c.dispatchers,
        lasts=c.lasts,
    )


def experiment_for(fleet: FleetSize, plays: ScaleScenarios, play: ScaleScenario) -> Experiment:
    """The experiment of a play: until `counted_from` the load comes up, then `lasts` are counted."""
    starts = play.starts_a_second or fleet.size.task_starts_a_second
    running = play.tasks_running or fleet.size.tasks_running
    count = play.dispatchers or plays.dispatchers
    urgent = plays.urgent_mean
    mean = (running / starts * SECOND - plays.urgent_share * urgent) / (1 - plays.urgent_share)
    if mean <= 0:
        raise FleetFileError("play", f"{play.name}: so few tasks run that ordinary ones would last no time")
    ordinary = Duration(int(mean))
    begins = Duration(ordinary + 5 * SECOND)  # as many run by then as will
    lasts = Duration(begins + play.lasts)
    told: dict[str, Any] = {
        "name": f"{fleet.name}: {play.name}",
        "lasts": lasts,
        "counted_from": begins,
        "seeds": [plays.seed],
        "grades": [
            {
                "name": URGENT,
                "share": plays.urgent_share,
                "expected_time": Duration(fleet.size.urgent_starts_within + urgent),
                "abandon_time": Duration(3 * (fleet.size.urgent_starts_within + urgent)),
                "benefit": 4.0,
                "work": {"law": "fixed", "mean": urgent},
            },
            {
                "name": ORDINARY,
                "repeat": "irreversible",
                "share": 1 - plays.urgent_share,
                "expected_time": Duration(int(ordinary * 1.2) + 3 * SECOND),
                "abandon_time": Duration(int(ordinary * 1.2) + 10 * SECOND),
                "work": {"law": "fixed", "mean": ordinary},
            },
        ],
        "workers": workers_of(fleet, plays),
        # What a cold worker bears goes by the work that comes: it has to bear its slots full of long tasks.
        "worker_rules": {"tip_multiple": max(3.0, ordinary / (0.3 * 2 * SECOND))},
        "dispatchers": {"count": count},
        "network": {
            "near": plays.near,
            "far": plays.far,
            "farther": plays.farther,
            "regions": plays.regions,
        },
        "clients": {"tries": 5},
        "traffic": [{"rate": starts}],
        "troubles": troubles_of(fleet, plays, play, count, begins),
    }
    return parse_experiment(told)


def workers_of(fleet: FleetSize, plays: ScaleScenarios) -> list[dict[str, Any]]:
    """All of them, evenly over the zones and their racks."""
    zones = [zone for region in plays.regions for zone in region]
    racks = len(zones) * plays.racks_a_zone
    each, more = divmod(fleet.size.workers, racks)
    found = []
    for rack in range(racks):
        count = each + (rack < more)
        if count:
            zone = zones[rack % len(zones)]
            found.append({"count": count, "zone": zone, "rack": rack, "slots": plays.slots})
    return found


def troubles_of(
    fleet: FleetSize, plays: ScaleScenarios, play: ScaleScenario, count: int, begins: int
) -> list[dict[str, Any]]:
    when = {"at": Duration(begins + play.at), "lasts": play.away}
    if play.what == "zone lost":
        return [{"what": "crash", "zone": play.zone, **when}]
    if play.what == "rack lost":
        return [{"what": "crash", "workers": in_first_rack(fleet, plays, play.zone), **when}]
    if play.what == "region cut":
        return [{"what": "region cut", "region": play.region, **when}]
    if play.what == "restart":
        return restarts_of(play, count, begins)
    return []


def in_first_rack(fleet: FleetSize, plays: ScaleScenarios, zone: str) -> list[str]:
    first = 0
    for group in workers_of(fleet, plays):
        if group["zone"] == zone:
            return [f"w{number}" for number in range(first, first + group["count"])]
        first += group["count"]
    return []


def restarts_of(play: ScaleScenario, count: int, begins: int) -> list[dict[str, Any]]:
    """A part at a time, evenly over the time."""
    each = max(1, round(count * play.at_once))
    parts = [list(range(first, min(count, first + each))) for first in range(0, count, each)]
    return [
        {
            "what": "dispatcher restarted",
            "at": Duration(begins + play.at + number * (play.lasts - play.at - play.away) // len(parts)),
            "dispatchers": part,
            "lasts": play.away,
        }
        for number, part in enumerate(parts)
    ]
