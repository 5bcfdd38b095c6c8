"""A replica with its storage and network connections: does the I/O of a `Replica`.

A single thread writes to storage. While it syncs one batch, the writes of the next are collected. Commands
that are proposed in the same iteration of the event loop are proposed together.
"""

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial

import msgspec

from ploverspoke.transport.rate_limited_log import log_line

from .admin_messages import WireMap
from .admin_requests import AdminRequests, status_fields
from .clock import ReplicatedClock
from .cluster_config import ReplicaConfig, initial_replica_id, split_address
from .isolated_callbacks import isolated
from .log import PlainValue, StateMachine
from .membership import Member, Members, find_by_name
from .peer_identity import PeerIdentity
from .peer_links import PeerLinks, Reply
from .proposal_queue import Command, CommitCallback, ProposalQueue
from .raft_state import RaftTimeouts, Role
from .replica import Replica, RoleListener, Runtime
from .replica_driver import DriverCallbacks, ReplicaDriver, WriteCounters
from .storage import ReplicaStorage, StorageError
from .storage_setup import open_storage, reopen_storage
from .storage_thread import StorageThread
from .wire_messages import Message

REOPEN_DELAY_S = 0.5  # before each attempt to reopen storage that could not be written
HEARTBEATS_PER_ELECTION_TIMEOUT = 4


