"""Child processes of the benchmarks, each on one core, and the experiment and endpoint list they run with."""

import os
import subprocess
import sys
from collections.abc import Callable
from typing import TypeVar

import msgspec

from ..experiment_files.experiment import Experiment
from ..experiment_files.reader import parse_experiment
from ..fakes.discovery_protocol import EndpointListUpdate, ListedEndpoint
from ..fakes.instant_workers import WorkerPorts
from ..fakes.load_generator import LoadPlan, LoadResult

FAKES = "ploverspoke.testbed.fakes"
WORKERS = 8
WORKER_SLOTS = 4
IDS_PER_LOAD = 10_000_000  # request ids reserved for each load, so that no two loads share an id

Log = Callable[[str], None]
Message = TypeVar("Message")


class BenchProcess:
    """A Python process on one core that prints JSON lines."""

    def __init__(self, arguments: list[str], core: int, **environment: str) -> None:
        """Start `python ARGUMENTS` on that core, with additional environment variables."""
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
            env={**os.environ, **environment},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        os.sched_setaffinity(self.process.pid, {core})

    def read(self, message_type: type[Message]) -> Message:
        """Read the next line of its output as a message.

        Raises:
            msgspec.DecodeError: the process has ended, or the line is not a message of that type.
        """
        assert self.process.stdout is not None
        return msgspec.json.decode(self.process.stdout.readline(), type=message_type)

    def stop(self) -> None:
        """Terminate the process and wait until it has ended."""
        self.process.terminate()
        self.process.wait()


class InstantWorkers:
    """A process with workers that answer immediately."""

    def __init__(self, count: int, core: int) -> None:
        """Start the process and read the ports of its workers."""
        self.process = BenchProcess(["-m", f"{FAKES}.instant_workers", str(count)], core)
        self.ports = self.process.read(WorkerPorts).ports


class LoadRunner:
    """Runs load generators one after the other, on one core."""

    def __init__(self, core: int, seconds: float) -> None:
        """Prepare loads that each run for `seconds`."""
        self.core = core
        self.seconds = seconds
        self.next_first_id = 1

    def run(self, port: int, clients: int, rate: float, request_class: str) -> LoadResult:
        """Run a load; `rate` is requests a second in an open loop, 0 for a closed one."""
        plan = LoadPlan(port, clients, self.seconds, rate, request_class, self.next_first_id)
        self.next_first_id += IDS_PER_LOAD
        generator = BenchProcess(["-m", f"{FAKES}.load_generator", *map(str, plan)], self.core)
        result = generator.read(LoadResult)
        generator.process.wait()
        return result


def endpoint_list(worker_ports: list[int]) -> EndpointListUpdate:
    """Return an endpoint list of the workers at these ports, for the configuration of a dispatcher."""
    return EndpointListUpdate(
        version=1,
        is_full=True,
        endpoints=[
            ListedEndpoint(
                id=f"w{number}",
                addr=f"127.0.0.1:{port}",
                zone="a",
                kind="plain",
                state="Ready",
                weight=1.0,
                started_ms=0,
            )
            for number, port in enumerate(worker_ports)
        ],
    )


def bench_experiment(
    request_classes: list[dict[str, object]], workers: int, duration: str, rate: float
) -> Experiment:
    """Return an experiment with one dispatcher; classes and duration have the form of an experiment file."""
    return parse_experiment(
        {
            "name": f"{workers} workers",
            "lasts": duration,
            "dispatchers": {"count": 1},
            "grades": request_classes,
            "workers": [{"count": workers, "slots": WORKER_SLOTS}],
            "traffic": [{"rate": rate}],
        }
    )
