"""Messages between the rig and a process of simulated dispatchers: JSON lines on its pipes."""

from typing import NamedTuple

import msgspec


class DispatcherAddress(NamedTuple):
    """Where one simulated dispatcher is, and where it finds its configuration."""

    number: int
    name: str
    address: str  # host that it sends from
    config: str  # path
    watch: str = ""  # path of its `serve --watch` file; empty: it watches nothing


class DispatcherHostSpec(msgspec.Struct):
    """The dispatchers of each process of a run, in a file that all of them read."""

    parts: list[list[DispatcherAddress]]


# ---- To the process ----


class StartDispatcher(msgspec.Struct, tag="start"):
    """Start a dispatcher."""

    number: int


class StopDispatcher(msgspec.Struct, tag="stop"):
    """Stop a dispatcher as SIGTERM does."""

    number: int


class KillDispatcher(msgspec.Struct, tag="kill"):
    """End a dispatcher at once as SIGKILL does."""

    number: int


class ReloadConfig(msgspec.Struct, tag="reload"):
    """Make a dispatcher read its configuration again as SIGHUP does."""

    number: int


class BeginRun(msgspec.Struct, tag="begin"):
    """The run begins; from now on lateness counts."""


class CountUsage(msgspec.Struct, tag="count"):
    """Ask for the usage counts."""


HostCommand = StartDispatcher | StopDispatcher | KillDispatcher | ReloadConfig | BeginRun | CountUsage


# ---- From the process ----


class HostReady(msgspec.Struct, tag="ready"):
    """The process takes commands; its first message."""


class DispatcherServes(msgspec.Struct, tag="serves"):
    """A dispatcher serves."""

    number: int


class DispatcherEnded(msgspec.Struct, tag="ended"):
    """A dispatcher has ended."""

    number: int
    reason: str  # empty: it was stopped


class UsageCounts(msgspec.Struct, tag="counts"):
    """What a process and its dispatchers use."""

    cpu_ns: int
    resident: int  # bytes
    descriptors: int
    serving: int  # dispatchers
    listed: int  # dispatchers that have an endpoint list
    lateness: int  # ns, of the event loop since the run began, at most
    inside: dict[str, int]  # what dispatchers hold, by name, summed


HostEvent = HostReady | DispatcherServes | DispatcherEnded | UsageCounts
