"""The fake workers of an experiment: worker models, each behind a listening socket.

They follow the faults of the experiment; `recording_workers` has simpler ones without a model, for the soak.
Dispatchers are identified by their source addresses, so that zones, network partitions and latencies can be
simulated on loopback.
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
    WorkerOverloadReport,
    WorkerRecoveryReport,
    WorkersOpened,
    WorkersStatus,
    WorkerStatus,
)
from .fake_process import FakeProcess
from .worker_connection import WorkerConnection

BACKLOG = 256  # connections


class WorkerListener:
    """One worker's listening socket. Its port stays reserved while the worker is down."""

    def __init__(self, workers: "FakeWorkers", worker: Worker) -> None:
        """Reserve a port; the worker listens after `open`."""
        self.workers = workers
        self.worker = worker
        experiment = workers.experiment
        # Within a zone, nothing is added to the machine's own latency.
        self.extra_delays_ns = [
            max(0, experiment.one_way_latency(zone, worker.zone) - experiment.network.same_zone)
            for zone in range(len(experiment.zones()))
        ]  # by zone of the dispatcher
        self.connections: set[WorkerConnection] = set()
        self.server: asyncio.Server | None = None
        self.host = workers.spec.fake_hosts["workers"]
        self.reserved_socket = bind_without_listening(self.host, 0)
        self.port: int = self.reserved_socket.getsockname()[1]

    async def open(self) -> None:
        """Start listening."""
        self.server = await asyncio.get_running_loop().create_server(
            lambda: WorkerConnection(self), sock=bind_without_listening(self.host, self.port), backlog=BACKLOG
        )

    def close(self) -> None:
        """Stop listening and reset all connections, as when the process has died."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.abort()

    def one_way_delay(self, zone: int) -> int:
        """Return the latency to add for dispatchers of that zone, in ns."""
        return self.extra_delays_ns[zone]

    def is_cut(self, zone: int) -> bool:
        """Whether a network partition separates this worker from that zone."""
        partitions = self.workers.partitions
        return partitions is not None and partitions.separates(zone, self.worker.zone)


class FakeWorkers(FakeProcess):
    """A process with all workers of some zones; only workers of one process share racks and the store."""

    def __init__(self, spec: FakeProcessSpec, number: int) -> None:
        """Create the workers of every zone whose number is `number` modulo the number of processes."""
        super().__init__(spec, number)
        self.jobs: list[ScheduledRequest] = draw_schedule(self.experiment, self.seed)
        self.fleet = WorkerFleet(self.context)
        self.fleet.workers = {
            name: worker
            for name, worker in self.fleet.workers.items()
            if worker.zone % spec.worker_processes == number
        }
        self.draws = RandomStreams(self.seed).draws("sockets")
        self.connection_faults = ConnectionFaults()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listeners = {name: WorkerListener(self, worker) for name, worker in self.fleet.workers.items()}
        self.partitions: NetworkPartitions | None = None  # None until the run starts: no partitions

    def shift_clock(self, nanoseconds: int) -> None:
        """Shift the recorded times, and discard the load reports, whose times are no longer valid."""
        super().shift_clock(nanoseconds)
        for worker in self.fleet.workers.values():
            worker.reporter.clear()

    async def prepare(self) -> WorkersOpened:
        """Start listening for all workers; returns their addresses."""
        descriptor_limit()
        for listener in self.listeners.values():
            await listener.open()
        return WorkersOpened(
            {name: f"{listener.host}:{listener.port}" for name, listener in self.listeners.items()}
        )

    def on_run_start(self, command: FakeCommand) -> None:
        """Schedule the faults of the experiment."""
        self.partitions = NetworkPartitions(self.experiment, self.clock)
        workers = list(self.fleet.workers.values())
        WorkerFaults(self.context, workers, self.connection_faults, self)
        schedule_store_faults(self.context, self.fleet.store)

    def status(self) -> WorkersStatus:
        """Return the state of each worker."""
        workers = self.fleet.workers
        return WorkersStatus(
            running=sum(len(worker.executor.running) for worker in workers.values()),
            workers={
                name: WorkerStatus(_worker_state(worker), worker.load(), worker.last_serial)
                for name, worker in workers.items()
            },
        )

    def find_job(self, request_id: str) -> ScheduledRequest | None:
        """Return the scheduled request to which an id belongs, or None for an id that no client sends."""
        number, dash, _ = request_id.partition("-")
        try:
            return self.jobs[int(number, 16)] if dash else None
        except (ValueError, IndexError):
            return None

    def worker_died(self, worker: Worker) -> None:
        """Stop listening for the worker and reset its connections."""
        self.listeners[worker.name].close()

    def worker_started(self, worker: Worker) -> None:
        """Listen for the worker again."""
        task = self.loop.create_task(self.listeners[worker.name].open())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def worker_overloaded(self, worker: Worker) -> None:
        """Report the crash, for discovery."""
        send_message(WorkerOverloadReport(worker.name))

    def worker_recovered(self, worker: Worker) -> None:
        """Report the recovery, for discovery."""
        send_message(WorkerRecoveryReport(worker.name))


def _worker_state(worker: Worker) -> str:
    if not worker.is_up:
        return "down"
    if worker.is_hung:
        return "hung"
    if worker.warm_at > worker.clock.now():
        return "cold"
    return "slow" if worker.faults.slowdowns else "up"
