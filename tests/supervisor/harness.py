"""Test harness: fake child processes, and the real supervisor with the fake workers of `ServiceHarness`."""

import json
import subprocess
import sys
from pathlib import Path

from ploverspoke.supervisor.supervisor import ProcessSupervisor
from ploverspoke.testbed.processes.addresses import reserve_ports
from ploverspoke.transport.units import SECOND
from tests.example_config import EXAMPLE
from tests.routing.harness import ServiceHarness


class FakeProcesses:
    """`SupervisorActions` whose processes are numbers and whose clock the test controls."""

    def __init__(self, count: int) -> None:
        self.clock = 100 * SECOND
        self.alive: set[int] = set()
        self.stop_requests: list[int] = []
        self.killed: list[int] = []
        self.log_lines: list[str] = []
        self.starts: list[tuple[int, int]] = []  # time, index
        self.shutdown_result: bool | None = None
        self.start_fails = False
        self.supervisor = ProcessSupervisor(self, count)

    @classmethod
    def started(cls, count: int) -> "FakeProcesses":
        """Create an instance whose slots are all filled and ready."""
        processes = cls(count)
        processes.supervisor.start_all()
        processes.report_all_ready()
        return processes

    # ---- SupervisorActions ----

    def now(self) -> int:
        return self.clock

    def start_child(self, index: int) -> None:
        if self.start_fails:
            raise OSError("cannot create a process")
        assert index not in self.alive, "two processes in one slot"
        self.alive.add(index)
        self.starts.append((self.clock, index))

    def stop_child(self, index: int) -> None:
        assert index in self.alive
        self.stop_requests.append(index)

    def kill_child(self, index: int) -> None:
        self.killed.append(index)
        self.exit(index, -9)

    def log(self, line: str) -> None:
        self.log_lines.append(line)

    def on_all_stopped(self, any_killed: bool) -> None:
        assert not self.alive and self.shutdown_result is None
        self.shutdown_result = any_killed

    # ---- Events ----

    def exit(self, index: int, status: int = 1) -> None:
        self.alive.discard(index)
        self.supervisor.on_child_exited(index, status)

    def pass_time(self, duration: int) -> None:
        end = self.clock + duration
        while (due := self.supervisor.next_tick()) is not None and due <= end:
            self.clock = max(self.clock, due)
            self.supervisor.tick()
        self.clock = end

    def report_all_ready(self) -> None:
        for index in sorted(self.alive):
            self.supervisor.on_child_ready(index)


class SupervisedDispatchers:
    """The real command with several processes, in front of the fake workers of `ServiceHarness`."""

    def __init__(self, folder: Path, harness: ServiceHarness, discovery: str, count: int) -> None:
        [self.port] = reserve_ports(1)
        self.config_path = folder / "c.json"
        self.document = {
            **EXAMPLE,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "known": {"version": 1, "full": True, "servers": harness.entries},
        }
        self.config_path.write_text(json.dumps(self.document))
        arguments = ["-m", "ploverspoke", "serve", str(self.config_path), "--processes", str(count)]
        self.log_path = folder / "log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen([sys.executable, *arguments], stderr=log)

    def children(self) -> list[int]:
        """Return the process ids of the children."""
        listing = Path(f"/proc/{self.process.pid}/task/{self.process.pid}/children")
        return [int(pid) for pid in listing.read_text().split()]

    def count_logged(self, text: str) -> int:
        """Return how often the log contains this text."""
        return self.log_path.read_text().count(text)
