"""The supervisor's driver: one listening socket that all children inherit, their processes, signals.

One socket for all, not one each by SO_REUSEPORT: what waits to be accepted is not lost with a child that
dies.
"""

import asyncio
import os
import resource
import signal
import socket
import sys
import time

import uvloop

from ploverspoke.service.config import Config, read_config
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.exit_codes import run_with_exit_code
from ploverspoke.transport.listener import BACKLOG
from ploverspoke.transport.rate_limited_log import log_line

from .resource_split import child_config
from .supervisor import ProcessSupervisor

MOST_PROCESSES = 64


class ProcessRunner:
    def __init__(self, briefing: Config, count: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.count = count
        self.briefing = briefing
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.finished: asyncio.Future[bool] = self.loop.create_future()
        self.watch = ProcessSupervisor(self, count)
        host, port = briefing.listen
        self.socket = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, port))
        self.socket.listen(BACKLOG)
        self.socket.setblocking(False)

    async def run(self) -> int:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._told, self.watch.told_to_end)
        self.loop.add_signal_handler(signal.SIGHUP, self._read_again)
        address = ":".join(map(str, self.briefing.listen))
        log_line(f"{self.briefing.name}: {self.count} processes at {address}")
        self.watch.begin()
        self._arm()
        try:
            return int(await self.finished)
        finally:
            self.socket.close()

    def _read_again(self) -> None:
        try:
            new = read_config(os.environ)
            for place in range(self.count):
                child_config(new, place, self.count)
        except ConfigError as error:
            log_line(f"new configuration not taken, the old one goes on: {error}")
            return
        if new.listen != self.briefing.listen:
            log_line("new configuration: listen stays as it was until the next start")
        log_line("new configuration: it goes through the processes one by one")
        self._told(self.watch.new_configuration)

    def _told(self, event: object) -> None:
        assert callable(event)
        event()
        self._arm()

    def _arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        when = self.watch.next_tick()
        if when is not None:
            self.timer = self.loop.call_later(max(0, when - self.now()) / 1e9, self._told, self.watch.tick)

    # ---- The host ----

    def now(self) -> int:
        return time.monotonic_ns()

    def start(self, place: int) -> None:
        task = self.loop.create_task(self._live(place))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _live(self, place: int) -> None:
        """One process from its start to its end."""
        told = f"{place},{self.count},{self.socket.fileno()}"
        try:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ploverspoke.supervisor.child",
                env={**os.environ, "PLOVERSPOKE_CHILD": told},
                stdout=asyncio.subprocess.PIPE,
                pass_fds=(self.socket.fileno(),),
            )
        except OSError as error:
            log_line(f"child {place} cannot be started: {error.strerror}")
            self.watch.ended(place, -1)
            self._arm()
            return
        self.processes[place] = process
        assert process.stdout is not None
        if await process.stdout.readline():
            self._told(lambda: self.watch.ready(place))
        status = await process.wait()
        del self.processes[place]
        self._told(lambda: self.watch.ended(place, status))

    def end(self, place: int) -> None:
        self._signal(place, signal.SIGTERM)

    def kill(self, place: int) -> None:
        self._signal(place, signal.SIGKILL)

    def _signal(self, place: int, number: signal.Signals) -> None:
        process = self.processes.get(place)
        if process is not None and process.returncode is None:
            process.send_signal(number)

    def log(self, line: str) -> None:
        log_line(line)

    def over(self, crashed: bool) -> None:
        if not self.finished.done():
            self.finished.set_result(crashed)


async def _run(count: int) -> int:
    briefing = read_config(os.environ)
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    for place in range(count):
        child_config(briefing, place, count, None if allowed == resource.RLIM_INFINITY else allowed)
    return await ProcessRunner(briefing, count).run()


def main(count: int) -> int:
    """Exit 0: told to end, and all children did. 1: one had to be killed. 2: bad configuration."""
    return run_with_exit_code(lambda: uvloop.run(_run(count)))
