"""Faults of an experiment file (`[[troubles]]`); the key `what` selects the kind."""

from typing import ClassVar, Literal

import msgspec

from .durations import MILLISECOND, SECOND, Duration
from .experiment_table import ExperimentTable


class Fault(
    ExperimentTable,
    tag_field="what",
    frozen=True,
    kw_only=True,
    rename={"start": "at", "duration": "lasts", "machine_kind": "kind"},
):
    """A fault with a start and a duration; several may overlap."""

    affects_workers: ClassVar[bool] = True

    start: Duration
    duration: Duration
    # names; empty: the workers of the zone and machine kind
    workers: list[str] = msgspec.field(default_factory=list)
    share: float = 0.0  # of the workers of the zone and machine kind, drawn from the seed; 0: all
    zone: str = ""
    machine_kind: str = ""

    @property
    def name(self) -> str:
        """The value of the key `what` for this kind of fault."""
        return str(self.__struct_config__.tag)


class Crash(Fault, tag="crash", frozen=True, kw_only=True):
    """The worker process crashes; it restarts cold."""


class Drain(Fault, tag="drain", frozen=True, kw_only=True):
    """Graceful shutdown: the worker finishes its requests, ends, and restarts cold."""


class Hang(Fault, tag="hang", frozen=True, kw_only=True):
    """The worker stops all work and sends nothing, then resumes."""


class RepeatedPauses(
    Fault, tag="pauses", frozen=True, kw_only=True, rename={"interval": "every", "pause": "each"}
):
    """Short hangs at a fixed interval."""

    interval: Duration = Duration(SECOND)
    pause: Duration = Duration(100 * MILLISECOND)


class Slowdown(Fault, tag="slow", frozen=True, kw_only=True):
    """The worker's speed is divided by the factor."""

    factor: float = 4.0


class FastFailures(Fault, tag="quick errors", frozen=True, kw_only=True, rename={"probability": "errors"}):
    """Requests fail immediately, each with the given probability."""

    probability: float = 1.0


class DelayedReports(Fault, tag="late reports", frozen=True, kw_only=True, rename={"delay": "by"}):
    """Load reports are older by the given delay."""

    delay: Duration = Duration(2 * SECOND)


class ConnectionResets(Fault, tag="resets", frozen=True, kw_only=True, rename={"probability": "errors"}):
    """Connections are reset while an attempt runs on them."""

    probability: float = 0.1


class SilentConnections(Fault, tag="silences", frozen=True, kw_only=True, rename={"probability": "errors"}):
    """Connections of attempts stay open but deliver no further data."""

    probability: float = 0.1


class IdleConnectionDrops(
    Fault, tag="drops at rest", frozen=True, kw_only=True, rename={"probability": "errors"}
):
    """Idle connections are dropped without notice; the next request on such a connection fails."""

    probability: float = 0.1


class ZonePartition(Fault, tag="zone cut", frozen=True, kw_only=True):
    """No traffic passes between the zone and the other zones."""

    affects_workers = False


class RegionPartition(Fault, tag="region cut", frozen=True, kw_only=True):
    """No traffic passes between the region and the others, including discovery in another region."""

    affects_workers = False
    region: int = 1  # index in network.regions


class StoreSlowdown(Fault, tag="store jam", frozen=True, kw_only=True):
    """Fetch times of the workers' store are multiplied by the factor."""

    affects_workers = False
    factor: float = 10.0


class DiscoveryOutage(Fault, tag="discovery down", frozen=True, kw_only=True):
    """Discovery does not answer calls."""

    affects_workers = False


class DispatcherKilled(Fault, tag="dispatcher killed", frozen=True, kw_only=True):
    """The dispatcher gets SIGKILL; at the end of the fault it starts without any state."""

    affects_workers = False
    dispatchers: list[int] = msgspec.field(default_factory=list)


class DispatcherPaused(Fault, tag="dispatcher paused", frozen=True, kw_only=True):
    """The dispatcher gets SIGSTOP, and SIGCONT at the end of the fault."""

    affects_workers = False
    dispatchers: list[int] = msgspec.field(default_factory=list)


class DispatcherRestarted(Fault, tag="dispatcher restarted", frozen=True, kw_only=True):
    """The dispatcher gets SIGTERM and is started again at the end of the fault."""

    affects_workers = False
    dispatchers: list[int] = msgspec.field(default_factory=list)


class DispatcherReplaced(Fault, tag="dispatcher replaced", frozen=True, kw_only=True):
    """A successor starts at the same address; once it serves, the predecessor is told to stop.

    The predecessor has until the end of the fault to stop. The audit treats both as one dispatcher.
    """

    affects_workers = False
    dispatchers: list[int] = msgspec.field(default_factory=list)


class RandomDispatcherOutages(
    Fault,
    tag="killed at random",
    frozen=True,
    kw_only=True,
    rename={"interval": "every", "downtime": "down", "pause_share": "pauses"},
):
    """Dispatchers drawn from the seed are killed or paused in turn, each restored before the next outage."""

    affects_workers = False
    interval: Duration = Duration(6 * SECOND)
    downtime: Duration = Duration(2 * SECOND)
    pause_share: float = 0.3  # of the outages that are pauses


class SettingsChange(
    Fault,
    tag="settings changed",
    frozen=True,
    kw_only=True,
    rename={"max_attempts": "most_hand_offs", "idempotency": "repeat"},
):
    """Different rules for requests that arrive during the fault; open requests keep their rules."""

    affects_workers = False
    # request class -> value of the key `repeat`
    idempotency: dict[str, Literal["redoable", "irreversible"]] = msgspec.field(default_factory=dict)
    max_attempts: int | None = None


NamedDispatcherFault = DispatcherKilled | DispatcherPaused | DispatcherRestarted | DispatcherReplaced
AnyFault = (
    Crash
    | Drain
    | Hang
    | RepeatedPauses
    | Slowdown
    | FastFailures
    | DelayedReports
    | ConnectionResets
    | SilentConnections
    | IdleConnectionDrops
    | ZonePartition
    | RegionPartition
    | StoreSlowdown
    | DiscoveryOutage
    | DispatcherKilled
    | DispatcherPaused
    | DispatcherRestarted
    | DispatcherReplaced
    | SettingsChange
    | RandomDispatcherOutages
)
