"""Messages between the rig and a process of simulated dispatchers: JSON lines on its pipes."""

from typing import NamedTuple

import msgspec


class DispatcherAddress(NamedTuple):
    """The address of one simulated dispatcher and the paths of its configuration files."""

    number: int
    name: str
    address: str  # source host of its connections
    config: str  # path
    watch: str = ""  # path of its `serve --watch` file; empty: it watches no config servers


class DispatcherHostSpec(msgspec.Struct):
    """The dispatchers of each process of a run, in a file that all processes read."""

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
    """The run begins; lateness is measured from now on."""


class CountUsage(msgspec.Struct, tag="count"):
    """Ask for the usage counts."""


HostCommand = StartDispatcher | StopDispatcher | KillDispatcher | ReloadConfig | BeginRun | CountUsage


# ---- From the process ----


class HostReady(msgspec.Struct, tag="ready"):
    """The first message: the process accepts commands."""


class DispatcherServes(msgspec.Struct, tag="serves"):
    """A dispatcher has become ready to serve."""

    number: int


class DispatcherEnded(msgspec.Struct, tag="ended"):
    """A dispatcher has ended."""

    number: int
    reason: str  # empty: it was stopped


class UsageCounts(msgspec.Struct, tag="counts"):
    """The resource usage of a process and its dispatchers."""

    cpu_ns: int
    resident: int  # bytes
    descriptors: int
    serving: int  # number of dispatchers that serve
    listed: int  # number of dispatchers that have an endpoint list
    lateness: int  # ns, maximum of the event loop since the run began
    inside: dict[str, int]  # counts of what the dispatchers hold, by name, summed over them


HostEvent = HostReady | DispatcherServes | DispatcherEnded | UsageCounts
