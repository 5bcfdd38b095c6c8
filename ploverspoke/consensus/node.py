"""One replica on its storage and its sockets: drives a `Replica`.

One thread writes; while it syncs one batch, the next gathers. Proposals of one turn of the event loop are
one batch.
"""

import asyncio
import random
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ploverspoke.transport.rate_limited_log import log_line

from .admin_messages import WireMap
from .admin_requests import AdminRequests, status_fields
from .clock import ReplicatedClock
from .cluster_config import ReplicaConfig, initial_replica_id, split_address
from .log import PlainValue, StateMachine
from .membership import Member, Members, find_by_name
from .peer_links import PeerIdentity, PeerLinks, Reply
from .persisted_state import WriteBatch
from .raft_state import RaftTimeouts, Role
from .replica import Replica, RoleListener, Runtime
from .replica_driver import DriverCallbacks, ReplicaDriver, WriteCounters
from .storage import CorruptionError, ReplicaStorage, StorageError
from .storage_setup import open_storage
from .storage_thread import StorageThread
from .wire_messages import Message

REOPEN_DELAY = 0.5  # seconds, after the storage could not be written
HEARTBEATS_PER_ELECTION_TIMEOUT = 4

CommitCallback = Callable[[bool], None]
Command = msgspec.Struct | bytes | list[PlainValue]


class Proposal(NamedTuple):
    """A command that waits for the next batch."""

    command: PlainValue
    on_result: CommitCallback


