"""Runs a module with a host, clocks and a disk that the rig controls: `launcher PLAN MODULE [ARGUMENTS...]`.

The product has no settings for these, so this module replaces the clock, the event loop and the SQLite
connection. The process sends from a host of its own, by which the proxy and the fakes identify it. It also
listens at that host where its configuration names the proxy's host. Its clocks may run fast or slow and jump,
and its disk may fail.
"""

import asyncio
import ctypes
import runpy
import signal
import sqlite3
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from .fault_controls import Control, DiskMode, FaultControls
from .history import History, monotonic_now

PR_SET_PDEATHSIG = 1  # from linux/prctl.h
REPLACED_CLOCKS = ("monotonic_ns", "monotonic", "time_ns", "time")
DISK_FULL, DISK_ERROR = "database or disk is full", "disk I/O error"  # SQLite's own messages
WRITE_STATEMENTS = ("insert", "begin")  # the statements that a full disk refuses


class LaunchPlan(msgspec.Struct):
    """The settings with which the launcher runs a process."""

    name: str
    host: str  # the process's own
    proxy_host: str
    controls: str  # path of its FaultControls
    history: str  # path
    clock_rate: float = 1.0  # of its monotonic clock, relative to the machine's


class FaultyClock:
    """Replaces the clocks of the `time` module."""

    def __init__(self, plan: LaunchPlan, controls: FaultControls) -> None:
        """Start at the machine's time."""
        self.rate = plan.clock_rate
        self.controls = controls
        self._started_at = monotonic_now()
        self._machine_wall_clock = time.time_ns

    def monotonic_ns(self) -> int:
        """Replaces time.monotonic_ns."""
        elapsed = int((monotonic_now() - self._started_at) * self.rate)
        return self._started_at + elapsed + self.controls.get(Control.MONOTONIC_CLOCK_OFFSET)

    def monotonic(self) -> float:
        """Replaces time.monotonic."""
        return self.monotonic_ns() / 1e9

    def time_ns(self) -> int:
        """Replaces time.time_ns."""
        return self._machine_wall_clock() + self.controls.get(Control.WALL_CLOCK_OFFSET)

    def time(self) -> float:
        """Replaces time.time."""
        return self.time_ns() / 1e9

    def install(self) -> None:
        """Replace the module's functions."""
        for name in REPLACED_CLOCKS:
            setattr(time, name, getattr(self, name))


def make_event_loop_class(plan: LaunchPlan, clock: FaultyClock) -> type[uvloop.Loop]:
    """Make an event loop class that uses the process's own host and the process's clock."""
    own_host_loop = make_own_host_loop_class(plan)
    return own_host_loop if plan.clock_rate == 1.0 else make_drifting_loop_class(own_host_loop, clock)


def make_own_host_loop_class(plan: LaunchPlan) -> type[uvloop.Loop]:
    """Make an event loop class that sends from and listens at the process's own host."""

    def own_host(host: Any) -> Any:
        """Return the process's own host in place of the proxy's host, and any other host unchanged."""
        return plan.host if host == plan.proxy_host else host

    class OwnHostLoop(uvloop.Loop):
        """Replaces the hosts of sockets as they are created."""

        async def create_connection(  # type: ignore[override]
            self, factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> Any:
            """Connect from the process's own host."""
            if host is not None and options.get("local_addr") is None:
                options["local_addr"] = (plan.host, 0)
            return await super().create_connection(factory, host, port, **options)

        async def create_server(  # type: ignore[override]
            self, factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> Any:
            """Listen at the process's own host."""
            return await super().create_server(factory, own_host(host), port, **options)

        async def create_datagram_endpoint(  # type: ignore[override]
            self, factory: Any, local_addr: Any = None, remote_addr: Any = None, **options: Any
        ) -> Any:
            """Send and receive at the process's own host."""
            if local_addr is not None:
                local_addr = (own_host(local_addr[0]), *local_addr[1:])
            return await super().create_datagram_endpoint(factory, local_addr, remote_addr, **options)

    return OwnHostLoop


def make_drifting_loop_class(base: type[uvloop.Loop], clock: FaultyClock) -> type[uvloop.Loop]:
    """Make an event loop class whose timers run by the process's clock, as on a machine with such a clock."""

    class DriftingLoop(base):  # type: ignore[valid-type, misc]
        """Converts the delays of timers to the machine's clock."""

        def time(self) -> float:
            """The process's monotonic clock."""
            return clock.monotonic()

        def call_later(
            self, delay: float, callback: Any, *args: Any, context: Any = None
        ) -> asyncio.TimerHandle:
            """Call after a delay by the process's clock."""
            handle: asyncio.TimerHandle = super().call_later(
                delay / clock.rate, callback, *args, context=context
            )
            return handle

        def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> asyncio.TimerHandle:
            """Call at a time of the process's clock."""
            return self.call_later(max(0.0, when - self.time()), callback, *args, context=context)

    return DriftingLoop


def make_connection_class(controls: FaultControls) -> type[sqlite3.Connection]:
    """Make an SQLite connection class whose statements fail according to the disk mode."""

    class FaultyConnection(sqlite3.Connection):
        """Fails at the commit, as a disk does; the caller rolls back what it wrote before."""

        def execute(self, statement: str, *parameters: Any) -> sqlite3.Cursor:
            """Execute the statement, unless it fails in the current disk mode."""
            mode = controls.get(Control.DISK_MODE)
            if mode == DiskMode.FULL and statement.lstrip().startswith(WRITE_STATEMENTS):
                raise sqlite3.OperationalError(DISK_FULL)
            if statement == "commit":
                sync_delay = controls.get(Control.SYNC_DELAY)
                if sync_delay:
                    time.sleep(sync_delay / 1e9)
                if mode == DiskMode.FAILING:
                    raise sqlite3.OperationalError(DISK_ERROR)
            return super().execute(statement, *parameters)

    return FaultyConnection


def _replace_disk(controls: FaultControls) -> None:
    connect, connection_class = sqlite3.connect, make_connection_class(controls)

    def connect_with_faults(path: Any, **options: Any) -> sqlite3.Connection:
        """Replaces sqlite3.connect."""
        return connect(path, factory=connection_class, **options)

    sqlite3.connect = connect_with_faults  # type: ignore[assignment]


def _record_log_lines(history: History) -> None:
    from ploverspoke.transport import rate_limited_log  # must be imported after the replacements

    write_line: Callable[[str], None] = rate_limited_log.log_line

    def log_line(line: str) -> None:
        """Record the line and write it."""
        history.add("log", line)
        write_line(line)

    rate_limited_log.log_line = log_line


def install_faults(plan: LaunchPlan) -> None:
    """Replace clocks, event loop and disk, and record log lines.

    Only modules that are imported afterwards are affected.
    """
    controls, history = FaultControls(Path(plan.controls)), History(Path(plan.history), plan.name)
    clock = FaultyClock(plan, controls)
    clock.install()
    uvloop.Loop = make_event_loop_class(plan, clock)  # type: ignore[misc]
    _replace_disk(controls)
    _record_log_lines(history)


def main() -> None:
    """Run the module that the command line names."""
    # The rig ends this process through its handle. If the rig is killed, the kernel kills this process.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    plan: LaunchPlan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LaunchPlan)
    install_faults(plan)
    module = sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    sys.path.insert(0, str(Path.cwd()))
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
