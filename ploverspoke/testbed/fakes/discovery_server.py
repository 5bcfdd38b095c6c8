"""The fake discovery of an experiment: the discovery model behind a socket.

It follows the faults of the experiment. `faulty_discovery` has another fake, whose failures are set by its
caller. Dispatchers are identified by the addresses from which they connect.
"""

import time

from ..experiment_files.durations import MILLISECOND
from ..models.connection_faults import NetworkPartitions
from ..models.discovery import DiscoveryCall, DiscoveryModel, EndpointEntry, EndpointUpdate
from ..models.discovery_faults import DiscoveryFaults
from ..models.event_records import EndpointStatus
from ..models.random_streams import RandomStreams
from ..models.worker_fleet import WorkerFleet
from ..processes.pipe_messages import send_message
from .discovery_protocol import (
    LIST_PATH,
    EndpointListUpdate,
    ListedEndpoint,
    encode_list_update,
    parse_list_query,
)
from .dispatcher_connection import DispatcherConnection
from .fake_messages import (
    AnsweredCount,
    DiscoveryOpened,
    DiscoveryStatus,
    FakeCommand,
    FakeProcessSpec,
)
from .fake_process import FakeProcess
from .http_wire import HttpMessage, HttpSyntaxError, encode_response

LISTED_STATES = {
    EndpointStatus.READY: "Ready",
    EndpointStatus.DRAINING: "Terminating",
    EndpointStatus.GONE: "Gone",
}
MAX_HOLD_MS = 60_000  # longest wait of a watch
EXTRA_BACKLOG = 64  # connections, beside one for each dispatcher


class DiscoveryConnection(DispatcherConnection):
    """One connection of a dispatcher; the answers to calls that wait when it ends are dropped."""

    def __init__(self, discovery: "FakeDiscovery") -> None:
        """Create the protocol of a connection that is not open yet."""
        super().__init__(discovery, "discovery")
        self.discovery = discovery

    def data_received(self, data: bytes) -> None:
        """Pass the received calls to the discovery model."""
        if self.discovery.model.is_unreachable(self.dispatcher):
            return
        try:
            super().data_received(data)
        except (HttpSyntaxError, ValueError):
            self.write(encode_response(400, "Bad Request", b""))

    def on_message(self, message: HttpMessage) -> None:
        """Pass a call to the discovery model.

        Raises:
            ValueError: a parameter of the call is not a number.
        """
        query = parse_list_query(message)
        if query.path != LIST_PATH:
            self.write(encode_response(404, "Not Found", b""))
            return
        hold = min(MAX_HOLD_MS, query.hold_ms) * MILLISECOND
        self.discovery.model.call(DiscoveryCall(self.dispatcher, query.version, self._answer), hold)

    def _answer(self, answer: EndpointUpdate | None) -> None:
        if answer is None:
            self.write(encode_response(503, "Service Unavailable", b"", "Connection: close\r\n"))
            if self.transport is not None and not self.discovery.model.is_unreachable(self.dispatcher):
                self.transport.close()
            return
        version, is_full, entries = answer
        endpoints = [self.discovery.to_listed_endpoint(entry) for entry in entries]
        self.write(encode_list_update(EndpointListUpdate(version, is_full, endpoints)))

    def write(self, data: bytes) -> None:
        """Send a response, unless the dispatcher is unreachable."""
        if not self.discovery.model.is_unreachable(self.dispatcher):
            super().write(data)


class FakeDiscovery(FakeProcess):
    """The process of the fake discovery."""

    def __init__(self, spec: FakeProcessSpec, number: int) -> None:
        """List all workers of the experiment as ready."""
        super().__init__(spec, number)
        draws = RandomStreams(self.seed).draws("discovery")
        self.model = DiscoveryModel(self.experiment.discovery, self.clock, self.records, draws)
        fleet = WorkerFleet(self.context)
        for name, worker in fleet.workers.items():
            self.model.add(
                EndpointEntry(name, worker.zone, worker.kind, fleet.rack_of[name], EndpointStatus.READY, 0)
            )
        self.worker_addresses: dict[str, str] = {}  # by worker
        self.zones, self.kinds = self.experiment.zones(), self.experiment.machine_kinds()

    async def prepare(self) -> DiscoveryOpened:
        """Start listening; returns the address."""
        host = self.spec.fake_hosts["discovery"]
        backlog = len(self.dispatcher_by_host) + EXTRA_BACKLOG
        server = await self.loop.create_server(lambda: DiscoveryConnection(self), host, 0, backlog=backlog)
        return DiscoveryOpened(f"{host}:{server.sockets[0].getsockname()[1]}")

    def shift_clock(self, nanoseconds: int) -> None:
        """Shift the recorded times, and the time until which the model is busy with calls."""
        super().shift_clock(nanoseconds)
        self.model.busy_until += nanoseconds

    def on_command(self, command: FakeCommand) -> None:
        """Store worker addresses, count answered dispatchers, or apply a worker's overload or recovery.

        The addresses come before the run starts, because dispatchers query the list from their start on.
        """
        if command.workers:
            self.worker_addresses = command.workers
        elif command.asks_for_answered_count:
            send_message(AnsweredCount(sum(traffic.bytes_in > 0 for traffic in self.counters.traffic)))
        elif command.overloaded_worker:
            self.faults.worker_overloaded(command.overloaded_worker)
        elif command.recovered_worker:
            self.faults.worker_recovered(command.recovered_worker)

    def on_run_start(self, command: FakeCommand) -> None:
        """Schedule the faults of the experiment."""
        self.faults = DiscoveryFaults(self.context, self.model)
        partitions, zones = NetworkPartitions(self.experiment, self.clock), len(self.zones)
        self.model.is_unreachable = lambda dispatcher: not partitions.reaches_discovery(dispatcher % zones)

    def status(self) -> DiscoveryStatus:
        """Return the version of the list."""
        return DiscoveryStatus(version=self.model.version)

    def to_listed_endpoint(self, entry: EndpointEntry) -> ListedEndpoint:
        """Return the model's entry as the wire protocol has it, with the start in Unix time."""
        unix_time_of_epoch = time.time_ns() - time.monotonic_ns() + self.clock.epoch
        started_ms = (entry.started_at + unix_time_of_epoch) // MILLISECOND if entry.started_at else 0
        return ListedEndpoint(
            id=entry.worker,
            addr=self.worker_addresses[entry.worker],
            zone=self.zones[entry.zone],
            kind=self.kinds[entry.kind],
            rack=entry.rack,
            state=LISTED_STATES[entry.condition],
            weight=1.0,
            started_ms=started_ms,
        )