class ReplicaNode:
    """A replica as its users see it. A service derives its own from it and overrides the hooks."""

    def __init__(
        self, config: ReplicaConfig, state_machine: StateMachine, storage: ReplicaStorage | None = None
    ) -> None:
        """Prepare a replica; nothing is opened yet. `storage` is that of the configuration, if not given."""
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
        self._proposals: list[Proposal] = []  # of this turn of the event loop
        self._tasks: set[asyncio.Task[None]] = set()

    # ---- Start and end ----

    async def open(self, new: bool = False, join: str = "") -> None:
        """Open storage and sockets, and take part.

        `new` sets up the storage of a new cluster, `join` that of a replica that joins the cluster with this
        fingerprint. Raises ClusterMismatchError, CorruptionError, StorageError or OSError.
        """
        self.loop = asyncio.get_running_loop()
        open_storage(self.storage, self.config, new, join)
        self.peer_links.identity = PeerIdentity(self.replica_id, self.storage.cluster_fingerprint)
        await self.peer_links.open(*split_address(self.config.replicas[self.config.name].peer))
        self.on_storage_opened()
        self._start_replica()

    async def close(self) -> None:
        """Stop, and close storage and sockets; also one that could not be opened."""
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
        runtime = Runtime(time.monotonic_ns, random.SystemRandom().random, self.peer_links.send)
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

    # ---- Use ----

    def leads(self) -> bool:
        """Whether this replica leads for certain: no other can lead now."""
        return self.replica is not None and self.replica.leads()

    def is_elected(self) -> bool:
        """Whether this replica is the leader of its term; whether no other is by now, `leads` says."""
        return self.replica is not None and self.replica.raft.role is Role.LEADER

    def is_in_contact(self, within: int) -> bool:
        """Whether this replica leads, or its leader has sent something `within` so many ns."""
        if self.replica is None:
            return False
        if self.is_elected():
            return self.replica.leads()
        return self.replica.raft.has_leader_contact_within(within)

    def members(self) -> Members:
        """Return the members by replica id, as they are known here."""
        if self.replica is None:
            return self.storage.persisted.members
        return self.replica.raft.members()

    def leader(self) -> Member | None:
        """Return the leader, as far as it is known here."""
        if self.replica is None:
            return None
        return self.replica.raft.members().get(self.replica.raft.leader_id)

    def leader_client_address(self) -> str:
        """Return the leader's address for clients; "" if no leader is known."""
        leader = self.leader()
        return leader.client_address if leader is not None else ""

    def propose(self, command: Command, on_result: CommitCallback) -> None:
        """Have a command committed. `on_result` is called later, not from here, with whether it was.

        False is no promise that it never will be. A struct goes into the log as its plain values.
        """
        if isinstance(command, msgspec.Struct):
            command = msgspec.to_builtins(command, builtin_types=(bytes,))
        if not self._proposals:
            self.loop.call_soon(self._propose_all)
        self._proposals.append(Proposal(command, on_result))

    def read(self, on_result: CommitCallback) -> None:
        """Call `on_result` with True once the state holds all that was committed before this call."""
        if self.replica is None:
            self.loop.call_soon(on_result, False)
        else:
            self.replica.read(on_result)
            self._schedule_step()

    def change_members(self, members: Members) -> bool:
        """Begin to replace the members; returns False if that cannot be now."""
        accepted = self.replica is not None and bool(self.replica.raft.change_members(members))
        if accepted:
            self._connect_to_members()
        self._schedule_step()
        return accepted

    def transfer(self, name: str) -> bool:
        """Begin to hand leadership to the voter of that name; returns False if this replica cannot."""
        if self.replica is None:
            return False
        accepted = self.replica.raft.transfer_leadership(find_by_name(self.members(), name))
        self._schedule_step()
        return accepted

    def status(self) -> WireMap:
        """Return the status as tools get it."""
        return status_fields(self)

    def save_value(self, key: str, value: object) -> None:
        """Write a value of this replica alone, beside the log, when the thread comes to it.

        A value that could not be written is not written again: an older one is found after a restart.
        """

        def on_done(error: Exception | None) -> None:
            if error is not None:
                log_line(f"store: {key} was not saved: {error}")

        self.storage_thread.submit(on_done, self.storage.save_value, key, value)

    # ---- Hooks ----

    def on_storage_opened(self) -> None:
        """The storage can be read; called before the state is restored from it."""

    def on_role_changed(self, role: Role, leader_id: str) -> None:
        """The role or the known leader has changed. Called in the middle of an event of consensus."""
        for listener in self.role_listeners:
            self.loop.call_soon(listener, role, leader_id)

    def state_status(self) -> msgspec.Struct | WireMap:
        """Return the part of the status that is about the state machine."""
        return {}

    def handle_state_request(self, request: WireMap, reply: Reply) -> bool:
        """Answer a tool's request about the state machine; returns False if it is none."""
        return False

    # ---- Events ----

    def _on_message(self, sender: str, message: Message) -> None:
        if self.replica is not None:
            self.replica.raft.receive(sender, message)
            self._schedule_step()

    def _propose_all(self) -> None:
        proposals, self._proposals = self._proposals, []
        callbacks = [proposal.on_result for proposal in proposals]

        def on_result(committed: bool) -> None:
            for callback in callbacks:
                self.loop.call_soon(callback, committed)

        if self.replica is None:
            on_result(False)
        else:
            self.replica.propose([proposal.command for proposal in proposals], on_result)
            self._schedule_step()

    def _schedule_step(self) -> None:
        if self._driver is not None:
            self._driver.schedule_step()

    def _connect_to_members(self) -> None:
        addresses = {replica_id: member.peer_address for replica_id, member in self.members().items()}
        addresses.pop(self.replica_id, None)
        self.peer_links.set_peers(addresses)

    # ---- Storage failures ----

    def _stop_replica(self, error: Exception) -> None:
        """Take no part until the storage can be written; what was not written counts as never received."""
        if self.replica is None or self._driver is None:
            return
        self._driver.stop()
        self._driver = None
        self.storage_error = str(error)
        self.storage_failures += 1
        log_line(f"store: the disk cannot be written, this replica stands aside: {error}")
        replica, self.replica = self.replica, None
        replica.stop()
        task = self.loop.create_task(self._reopen_storage())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reopen_storage(self) -> None:
        while not self.closed:
            await asyncio.sleep(REOPEN_DELAY)
            try:
                await self.storage_thread.run(self._reopen_and_write)
            except (StorageError, CorruptionError) as error:
                self.storage_error = str(error)
                continue
            self.storage_error = ""
            log_line("store: the disk can be written again")
            self._start_replica()
            return

    def _reopen_and_write(self) -> None:
        self.storage.reopen()
        # A vote that is written once more changes nothing, and shows whether the disk can be written.
        batch = WriteBatch()
        batch.vote = (self.storage.persisted.current_term, self.storage.persisted.voted_for)
        self.storage.write(batch)
