"""The driver of the supervisor: opens the listening socket, runs the child processes and handles signals.

All children inherit one socket. If each had its own with SO_REUSEPORT, connections waiting to be accepted
would be lost when a child dies.
"""

import asyncio
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from functools import partial

import uvloop

from ploverspoke.service.config import Config, read_config
from ploverspoke.service.config_reader import Address, ConfigError
from ploverspoke.service.descriptor_limit import system_descriptor_limit
from ploverspoke.service.exit_codes import run_with_exit_code
from ploverspoke.transport.listener import BACKLOG
from ploverspoke.transport.loop_timer import LoopTimer
from ploverspoke.transport.rate_limited_log import log_line

from .child_environment import ChildEnvironment
from .resource_split import child_config
from .supervisor import ProcessSupervisor

CHILD_COMMAND = (sys.executable, "-m", "ploverspoke.supervisor.child")
NOT_STARTED = -1  # exit status reported for a process that could not be started


class ProcessRunner:
    """Carries out what `ProcessSupervisor` decides; implements `SupervisorActions`."""

    def __init__(self, config: Config, count: int) -> None:
        """Prepare `count` children with this configuration; `run` starts them. Needs a running event loop."""
        self.loop = asyncio.get_running_loop()
        self.count = count
        self.config = config
        self.processes: dict[int, asyncio.subprocess.Process] = {}  # by the index of the slot
        # One for each running child: the event loop itself holds only weak references to tasks.
        self.tasks: set[asyncio.Task[None]] = set()
        # Set when all children have stopped: whether any of them had to be killed.
        self.shutdown_result: asyncio.Future[bool] = self.loop.create_future()
        self.supervisor = ProcessSupervisor(self, count)
        self.timer = LoopTimer(partial(self._handle_event, self.supervisor.tick))
        self.socket: socket.socket | None = None  # open while `run` is running

    async def run(self) -> int:
        """Supervise until SIGTERM or SIGINT and the last child's exit. Raises OSError if listening fails.

        Returns 0, or 1 if a child had to be killed.
        """
        with _open_listening_socket(self.config.listen) as self.socket:
            for number in (signal.SIGTERM, signal.SIGINT):
                self.loop.add_signal_handler(number, self._handle_event, self.supervisor.shut_down)
            self.loop.add_signal_handler(signal.SIGHUP, self._reload_config)
            log_line(f"{self.config.name}: {self.count} processes at {self.config.listen}")
            self._handle_event(self.supervisor.start_all)
            return int(await self.shutdown_result)

    def _reload_config(self) -> None:
        """Validate the new configuration for each child, then replace the children one by one."""
        try:
            new = read_config(os.environ)
            for index in range(self.count):
                child_config(new, index, self.count)
        except ConfigError as error:
            log_line(f"new configuration rejected, the active one stays: {error}")
            return
        if new.listen != self.config.listen:
            log_line("new configuration: listen stays as it was until the next start")
        log_line("new configuration: the processes are replaced one by one")
        self._handle_event(self.supervisor.on_new_configuration)

    def _handle_event(self, event: Callable[[], None]) -> None:
        """Pass one event to the supervisor and reset the timer, as any event may change the next deadline."""
        event()
        next_tick = self.supervisor.next_tick()
        if next_tick is None:
            self.timer.cancel()
        else:
            self.timer.set(next_tick)

    async def _run_child(self, index: int) -> None:
        """Run one process from its start to its exit."""
        try:
            process = await self._spawn(index)
        except OSError as error:
            log_line(f"child {index} cannot be started: {error.strerror}")
            self._handle_event(partial(self.supervisor.on_child_exited, index, NOT_STARTED))
            return
        self.processes[index] = process
        assert process.stdout is not None, "it was started with a pipe"
        if await process.stdout.readline():  # its only line says that it is ready; empty: it has exited
            self._handle_event(partial(self.supervisor.on_child_ready, index))
        status = await process.wait()
        del self.processes[index]
        self._handle_event(partial(self.supervisor.on_child_exited, index, status))

    async def _spawn(self, index: int) -> asyncio.subprocess.Process:
        """Raises OSError if the process cannot be created."""
        assert self.socket is not None, "children are started by `run`"
        descriptor = self.socket.fileno()
        child = ChildEnvironment(index, self.count, descriptor)
        return await asyncio.create_subprocess_exec(
            *CHILD_COMMAND,
            env={**os.environ, **child.to_environment()},
            stdout=asyncio.subprocess.PIPE,
            pass_fds=(descriptor,),
        )

    def _send_signal(self, index: int, number: signal.Signals) -> None:
        process = self.processes.get(index)
        if process is not None and process.returncode is None:
            process.send_signal(number)

    # ---- SupervisorActions ----

    def now(self) -> int:
        """Return the monotonic time in nanoseconds."""
        return time.monotonic_ns()

    def start_child(self, index: int) -> None:
        """Start a process in the slot; a failure is reported later as an exit with NOT_STARTED."""
        task = self.loop.create_task(self._run_child(index))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop_child(self, index: int) -> None:
        """Send SIGTERM."""
        self._send_signal(index, signal.SIGTERM)

    def kill_child(self, index: int) -> None:
        """Send SIGKILL."""
        self._send_signal(index, signal.SIGKILL)

    def log(self, line: str) -> None:
        """Write one line to the log."""
        log_line(line)

    def on_all_stopped(self, any_killed: bool) -> None:
        """Let `run` return."""
        if not self.shutdown_result.done():
            self.shutdown_result.set_result(any_killed)


def _open_listening_socket(address: Address) -> socket.socket:
    listening = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(address)
        listening.listen(BACKLOG)
        listening.setblocking(False)
    except OSError:
        listening.close()
        raise
    return listening


async def _run(count: int) -> int:
    config = read_config(os.environ)
    limit = system_descriptor_limit()
    for index in range(count):
        child_config(config, index, count, limit)  # raises ConfigError if a child's share is too small
    return await ProcessRunner(config, count).run()


def main(count: int) -> int:
    """Run `count` dispatchers until SIGTERM.

    Returns the exit code. 0: all stopped on request. 1: one had to be killed. 2: the configuration is
    invalid or the address cannot be listened on.
    """
    return run_with_exit_code(lambda: uvloop.run(_run(count)))
