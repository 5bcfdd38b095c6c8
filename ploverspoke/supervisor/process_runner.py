"""The driver of the supervisor: the listening socket that all children inherit, their processes, signals.

The children share one socket instead of each having its own by SO_REUSEPORT, so that connections which wait
to be accepted are not lost with a child that dies.
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
NOT_STARTED = -1  # the exit status that is reported for a process that never ran


class ProcessRunner:
    """Carries out what `ProcessSupervisor` decides; implements `SupervisorActions`."""

    def __init__(self, config: Config, count: int) -> None:
        """Prepare `count` children of this configuration; `run` starts them. To be built inside the loop."""
        self.loop = asyncio.get_running_loop()
        self.count = count
        self.config = config
        self.processes: dict[int, asyncio.subprocess.Process] = {}  # by the index of the slot
        self.tasks: set[asyncio.Task[None]] = set()  # one for each running child; a loop holds tasks weakly
        self.any_killed: asyncio.Future[bool] = self.loop.create_future()  # set when all have stopped
        self.supervisor = ProcessSupervisor(self, count)
        self.timer = LoopTimer(partial(self._handle, self.supervisor.tick))
        self.socket: socket.socket | None = None  # open while `run` is running

    async def run(self) -> int:
        """Supervise until SIGTERM or SIGINT and the last child's exit. Raises OSError where listening fails.

        Returns 0, or 1 where a child had to be killed.
        """
        with _open_listening_socket(self.config.listen) as self.socket:
            for number in (signal.SIGTERM, signal.SIGINT):
                self.loop.add_signal_handler(number, self._handle, self.supervisor.shut_down)
            self.loop.add_signal_handler(signal.SIGHUP, self._reload_config)
            log_line(f"{self.config.name}: {self.count} processes at {self.config.listen}")
            self._handle(self.supervisor.start_all)
            return int(await self.any_killed)

    def _reload_config(self) -> None:
        """Check the configuration as all children will see it, then replace them one by one."""
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
        self._handle(self.supervisor.on_new_configuration)

    def _handle(self, event: Callable[[], None]) -> None:
        """Pass one event to the supervisor and set the timer anew, since any event may move it."""
        event()
        due = self.supervisor.next_tick()
        if due is None:
            self.timer.cancel()
        else:
            self.timer.set(due)

    async def _run_child(self, index: int) -> None:
        """Run one process from its start to its exit."""
        try:
            process = await self._spawn(index)
        except OSError as error:
            log_line(f"child {index} cannot be started: {error.strerror}")
            self._handle(partial(self.supervisor.on_child_exited, index, NOT_STARTED))
            return
        self.processes[index] = process
        assert process.stdout is not None, "it was started with a pipe"
        if await process.stdout.readline():  # its only line means that it is ready; empty: it has exited
            self._handle(partial(self.supervisor.on_child_ready, index))
        status = await process.wait()
        del self.processes[index]
        self._handle(partial(self.supervisor.on_child_exited, index, status))

    async def _spawn(self, index: int) -> asyncio.subprocess.Process:
        """Raises OSError where the system gives no process."""
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
        """Start a process in the slot; a failure comes later, as an exit with NOT_STARTED."""
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
        if not self.any_killed.done():
            self.any_killed.set_result(any_killed)


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
        child_config(config, index, count, limit)  # a share that is too small ends the start
    return await ProcessRunner(config, count).run()


def main(count: int) -> int:
    """Run `count` dispatchers until SIGTERM.

    Returns the exit code. 0: all stopped on request. 1: one had to be killed. 2: the configuration is
    unusable or the address cannot be listened on.
    """
    return run_with_exit_code(lambda: uvloop.run(_run(count)))
