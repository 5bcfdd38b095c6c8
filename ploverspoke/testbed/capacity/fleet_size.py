"""Reads and validates fleet files (`kind = "fleet"`): the size, budget and failures of a fleet.

The table `[play]` of the same file describes the scenarios of the scale tests. It is read by
`scale/scenario_file.py`.
"""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from ..experiment_files.durations import Duration, decode_duration


class FleetFileError(ValueError):
    """The fleet file is invalid; the message is one line that names the key."""

    def __init__(self, key: str, reason: str) -> None:
        """`key` is the invalid key or file; `reason` says what is wrong with it."""
        super().__init__(f"{key}: {reason}" if key else reason)
        self.key = key
        self.reason = reason


class FleetFileTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of all tables of a fleet file; rejects unknown keys."""


class Size(
    FleetFileTable,
    frozen=True,
    kw_only=True,
    rename={"config_applied_within": "configuration_in_force_within"},
):
    """The size of the fleet, as stated by its operators."""

    workers: int
    dispatchers: list[int]  # the operators do not state the number; each of these is estimated
    jobs_a_day: int
    task_starts_a_second: float  # at the peak
    tasks_running: int
    largest_gang: int
    teams: int
    urgent_starts_within: Duration
    regions: int
    zones: int
    configuration_changes_a_day: int
    config_applied_within: Duration


class Budget(FleetFileTable, frozen=True, kw_only=True):
    """The resources that one dispatcher may use for control, and the machines reserved for control."""

    core_share: float
    memory_mb: float
    bytes_a_second: float
    control_machines: int


class Failures(FleetFileTable, frozen=True, kw_only=True):
    """The frequency of each kind of failure."""

    machines_a_day: float
    restarts_a_day: float
    rack_every_days: float
    zone_every_days: float
    regions_apart: Duration  # how long the regions cannot reach each other


class FleetSize(FleetFileTable, frozen=True, kw_only=True, rename={"scenarios": "play"}):
    """The contents of a fleet file."""

    kind: str
    name: str
    about: str = ""
    size: Size
    budget: Budget
    failures: Failures
    scenarios: dict[str, Any] = {}  # validated by `scale/scenario_file.py`


def read_fleet(path: Path) -> FleetSize:
    """Read and validate a fleet file. Raises FleetFileError, which names the file."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise FleetFileError(str(path), error.strerror or str(error)) from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise FleetFileError(str(path), f"not valid TOML: {error}") from error
    try:
        return parse_fleet(document)
    except FleetFileError as error:
        raise FleetFileError(str(path), str(error)) from error


def parse_fleet(document: dict[str, Any]) -> FleetSize:
    """Decode and validate a document: known keys, units, positive values. Raises FleetFileError."""
    try:
        fleet = msgspec.convert(document, FleetSize, dec_hook=decode_duration)
    except msgspec.ValidationError as error:
        raise FleetFileError("", str(error).replace("`$.", "`")) from error
    if fleet.kind != "fleet":
        raise FleetFileError("kind", f'expected "fleet", got {fleet.kind!r}')
    for name, table in (("size", fleet.size), ("budget", fleet.budget), ("failures", fleet.failures)):
        _check_positive(name, table)
    if fleet.size.regions > fleet.size.zones:
        raise FleetFileError("size.regions", "expected at most as many regions as zones")
    if fleet.size.largest_gang > fleet.size.tasks_running:
        raise FleetFileError("size.largest_gang", "expected at most tasks_running")
    return fleet


def _check_positive(name: str, table: FleetFileTable) -> None:
    for field, key in zip(table.__struct_fields__, table.__struct_encode_fields__, strict=True):
        value = getattr(table, field)
        values = value if isinstance(value, list) else [value]
        if not values or any(number <= 0 for number in values):
            raise FleetFileError(f"{name}.{key}", f"expected more than 0, got {value!r}")
