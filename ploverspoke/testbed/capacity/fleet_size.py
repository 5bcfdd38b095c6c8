"""Fleet files (`kind = "fleet"`): the size of a fleet, its budget and its failures, read and checked.

The table `[play]` of the same file has the scenarios of the scale tests, which `scenarios/` reads.
"""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from ..experiment_files.durations import Duration, decode_duration


class FleetFileError(ValueError):
    """The file describes no fleet; the text is one line that names the key."""

    def __init__(self, key: str, reason: str) -> None:
        """`key` is the key or file at fault; `reason` says what is wrong with it."""
        super().__init__(f"{key}: {reason}" if key else reason)
        self.key = key
        self.reason = reason


class Part(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of all tables of a file: an unknown key is an error."""


class Size(
    Part, frozen=True, kw_only=True, rename={"config_applied_within": "configuration_in_force_within"}
):
    """The size that the operators state."""

    workers: int
    dispatchers: list[int]  # the number is not stated: each of these is estimated
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


class Budget(Part, frozen=True, kw_only=True):
    """What a dispatcher may spend on control, and the machines that are set aside for it."""

    core_share: float
    memory_mb: float
    bytes_a_second: float
    control_machines: int


class Failures(Part, frozen=True, kw_only=True):
    """How often each kind of failure comes."""

    machines_a_day: float
    restarts_a_day: float
    rack_every_days: float
    zone_every_days: float
    regions_apart: Duration


class FleetSize(Part, frozen=True, kw_only=True, rename={"scenarios": "play"}):
    """A fleet file."""

    kind: str
    name: str
    about: str = ""
    size: Size
    budget: Budget
    failures: Failures
    scenarios: dict[str, Any] = {}  # not checked here


def read_fleet(path: Path) -> FleetSize:
    """Read and check a fleet file. Raises FleetFileError, naming the file."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise FleetFileError(str(path), error.strerror or str(error)) from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise FleetFileError(str(path), f"no TOML: {error}") from error
    try:
        return parse_fleet(document)
    except FleetFileError as error:
        raise FleetFileError(str(path), str(error)) from error


def parse_fleet(document: dict[str, Any]) -> FleetSize:
    """Check a document: unknown keys, units, zero and negative sizes. Raises FleetFileError."""
    try:
        fleet = msgspec.convert(document, FleetSize, dec_hook=decode_duration)
    except msgspec.ValidationError as error:
        raise FleetFileError("", str(error).replace("`$.", "`")) from error
    if fleet.kind != "fleet":
        raise FleetFileError("kind", f'expected "fleet", got {fleet.kind!r}')
    for name, table in (("size", fleet.size), ("budget", fleet.budget), ("failures", fleet.failures)):
        _check_positive(name, table)
    if fleet.size.regions > fleet.size.zones:
        raise FleetFileError("size.regions", "expected no more of them than zones")
    if fleet.size.largest_gang > fleet.size.tasks_running:
        raise FleetFileError("size.largest_gang", "expected no more than tasks_running")
    return fleet


def _check_positive(name: str, table: Part) -> None:
    for field, key in zip(table.__struct_fields__, table.__struct_encode_fields__, strict=True):
        value = getattr(table, field)
        values = value if isinstance(value, list) else [value]
        if not values or any(each <= 0 for each in values):
            raise FleetFileError(f"{name}.{key}", f"expected more than 0, got {value!r}")
