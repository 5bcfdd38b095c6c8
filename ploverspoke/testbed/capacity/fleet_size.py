"""Fleet files (`kind = "fleet"`): the size of a fleet, its budget and its failures, read and checked.

`read_fleet` raises FleetFileError with one line that names the key: unknown keys, wrong units, zero and
negative sizes. The table `[play]` of the same file says what the scale tests run; `scenarios/` reads it.
"""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from ..experiment_files.durations import Duration, parse_duration


class FleetFileError(ValueError):
    """The file describes no fleet; the text says where and why."""


class Part(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What all tables of a file have in common: an unknown key is an error."""


class Size(Part, frozen=True, kw_only=True):
    """What the operators state of the fleet."""

    workers: int
    dispatchers: list[int]  # how many there are is not stated: each of these is worked out
    jobs_a_day: int
    task_starts_a_second: float  # at the peak
    tasks_running: int
    largest_gang: int
    teams: int
    urgent_starts_within: Duration
    regions: int
    zones: int
    configuration_changes_a_day: int
    configuration_in_force_within: Duration


class Budget(Part, frozen=True, kw_only=True):
    """What a dispatcher may spend on control, and the machines that are set aside for it."""

    core_share: float
    memory_mb: float
    bytes_a_second: float
    control_machines: int


class Failures(Part, frozen=True, kw_only=True):
    """How often what fails."""

    machines_a_day: float
    restarts_a_day: float
    rack_every_days: float
    zone_every_days: float
    regions_apart: Duration


class FleetSize(Part, frozen=True, kw_only=True):
    kind: str
    name: str
    about: str = ""
    size: Size
    budget: Budget
    failures: Failures
    play: dict[str, Any] = {}


def read_fleet(path: Path) -> FleetSize:
    """Raises FleetFileError."""
    try:
        told = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise FleetFileError(f"{path}: {error.strerror}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise FleetFileError(f"{path}: no TOML: {error}") from None
    try:
        return fleet_of(told)
    except FleetFileError as error:
        raise FleetFileError(f"{path}: {error}") from None


def fleet_of(told: dict[str, Any]) -> FleetSize:
    """Raises FleetFileError, naming the key."""
    try:
        fleet = msgspec.convert(told, FleetSize, dec_hook=_span_hook)
    except msgspec.ValidationError as error:
        raise FleetFileError(str(error).replace("`$.", "`")) from None
    if fleet.kind != "fleet":
        raise FleetFileError(f'kind: expected "fleet", got {fleet.kind!r}')
    for table in ("size", "budget", "failures"):
        part = getattr(fleet, table)
        for key in part.__struct_fields__:
            value = getattr(part, key)
            values = value if isinstance(value, list) else [value]
            if not values or any(one <= 0 for one in values):
                raise FleetFileError(f"{table}.{key}: expected more than 0, got {value!r}")
    if fleet.size.regions > fleet.size.zones:
        raise FleetFileError("size.regions: expected no more of them than zones")
    if fleet.size.largest_gang > fleet.size.tasks_running:
        raise FleetFileError("size.largest_gang: expected no more than tasks_running")
    return fleet


def _span_hook(kind: type, value: Any) -> Any:
    if kind is Duration:
        return parse_duration(value)
    raise NotImplementedError(kind)