class ReplicaNode:
    """The interface of a replica to its service, which derives a subclass and overrides the hooks."""

    def __init__(
        self, config: ReplicaConfig, state_machine: StateMachine, storage: ReplicaStorage | None = None
    ) -> None:
        """Prepare a replica without opening it. `storage` defaults to the one in the configured folder."""
        self.config = config
        self.replica_id = initial_replica_id(config.name)
        self.state_machine = state_machine
        self.storage = storage or ReplicaStorage(config.folder)
        self.storage_thread = StorageThread()
        self.clock = ReplicatedClock(time.monotonic_ns)
        self.replica: Replica | None = None  # None: the storage cannot be used
        admin_requests = AdminRequests(self)
        identity = PeerIdentity(self.replica_id, cluster_fingerprint="")
        self.peer_links = PeerLinks(config.secret, identity, self._on_message, admin_requests.handle)
        self.role_listeners: list[RoleListener] = []
        self.closed = False
        self.storage_error = ""  # "": the storage can be used
        self.storage_failures = 0
        self.write_counters = WriteCounters()
        self._driver: ReplicaDriver | None = None  # None: the storage cannot be used
        self._proposals = ProposalQueue(self._propose_batch)
        self._tasks: set[asyncio.Task[None]] = set()

    # ---- Start and stop ----

    async def open(self, new: bool = False, join: str = "") -> None:
        """Open storage and sockets, and take part in consensus.

        `new` initializes empty storage for a new cluster, `join` for joining the cluster with that
        fingerprint. Raises ClusterMismatchError, CorruptionError, StorageError or OSError.
        """
        self.loop = asyncio.get_running_loop()
        open_storage(self.storage, self.config, new, join)
        self.peer_links.identity = PeerIdentity(self.replica_id, self.storage.cluster_fingerprint)
        await self.peer_links.open(*split_address(self.config.replicas[self.config.name].peer))
        self.on_storage_opened()
        self._start_replica()

    async def close(self) -> None:
        """Stop, and close storage and sockets. May also be called after `open` has failed."""
        self.closed = True
        if self._driver is not None:
            self._driver.stop()
        self.peer_links.close()
        await self.storage_thread.run(self.storage.close)
        self.storage_thread.close()

    def _start_replica(self) -> None:
        self.state_machine.restore_snapshot(b"")
        election = self.config.election_timeout
        timeouts = RaftTimeouts(election, heartbeat=election // HEARTBEATS_PER_ELECTION_TIMEOUT)
        runtime = Runtime(time.monotonic_ns, random.SystemRandom().random, self.peer_links.send, log_line)
        replica = Replica(self.replica_id, self.storage.persisted, self.state_machine, runtime, timeouts)
        replica.role_listeners.append(self.on_role_changed)
        self.replica = replica
        self._driver = ReplicaDriver(
            replica,
            self.storage,
            self.storage_thread,
            self.config.snapshot_every,
            self.write_counters,
            DriverCallbacks(self._connect_to_members, self._stop_replica),
        )
        self._connect_to_members()
        self._driver.schedule_step()

    # ---- Operations ----

    def leads(self) -> bool:
        """Whether this replica is the leader and, by its lease, no other replica can lead now."""
        return self.replica is not None and self.replica.leads()

    def is_elected(self) -> bool:
        """Whether this replica is the leader of its term; unlike `leads`, another may lead a later term."""
        return self.replica is not None and self.replica.raft.role is Role.LEADER

    def has_leader_contact_within(self, duration_ns: int) -> bool:
        """Whether this replica leads, or its leader has sent a message within the last `duration_ns`."""
        if self.replica is None:
            return False
        if self.is_elected():
            return self.replica.leads()
        return self.replica.raft.has_leader_contact_within(duration_ns)

    def members(self) -> Members:
        """Return the members by replica id, as this replica knows them."""
        if self.replica is None:
            return self.storage.persisted.members
        return self.replica.raft.members()

    def leader(self) -> Member | None:
        """Return the leader, or None if this replica knows of none."""
        if self.replica is None:
            return None
        return self.replica.raft.members().get(self.replica.raft.leader_id)

    def leader_client_address(self) -> str:
        """Return the leader's address for clients; "" if no leader is known."""
        leader = self.leader()
        return leader.client_address if leader is not None else ""

    def propose(self, command: Command, on_result: CommitCallback) -> None:
        """Propose a command. `on_result` is called after this returns, with whether it was committed.

        False does not mean that it will never be committed. A struct is written to the log as plain values.
        A command that cannot be encoded, or is too large for a message, is logged and not proposed.
        """
        self._proposals.add(command, on_result)

    def read_barrier(self, on_result: CommitCallback) -> None:
        """Call `on_result` with True once the state includes all that was committed before this call.

        False means that this could not be confirmed.
        """
        replica = self.replica
        if replica is None:
            self.loop.call_soon(on_result, False)
        else:
            self._run_in_replica(lambda: replica.read_barrier(isolated(on_result)))

    def change_members(self, members: Members) -> bool:
        """Start replacing the members; return False if that is not possible now."""
        accepted = False

        def change(replica: Replica) -> None:
            """Propose the members, and connect to the new ones."""
            nonlocal accepted
            accepted = bool(replica.raft.change_members(members))
            if accepted:
                self._connect_to_members()

        if self.replica is not None:
            self._run_in_replica(partial(change, self.replica))
        return accepted

    def transfer_leadership(self, name: str) -> bool:
        """Start transferring leadership to the voter of that name; return False if that is not possible."""
        accepted = False

        def transfer(replica: Replica) -> None:
            """Start the transfer."""
            nonlocal accepted
            accepted = replica.raft.transfer_leadership(find_by_name(self.members(), name))

        if self.replica is not None:
            self._run_in_replica(partial(transfer, self.replica))
        return accepted

    def status(self) -> WireMap:
        """Return the status as tools receive it."""
        return status_fields(self)

    def save_value(self, key: str, value: object) -> None:
        """Queue the write of a value that belongs to this replica alone and is kept outside the log.

        A failed write is logged and not retried: after a restart, the previous value is read.
        """

        def on_done(error: Exception | None) -> None:
            if error is not None:
                log_line(f"store: {key} was not saved: {error}")

        self.storage_thread.submit(on_done, self.storage.save_value, key, value)

    # ---- Hooks ----

    def on_storage_opened(self) -> None:
        """Called when the storage can be read, before the state is restored from it."""

    def on_role_changed(self, role: Role, leader_id: str) -> None:
        """Called while consensus handles an event that changed the role or the known leader."""
        for listener in self.role_listeners:
            self.loop.call_soon(listener, role, leader_id)

    def state_status(self) -> msgspec.Struct | WireMap:
        """Return the part of the status that describes the state machine."""
        return {}

    def handle_state_request(self, request: WireMap, reply: Reply) -> bool:
        """Answer a tool's request to the state machine; return False if it is not such a request."""
        return False

    # ---- Events ----

    def _on_message(self, sender: str, message: Message) -> None:
        replica = self.replica
        if replica is not None:
            self._run_in_replica(lambda: replica.raft.receive(sender, message))

    def _propose_batch(self, commands: list[PlainValue], on_result: CommitCallback) -> None:
        replica = self.replica
        if replica is not None:
            self._run_in_replica(lambda: replica.propose(commands, on_result))
        if replica is None or self.replica is not replica:
            on_result(False)

    def _run_in_replica(self, call: Callable[[], None]) -> None:
        """Run a call that changes the replica's state, and write what follows from it."""
        if self._driver is not None:
            self._driver.run(call)
        if self._driver is not None:
            self._driver.schedule_step()

    def _connect_to_members(self) -> None:
        addresses = {replica_id: member.peer_address for replica_id, member in self.members().items()}
        addresses.pop(self.replica_id, None)
        self.peer_links.set_peers(addresses)

    # ---- Storage failures ----

    def _stop_replica(self, error: Exception) -> None:
        """Leave consensus and begin again from storage; unwritten data counts as never received."""
        if self.replica is None or self._driver is None:
            return
        self.storage_error = str(error)
        self.storage_failures += 1
        cause = "the disk cannot be written" if isinstance(error, StorageError) else "an internal error"
        log_line(f"store: {cause}, this replica stands aside: {error}")
        task = self.loop.create_task(self._reopen_storage())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._discard_replica()

    def _discard_replica(self) -> None:
        """Stop the replica, if there is one; proposals and reads that wait for it fail."""
        driver, self._driver = self._driver, None
        replica, self.replica = self.replica, None
        if driver is not None:
            driver.stop()
        if replica is not None:
            replica.stop()

    async def _reopen_storage(self) -> None:
        while not self.closed:
            await asyncio.sleep(REOPEN_DELAY_S)
            try:
                await self.storage_thread.run(reopen_storage, self.storage)
                if not self.closed:
                    self._start_replica()
            except Exception as error:  # whatever it is, the next attempt must follow
                self._on_reopen_failed(error)
                continue
            self.storage_error = ""
            log_line("store: the disk can be written again")
            return

    def _on_reopen_failed(self, error: Exception) -> None:
        """Stop a replica that has been started only in part, and log a reason that is new."""
        if str(error) != self.storage_error:
            log_line(f"store: this replica cannot begin again yet: {error!r}")
        self.storage_error = str(error)
        self._discard_replica()
