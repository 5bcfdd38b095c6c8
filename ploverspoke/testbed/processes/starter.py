"""Starts a module in the surroundings that the rig wants: `starter PLAN MODULE [WORDS...]`.

The product has no switch for any of it: what is put in place of the clock, the loop and the disk stands here.
It sends from an address of its own, by which relays and stand-ins know it; it listens at its own address
where it believes to listen at the relays'; its clocks may run fast or slow and jump; its disk may fail.
"""

import asyncio
import ctypes
import os
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

from .fault_controls import FAILS, FULL, FaultControls
from .history import History, monotonic_now

PR_SET_PDEATHSIG = 1


class StartPlan(msgspec.Struct):
    name: str
    source: str  # its own address
    relayed: str  # the relays' address for it
    controls: str
    history: str
    rate: float = 1.0  # of its monotonic clock, beside the machine's


class Clock:
    def __init__(self, plan: StartPlan, controls: FaultControls) -> None:
        self.rate = plan.rate
        self.controls = controls
        self.began = monotonic_now()
        self.true_wall = time.time_ns

    def monotonic_ns(self) -> int:
        ahead = self.controls.get("clock_ahead")
        return self.began + int((monotonic_now() - self.began) * self.rate) + ahead

    def monotonic(self) -> float:
        return self.monotonic_ns() / 1e9

    def time_ns(self) -> int:
        return self.true_wall() + self.controls.get("wall_ahead")

    def time(self) -> float:
        return self.time_ns() / 1e9

    def install(self) -> None:
        for name in ("monotonic_ns", "monotonic", "time_ns", "time"):
            setattr(time, name, getattr(self, name))


def loop_of(plan: StartPlan, clock: Clock) -> type[uvloop.Loop]:
    class Loop(uvloop.Loop):
        async def create_connection(  # type: ignore[override]
            self, factory: Any, host: Any = None, port: Any = None, **more: Any
        ) -> Any:
            if host is not None and more.get("local_addr") is None:
                more["local_addr"] = (plan.source, 0)
            return await super().create_connection(factory, host, port, **more)

        async def create_server(  # type: ignore[override]
            self, factory: Any, host: Any = None, port: Any = None, **more: Any
        ) -> Any:
            return await super().create_server(factory, at_home(host), port, **more)

        async def create_datagram_endpoint(  # type: ignore[override]
            self, factory: Any, local_addr: Any = None, remote_addr: Any = None, **more: Any
        ) -> Any:
            if local_addr is not None:
                local_addr = (at_home(local_addr[0]), *local_addr[1:])
            return await super().create_datagram_endpoint(factory, local_addr, remote_addr, **more)

    class Drifting(Loop):
        """Its timers go by its own clock, as they would on such a machine."""

        def time(self) -> float:
            return clock.monotonic()

        def call_later(  # type: ignore[override]
            self, delay: float, callback: Any, *args: Any, context: Any = None
        ) -> asyncio.TimerHandle:
            return super().call_later(delay / plan.rate, callback, *args, context=context)

        def call_at(  # type: ignore[override]
            self, when: float, callback: Any, *args: Any, context: Any = None
        ) -> asyncio.TimerHandle:
            return self.call_later(max(0.0, when - self.time()), callback, *args, context=context)

    def at_home(host: Any) -> Any:
        return plan.source if host == plan.relayed else host

    return Loop if plan.rate == 1.0 else Drifting


def disk_of(controls: FaultControls) -> type[sqlite3.Connection]:
    class Connection(sqlite3.Connection):
        """Commits are where a disk fails; what was written before one is rolled back by whoever is told."""

        def execute(self, text: str, *more: Any) -> sqlite3.Cursor:
            mode = controls.get("disk")
            if mode == FULL and text.lstrip().startswith(("insert", "begin")):
                raise sqlite3.OperationalError("database or disk is full")
            if text == "commit":
                takes = controls.get("sync_takes")
                if takes:
                    os_sleep(takes / 1e9)
                if mode == FAILS:
                    raise sqlite3.OperationalError("disk I/O error")
            return super().execute(text, *more)

    return Connection


os_sleep = time.sleep


def exchange(plan: StartPlan) -> None:
    """Put all of it in place. What is imported afterwards sees nothing else."""
    controls, history = FaultControls(Path(plan.controls)), History(Path(plan.history), plan.name)
    clock = Clock(plan, controls)
    clock.install()
    uvloop.Loop = loop_of(plan, clock)  # type: ignore[misc]
    connect, disk = sqlite3.connect, disk_of(controls)

    def with_faults(path: Any, **more: Any) -> sqlite3.Connection:
        return connect(path, factory=disk, **more)

    sqlite3.connect = with_faults  # type: ignore[assignment]
    from ploverspoke.transport import rate_limited_log

    said: Callable[[str], None] = rate_limited_log.log_line

    def say(line: str) -> None:
        history.add("says", line)
        said(line)

    rate_limited_log.log_line = say


def main() -> None:
    # Whoever started it ends it by its handle; should that one be killed, nothing stays behind.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    plan: StartPlan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=StartPlan)
    exchange(plan)
    module = sys.argv[2]
    sys.argv = [module, *sys.argv[3:]]
    sys.path.insert(0, os.getcwd())
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
