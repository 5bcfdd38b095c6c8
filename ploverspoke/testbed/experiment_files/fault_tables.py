"""Faults of an experiment file (`[[troubles]]`), chosen by the key `what`."""

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
    workers: list[str] = msgspec.field(default_factory=list)  # by name; empty: those of that zone and kind
    share: float = 0.0  # of the workers of that zone and kind, drawn from the seed; 0: all
    zone: str = ""
    machine_kind: str = ""

    @property
    def name(self) -> str:
        """The word that the file has for this kind of fault."""
        return str(self.__struct_config__.tag)


class Crash(Fault, tag="crash", frozen=True, kw_only=True):
    """The worker process dies; it returns cold."""


class Drain(Fault, tag="drain", frozen=True, kw_only=True):
    """Graceful shutdown: the worker finishes its requests, ends, and returns cold."""


class Hang(Fault, tag="hang", frozen=True, kw_only=True):
    """The worker stops sending and working, then resumes."""


class RepeatedPauses(
    Fault, tag="pauses", frozen=True, kw_only=True, rename={"interval": "every", "pause": "each"}
):
    """Short hangs in a fixed interval."""

    interval: Duration = Duration(SECOND)
    pause: Duration = Duration(100 * MILLISECOND)


class Slowdown(Fault, tag="slow", frozen=True, kw_only=True):
    """The worker's speed is divided by the factor."""

    factor: float = 4.0


class FastFailures(Fault, tag="quick errors", frozen=True, kw_only=True, rename={"probability": "errors"}):
    """Requests fail at once, each with the probability."""

    probability: float = 1.0


class DelayedReports(Fault, tag="late reports", frozen=True, kw_only=True, rename={"delay": "by"}):
    """Load reports are older by the delay."""

    delay: Duration = Duration(2 * SECOND)


class ConnectionResets(Fault, tag="resets", frozen=True, kw_only=True, rename={"probability": "errors"}):
    """Connections of attempts break while the attempt runs."""

    probability: float = 0.1


class SilentConnections(Fault, tag="silences", frozen=True, kw_only=True, rename={"probability": "errors"}):
    """Connections of attempts stay open, but nothing more arrives on them."""

    probability: float = 0.1


class IdleConnectionDrops(
    Fault, tag="drops at rest", frozen=True, kw_only=True, rename={"probability": "errors"}
):
    """Idle connections are dropped unnoticed; the next request on one breaks."""

    probability: float = 0.1


class ZonePartition(Fault, tag="zone cut", frozen=True, kw_only=True):
    """Nothing passes between that zone and the others."""

    affects_workers = False


class RegionPartition(Fault, tag="region cut", frozen=True, kw_only=True):
    """Nothing passes between that region and the others, nor between it and discovery in another region."""

    affects_workers = False
    region: int = 1  # index in network.regions


class StoreSlowdown(Fault, tag="store jam", frozen=True, kw_only=True):
    """Fetches from the workers' store take longer by the factor."""

    affects_workers = False
    factor: float = 10.0


class DiscoveryOutage(Fault, tag="discovery down", frozen=True, kw_only=True):
    """Discovery answers no call."""

    affects_workers = False


class DispatcherKilled(Fault, tag="dispatcher killed", frozen=True, kw_only=True):
    """SIGKILL; at the end of the fault the dispatcher starts without any state."""

    affects_workers = False
    dispatchers: list[int] = msgspec.field(default_factory=list)


class DispatcherPaused(Fault, tag="dispatcher paused", frozen=True, kw_only=True):
    """SIGSTOP, and SIGCONT at the end of the fault."""

    affects_workers = False
    dispatchers: list[int] = msgspec.field(default_factory=list)


class DispatcherRestarted(Fault, tag="dispatcher restarted", frozen=True, kw_only=True):
    """SIGTERM, and a new start at the end of the fault."""

    affects_workers = False
    dispatchers: list[int] = msgspec.field(default_factory=list)


class DispatcherReplaced(Fault, tag="dispatcher replaced", frozen=True, kw_only=True):
    """A successor starts at the same address; once it serves, the predecessor is told to end.

    The predecessor has until the end of the fault. To the rules both are one dispatcher.
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
    """Dispatchers drawn from the seed are killed or paused one after the other, each back before the next."""

    affects_workers = False
    interval: Duration = Duration(6 * SECOND)
    downtime: Duration = Duration(2 * SECOND)
    pause_share: float = 0.3  # of outages that are a pause


class SettingsChange(
    Fault,
    tag="settings changed",
    frozen=True,
    kw_only=True,
    rename={"max_attempts": "most_hand_offs", "idempotency": "repeat"},
):
    """Other rules for requests that arrive meanwhile; open requests keep those of their arrival."""

    affects_workers = False
    # request class -> as in the file
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
