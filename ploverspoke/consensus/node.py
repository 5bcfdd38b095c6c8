"""One replica on a disk and on sockets: a thin driver of `Replica` and of whatever state it keeps.

One thread writes; while it syncs one batch, the next gathers. Proposals of one turn of the loop go as one.
"""

import asyncio
import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

from ploverspoke.transport.rate_limited_log import log_line

from .clock import ReplicatedClock
from .cluster_config import ReplicaConfig, initial_replica_id
from .log import EntryKind, Snapshot, StateMachine
from .membership import Member, Members, find_by_name, fingerprint
from .peer_links import PeerIdentity, PeerLinks
from .peer_links import Reply as Reply
from .persisted_state import WriteBatch
from .raft import Role
from .replica import Replica
from .storage import ClusterMismatchError, CorruptionError, ReplicaStorage, StorageError

EMPTY = (
    "a new store begins with --new on all of its replicas; a replica whose disk was lost is removed from the "
    "store and added under another name, and starts with --join"
)
TRY_AGAIN = 0.5  # seconds, after the disk could not be written
CommitCallback = Callable[[bool], None]
Command = msgspec.Struct | bytes | list[Any]
RoleListener = Callable[[Role, str], None]


class ReplicaNode:
    def __init__(
        self, config: ReplicaConfig, state_machine: StateMachine, storage: ReplicaStorage | None = None
    ) -> None:
        self.config = config
        self.replica_id = initial_replica_id(config.name)
        self.storage = storage or ReplicaStorage(config.folder)
        self.state_machine = state_machine
        self.clock = ReplicatedClock(time.monotonic_ns)
        self.replica: Replica | None = None  # None: the disk is in trouble
        identity = PeerIdentity(self.replica_id, "")
        self.peer_links = PeerLinks(config.secret, identity, self._heard, self._asked)
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="store")
        self.writing = False
        self.pumping = False
        self.snapshotting = False
        self.proposals: list[tuple[Any, CommitCallback]] = []
        self.role_listeners: list[RoleListener] = []
        self.timer: asyncio.TimerHandle | None = None
        self.timer_for = 0
        self.storage_error = ""
        self.storage_failures = 0
        self.batches = 0
        self.written = 0
        self.closed = False
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, new: bool = False, join: str = "") -> None:
        """`new`: the first start of a new store; `join`: the mark of the store that is joined.

        Raises ClusterMismatchError, CorruptionError, StorageError or OSError.
        """
        self.loop = asyncio.get_running_loop()
        self.storage.open()
        mark = join or fingerprint(self.config.cluster, self.config.members())
        if not self.storage.replica_id and (new or join):
            self.storage.initialize(self.replica_id, mark, self._first_members(joins=bool(join)))
        self._check_storage(mark if new or join else self.storage.cluster_fingerprint)
        self.peer_links.identity = PeerIdentity(self.replica_id, self.storage.cluster_fingerprint)
        host, _, port = self.config.replicas[self.config.name].peer.rpartition(":")
        await self.peer_links.open(host.strip("[]"), int(port))
        self.on_storage_opened()
        self._begin()

    def _first_members(self, joins: bool) -> Members:
        members = self.config.members()
        if not joins:
            return members
        # It stands for no election until the leader has brought it up to date and made it a voter.
        return {
            replica_id: msgspec.structs.replace(member, votes=False) for replica_id, member in members.items()
        }

    def _check_storage(self, cluster_fingerprint: str) -> None:
        storage = self.storage
        if not storage.replica_id:
            raise ClusterMismatchError(storage.path, f"is empty: {EMPTY}")
        if storage.replica_id != self.replica_id:
            raise ClusterMismatchError(
                storage.path, f"is the store of {storage.replica_id}, not of {self.replica_id}"
            )
        if storage.cluster_fingerprint != cluster_fingerprint:
            raise ClusterMismatchError(storage.path, "is of a store with another name or with other replicas")

    def on_storage_opened(self) -> None:
        """The disk can be read: before the state is put together from it."""

    def _begin(self) -> None:
        self.state_machine.restore_snapshot(b"")
        heartbeat = self.config.election_timeout // 4
        self.replica = Replica(
            self.replica_id,
            self.storage.persisted,
            self.state_machine,
            time.monotonic_ns,
            random.SystemRandom().random,
            self._send,
            election=self.config.election_timeout,
            heartbeat=heartbeat,
        )
        self.replica.role_listeners.append(self.on_role_changed)
        self.peer_links.set_peers(self._peers())
        self._after()

    # ---- What its users ask ----

    def leads(self) -> bool:
        return self.replica is not None and self.replica.leads()

    def members(self) -> Members:
        return self.replica.raft.members() if self.replica is not None else self.storage.persisted.members

    def is_elected(self) -> bool:
        """Whether this replica is the leader of its term; whether no other is by now, `leads` says."""
        return self.replica is not None and self.replica.raft.role is Role.LEADER

    def leader(self) -> Member | None:
        """Return the leader as far as it is known here."""
        raft = self.replica.raft if self.replica is not None else None
        return raft.members().get(raft.leader) if raft is not None else None

    def leader_client_address(self) -> str:
        """Return the leader's address for clients; "" if no leader is known."""
        leader = self.leader()
        return leader.client_address if leader is not None else ""

    def is_in_contact(self, within: int) -> bool:
        """Whether this replica leads, or has heard from the leader of its term `within` so many ns."""
        if self.replica is None:
            return False
        raft = self.replica.raft
        if raft.role is Role.LEADER:
            return self.replica.leads()
        return bool(raft.leader) and self.clock.monotonic() - raft.heard_leader_at < within

    def propose(self, command: Command, on_result: CommitCallback) -> None:
        """Have a command committed. `on_result` is called later, not from here, with whether it was.

        False is no promise that it never will be. A struct goes into the log as its plain values.
        """
        if isinstance(command, msgspec.Struct):
            command = msgspec.to_builtins(command, builtin_types=(bytes,))
        if not self.proposals:
            self.loop.call_soon(self._propose_all)
        self.proposals.append((command, on_result))

    def read(self, on_result: CommitCallback) -> None:
        """Call `on_result` with True once the state holds all that was committed before this call."""
        if self.replica is None:
            self.loop.call_soon(on_result, False)
        else:
            self.replica.read(on_result)
            self._after()

    def change_members(self, members: Members) -> bool:
        done = self.replica is not None and bool(self.replica.raft.change_members(members))
        if done:
            self.peer_links.set_peers(self._peers())
        self._after()
        return done

    def transfer(self, name: str) -> bool:
        """Leadership to the voter of that name."""
        if self.replica is None:
            return False
        to = find_by_name(self.members(), name)
        done = self.replica.raft.transfer(to)
        self._after()
        return done

    def status(self) -> dict[str, Any]:
        raft = self.replica.raft if self.replica is not None else None
        told: dict[str, Any] = {
            "name": self.config.name,
            "cluster": self.config.cluster,
            "store": self.storage.cluster_fingerprint,
            "role": raft.role if raft is not None else Role.STOPPED,
            "trouble": self.storage_error,
            "troubles": self.storage_failures,
            "disk_bytes": self.storage.size_bytes(),
            "batches": self.batches,
            "entries_written": self.written,
            "refused": self.peer_links.refused_connections,
            "stuck": self.peer_links.stalled_connections,
            **msgspec.to_builtins(self.state_status()),
        }
        if raft is not None and self.replica is not None:
            members = raft.members()
            leader = members.get(raft.leader)
            told |= {
                "term": raft.term,
                "leader": leader.name if leader is not None else "",
                "leads": self.replica.leads(),
                "last": raft.log.last_index(),
                "committed": raft.commit,
                "applied": self.replica.applied,
                "snapshot": raft.log.snapshot_index,
                "members": [
                    {
                        "name": member.name,
                        "peers": member.peer_address,
                        "clients": member.client_address,
                        "votes": member.votes,
                    }
                    for member in members.values()
                ],
                "behind": {
                    members[who].name: raft.log.last_index() - f.match for who, f in raft.followers.items()
                },
            }
        return told

    def state_status(self) -> msgspec.Struct | dict[str, Any]:
        return {}

    def handle_state_request(self, request: dict[str, Any], reply: Reply) -> bool:
        """Whether a tool's request is one of the state's own."""
        return False

    # ---- What happens ----

    def _heard(self, sender: str, message: Any) -> None:
        if self.replica is not None:
            self.replica.raft.message(sender, message)
            self._after()

    def _asked(self, question: Any, reply: Reply) -> None:
        """A tool's question; what changes something is for the leader only."""
        verb = question.get("ask") if isinstance(question, dict) else None
        if verb == "status":
            reply(self.status())
        elif verb == "members":
            reply({"done": self._change(question)})
        elif verb == "transfer":
            reply({"done": self.transfer(str(question["to"]))})
        elif verb == "backup":
            path = Path(question["path"])
            future = self.loop.run_in_executor(self.thread, self.storage.backup, path)
            future.add_done_callback(
                lambda f: reply({"done": f.exception() is None, "why": str(f.exception() or "")})
            )
        elif not isinstance(question, dict) or not self.handle_state_request(question, reply):
            reply({"done": False, "why": "unknown question"})

    def _change(self, question: dict[str, Any]) -> bool:
        members = dict(self.members())
        name = str(question["name"])
        known = find_by_name(members, name)
        if question.get("remove"):
            members.pop(known, None)
        else:
            votes = bool(question.get("votes"))
            members[known or initial_replica_id(name)] = Member(
                name, question["peers"], question["clients"], votes
            )
        return self.change_members(members)

    def on_role_changed(self, role: Role, leader: str) -> None:
        # Told from inside of the machine: whoever acts on it does so when that is over.
        for told in self.role_listeners:
            self.loop.call_soon(told, role, leader)

    def _propose_all(self) -> None:
        proposals, self.proposals = self.proposals, []
        thens = [then for _, then in proposals]

        def told(yes: bool) -> None:
            for then in thens:
                self.loop.call_soon(then, yes)

        if self.replica is None:
            told(False)
        else:
            self.replica.propose([command for command, _ in proposals], told)
            self._after()

    def _send(self, to: str, message: Any) -> None:
        self.peer_links.send(to, message)

    # ---- What is kept beside the log ----

    def save_value(self, key: str, value: Any) -> None:
        """Written when the thread comes to it; what is lost with a full disk is only older for it."""
        future = self.loop.run_in_executor(self.thread, self.storage.save_value, key, value)
        future.add_done_callback(lambda f: f.exception())

    # ---- Writing ----

    def _after(self) -> None:
        """Something has happened: write what gathered, and see when time is wanted next."""
        if not self.pumping:
            self.pumping = True
            self.loop.call_soon(self._pump)

    def _pump(self) -> None:
        self.pumping = False
        replica = self.replica
        if replica is None or self.closed:
            return
        self._arm(replica)
        if self.writing or replica.batch.is_empty():
            return
        batch = replica.take_batch()
        if not batch.has_writes():
            replica.written(batch)
            return
        self.writing = True
        future = self.loop.run_in_executor(self.thread, self.storage.write, batch)
        future.add_done_callback(lambda f: self._wrote(replica, batch, f.exception()))

    def _wrote(self, replica: Replica, batch: WriteBatch, error: BaseException | None) -> None:
        self.writing = False
        if self.closed:
            return
        if error is not None:
            self._stop(error)
            return
        if replica is self.replica:
            self.batches += 1
            self.written += len(batch.entries)
            if any(entry.kind is EntryKind.MEMBERS for entry in batch.entries) or batch.snapshot is not None:
                self.peer_links.set_peers(self._peers())
            replica.written(batch)
            self._maybe_snapshot(replica)
            self._after()

    def _maybe_snapshot(self, replica: Replica) -> None:
        raft = replica.raft
        if self.snapshotting or replica.applied - raft.log.snapshot_index < self.config.snapshot_every:
            return
        index = replica.applied
        term = raft.log.term_at(index)
        assert term is not None
        snapshot = Snapshot(index, term, raft.members_at(index), self.state_machine.take_snapshot())
        self.snapshotting = True

        def kept(error: BaseException | None) -> None:
            self.snapshotting = False
            if self.closed:
                return
            if error is not None:
                self._stop(error)
            elif replica is self.replica:
                replica.snapshot_written(snapshot)

        future = self.loop.run_in_executor(self.thread, self.storage.save_snapshot, snapshot)
        future.add_done_callback(lambda f: kept(f.exception()))

    def _stop(self, error: BaseException) -> None:
        """What was not written is as if it had never been heard: begin again from the disk when it can be
        written.
        """
        if self.replica is None:
            return
        self.storage_error = str(error)
        self.storage_failures += 1
        log_line(f"store: the disk cannot be written, this replica stands aside: {error}")
        replica, self.replica = self.replica, None
        replica.role_changed(Role.STOPPED, "")
        task = self.loop.create_task(self._try_again())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _try_again(self) -> None:
        while not self.closed:
            await asyncio.sleep(TRY_AGAIN)
            try:
                await self.loop.run_in_executor(self.thread, self._reopen)
            except (StorageError, CorruptionError) as error:
                self.storage_error = str(error)
                continue
            self.storage_error = ""
            log_line("store: the disk can be written again")
            self._begin()
            return

    def _reopen(self) -> None:
        self.storage.reopen()
        # A vote that is written once more changes nothing, and shows whether there is room.
        batch = WriteBatch()
        batch.vote = (self.storage.persisted.current_term, self.storage.persisted.voted_for)
        self.storage.write(batch)

    # ---- Time ----

    def _arm(self, replica: Replica) -> None:
        when = replica.raft.next_tick()
        if self.timer is not None:
            if self.timer_for == when:
                return
            self.timer.cancel()
        self.timer_for = when
        self.timer = self.loop.call_later(max(0, when - time.monotonic_ns()) / 1e9, self._ring)

    def _ring(self) -> None:
        self.timer = None
        if self.replica is not None and not self.closed:
            self.replica.raft.tick()
            self._after()

    def _peers(self) -> dict[str, str]:
        return {
            replica_id: member.peer_address
            for replica_id, member in self.members().items()
            if replica_id != self.replica_id
        }

    async def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.peer_links.close()
        # Also where it was never opened: why not is what is to be told then.
        await asyncio.get_running_loop().run_in_executor(self.thread, self.storage.close)
        self.thread.shutdown()
