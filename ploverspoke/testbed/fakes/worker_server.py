"""The fake workers of an experiment: the worker models, each behind a listening socket.

They follow the faults of the experiment; `recording_workers` has simpler ones without a model, for the soak.
Dispatchers are known by their addresses, so that loopback can have zones, cuts and latencies.
"""

import asyncio

from ..models.connection_faults import ConnectionFaults, NetworkPartitions
from ..models.random_streams import RandomStreams
from ..models.request_schedule import ScheduledRequest, draw_schedule
from ..models.worker import Worker
from ..models.worker_faults import WorkerFaults, schedule_store_faults
from ..models.worker_fleet import WorkerFleet
from ..processes.addresses import bind_without_listening
from ..processes.capacity_check import descriptor_limit
from ..processes.pipe_messages import send_message
from .fake_messages import (
    FakeCommand,
    FakeProcessSpec,
    WorkerFell,
    WorkerReturned,
    WorkersOpened,
    WorkersStatus,
    WorkerStatus,
)
from .fake_process import FakeProcess
from .worker_connection import WorkerConnection

BACKLOG = 256


class WorkerListener:
    """One worker's socket. Its port stays reserved while the worker is down."""

    def __init__(self, workers: "FakeWorkers", worker: Worker) -> None:
        """Reserve a port."""
        self.workers = workers
        self.worker = worker
        experiment = workers.experiment
        # Latency within a zone is the machine's own.
        self.extra_delays = [
            max(0, experiment.one_way(zone, worker.zone) - experiment.network.same_zone)
            for zone in range(len(experiment.zones()))
        ]  # ns, by zone of the dispatcher
        self.connections: set[WorkerConnection] = set()
        self.server: asyncio.Server | None = None
        self.host = workers.spec.own_hosts["workers"]
        self.reserved = bind_without_listening(self.host, 0)
        self.port: int = self.reserved.getsockname()[1]

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: WorkerConnection(self), sock=bind_without_listening(self.host, self.port), backlog=BACKLOG
        )

    def close(self) -> None:
        """Listen no more and reset all connections, as when a process has died."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.abort()

    def one_way_delay(self, zone: int) -> int:
        """Return the latency to add for dispatchers of that zone, in ns."""
        return self.extra_delays[zone]

    def is_cut(self, zone: int) -> bool:
        """Whether nothing passes between this worker and that zone."""
        partitions = self.workers.partitions
        return partitions is not None and partitions.separates(zone, self.worker.zone)


class FakeWorkers(FakeProcess):
    """The process of all workers of some zones; racks and the store are shared within a process."""

    def __init__(self, spec: FakeProcessSpec, part: int) -> None:
        """The workers of every zone whose number gives `part`, modulo the number of processes."""
        super().__init__(spec, part)
        self.jobs: list[ScheduledRequest] = draw_schedule(self.experiment, self.seed)
        self.fleet = WorkerFleet(self.context)
        self.fleet.workers = {
            name: worker
            for name, worker in self.fleet.workers.items()
            if worker.zone % spec.worker_processes == part
        }
        self.draws = RandomStreams(self.seed).draws("sockets")
        self.connections = ConnectionFaults()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listeners = {name: WorkerListener(self, worker) for name, worker in self.fleet.workers.items()}
        self.partitions: NetworkPartitions | None = None  # None: the run has not begun, nothing is cut

    def shift_clock(self, nanoseconds: int) -> None:
        """Forget also the load reports, whose times no longer hold."""
        super().shift_clock(nanoseconds)
        for worker in self.fleet.workers.values():
            worker.reporter.clear()

    async def prepare(self) -> WorkersOpened:
        """Listen for all workers."""
        descriptor_limit()
        for listener in self.listeners.values():
            await listener.open()
        return WorkersOpened({name: f"{each.host}:{each.port}" for name, each in self.listeners.items()})

    def begin(self, command: FakeCommand) -> None:
        """Set off the faults of the experiment."""
        self.partitions = NetworkPartitions(self.experiment, self.clock)
        workers = list(self.fleet.workers.values())
        WorkerFaults(self.context, workers, self.connections, self)
        schedule_store_faults(self.context, self.fleet.store)

    def status(self) -> WorkersStatus:
        """Return the state of each worker."""
        workers = self.fleet.workers
        return WorkersStatus(
            running=sum(len(worker.executor.running) for worker in workers.values()),
            workers={
                name: WorkerStatus(_state(worker), worker.load(), worker.last_serial)
                for name, worker in workers.items()
            },
        )

    def job(self, request_id: str) -> ScheduledRequest | None:
        """Return the job of the schedule that an id belongs to, None for ids that no client sends."""
        number, dash, _ = request_id.partition("-")
        try:
            return self.jobs[int(number, 16)] if dash else None
        except (ValueError, IndexError):
            return None

    def worker_died(self, worker: Worker) -> None:
        """Close its socket."""
        self.listeners[worker.name].close()

    def worker_started(self, worker: Worker) -> None:
        """Listen for it again."""
        task = self.loop.create_task(self.listeners[worker.name].open())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def worker_overloaded(self, worker: Worker) -> None:
        """Report it for discovery."""
        send_message(WorkerFell(worker.name))

    def worker_recovered(self, worker: Worker) -> None:
        """Report it for discovery."""
        send_message(WorkerReturned(worker.name))


def _state(worker: Worker) -> str:
    if not worker.is_up:
        return "down"
    if worker.is_hung:
        return "hung"
    if worker.warm_at > worker.clock.now():
        return "cold"
    return "slow" if worker.faults.slowdowns else "up"
