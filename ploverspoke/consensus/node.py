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

from ploverspoke.transport.rate_limited_log import log_line

from .clock import ReplicatedClock
from .cluster_config import ReplicaConfig, initial_replica_id
from .membership import CLIENTS, NAME, PEERS, Members, fingerprint, voters
from .peer_links import PeerLinks
from .replica import Replica, StateMachine, WriteBatch
from .storage import ClusterMismatchError, CorruptionError, ReplicaStorage, StorageError

EMPTY = (
    "a new store begins with --new on all of its replicas; a replica whose disk was lost is removed from the "
    "store and added under another name, and starts with --join"
)
TRY_AGAIN = 0.5  # seconds, after the disk could not be written
CommitCallback = Callable[[bool], None]
Reply = Callable[[Any], None]


class ReplicaNode:
    def __init__(
        self, orders: ReplicaConfig, state: StateMachine, disk: ReplicaStorage | None = None
    ) -> None:
        self.orders = orders
        self.disk = disk or ReplicaStorage(orders.folder)
        self.state = state
        self.clock = ReplicatedClock(time.monotonic_ns)
        self.replica: Replica | None = None  # None: the disk is in trouble
        self.links = PeerLinks(orders.secret, {}, self._heard, self._asked)
        self.thread = ThreadPoolExecutor(1, thread_name_prefix="store")
        self.writing = False
        self.pumping = False
        self.snapshotting = False
        self.proposals: list[tuple[list[Any], CommitCallback]] = []
        self.on_role: list[Callable[[str, str], None]] = []
        self.timer: asyncio.TimerHandle | None = None
        self.timer_for = 0
        self.trouble = ""
        self.troubles = 0
        self.batches = 0
        self.written = 0
        self.closed = False
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, new: bool = False, join: str = "") -> None:
        """`new`: the first start of a new store; `join`: the mark of the store that is joined.

        Raises ClusterMismatchError, CorruptionError, StorageError or OSError.
        """
        self.loop = asyncio.get_running_loop()
        self.disk.open()
        first = self.orders.members()
        mark = join or fingerprint(self.orders.cluster, first)
        me = initial_replica_id(self.orders.name)
        if not self.disk.me and (new or join):
            if join:
                # It stands for nothing until the leader has brought it up to date and made it a voter.
                first = {who: [*told[:3], False] for who, told in first.items()}
            self.disk.begin(me, mark, first)
        if not self.disk.me:
            raise ClusterMismatchError(f"{self.disk.path} is empty: {EMPTY}")
        if self.disk.me != me:
            raise ClusterMismatchError(f"{self.disk.path} is the store of {self.disk.me}, not of {me}")
        if not new and not join:
            mark = self.disk.fingerprint
        if self.disk.fingerprint != mark:
            raise ClusterMismatchError(
                f"{self.disk.path} is of a store with another name or with other replicas"
            )
        self.me = me
        self.links.greeting.update(id=me, store=mark)
        host, _, port = self.orders.replicas[self.orders.name][0].rpartition(":")
        await self.links.open(host.strip("[]"), int(port))
        self.opened()
        self._begin()

    def opened(self) -> None:
        """The disk can be read: before the state is put together from it."""

    def _begin(self) -> None:
        self.state.load(b"")
        heartbeat = self.orders.election // 4
        self.replica = Replica(
            self.me,
            self.disk,
            self.state,
            time.monotonic_ns,
            random.SystemRandom().random,
            self._send,
            election=self.orders.election,
            heartbeat=heartbeat,
        )
        self.replica.on_role.append(self._role_changed)
        self.links.set_peers(self._peers())
        self._after()

    # ---- What its users ask ----

    def leads(self) -> bool:
        return self.replica is not None and self.replica.leads()

    def members(self) -> Members:
        return self.replica.raft.members() if self.replica is not None else self.disk.members

    def leader_clients(self) -> str:
        """The address of the leader for clients; "" where none is known."""
        raft = self.replica.raft if self.replica is not None else None
        told = raft.members().get(raft.leader) if raft is not None else None
        return str(told[CLIENTS]) if told is not None else ""

    def propose(self, command: list[Any], then: CommitCallback) -> None:
        """`then` is told whether it is committed, later and not from in here."""
        if not self.proposals:
            self.loop.call_soon(self._propose_all)
        self.proposals.append((command, then))

    def read(self, then: CommitCallback) -> None:
        if self.replica is None:
            self.loop.call_soon(then, False)
        else:
            self.replica.read(then)
            self._after()

    def change_members(self, members: Members) -> bool:
        done = self.replica is not None and bool(self.replica.raft.change_members(members))
        if done:
            self.links.set_peers(self._peers())
        self._after()
        return done

    def transfer(self, name: str) -> bool:
        """Leadership to the voter of that name."""
        if self.replica is None:
            return False
        to = next((who for who, told in self.members().items() if told[NAME] == name), "")
        done = self.replica.raft.transfer(to)
        self._after()
        return done

    def status(self) -> dict[str, Any]:
        raft = self.replica.raft if self.replica is not None else None
        told: dict[str, Any] = {
            "name": self.orders.name,
            "cluster": self.orders.cluster,
            "store": self.disk.fingerprint,
            "role": raft.role if raft is not None else "stopped",
            "trouble": self.trouble,
            "troubles": self.troubles,
            "disk_bytes": self.disk.size(),
            "batches": self.batches,
            "entries_written": self.written,
            "refused": self.links.refused,
            "stuck": self.links.stuck,
            **self.status_of_state(),
        }
        if raft is not None and self.replica is not None:
            members = raft.members()
            leader = members.get(raft.leader)
            votes = voters(members)
            told |= {
                "term": raft.term,
                "leader": leader[NAME] if leader is not None else "",
                "leads": self.replica.leads(),
                "last": raft.log.last_index(),
                "committed": raft.commit,
                "applied": self.replica.applied,
                "snapshot": raft.log.snapshot_index,
                "members": [
                    {"name": m[NAME], "peers": m[PEERS], "clients": m[CLIENTS], "votes": who in votes}
                    for who, m in members.items()
                ],
                "behind": {
                    members[who][NAME]: raft.log.last_index() - f.match for who, f in raft.followers.items()
                },
            }
        return told

    def status_of_state(self) -> dict[str, Any]:
        return {}

    def asked_of_state(self, question: dict[str, Any], reply: Reply) -> bool:
        """Whether a tool's question is one of the state's own."""
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
            future = self.loop.run_in_executor(self.thread, self.disk.backup, path)
            future.add_done_callback(
                lambda f: reply({"done": f.exception() is None, "why": str(f.exception() or "")})
            )
        elif not isinstance(question, dict) or not self.asked_of_state(question, reply):
            reply({"done": False, "why": "unknown question"})

    def _change(self, question: dict[str, Any]) -> bool:
        members = dict(self.members())
        name = str(question["name"])
        known = next((who for who, told in members.items() if told[NAME] == name), "")
        if question.get("remove"):
            members.pop(known, None)
        else:
            votes = bool(question.get("votes"))
            members[known or initial_replica_id(name)] = [name, question["peers"], question["clients"], votes]
        return self.change_members(members)

    def _role_changed(self, role: str, leader: str) -> None:
        # Told from inside of the machine: whoever acts on it does so when that is over.
        for told in self.on_role:
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
        self.links.send(to, message)

    # ---- What is kept beside the log ----

    def keep(self, key: str, value: Any) -> None:
        """Written when the thread comes to it; what is lost with a full disk is only older for it."""
        future = self.loop.run_in_executor(self.thread, self.disk.keep, key, value)
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
        if not batch.writes():
            replica.written(batch)
            return
        self.writing = True
        future = self.loop.run_in_executor(self.thread, self.disk.write, batch)
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
            if any(entry.kind == "members" for entry in batch.entries) or batch.snapshot is not None:
                self.links.set_peers(self._peers())
            replica.written(batch)
            self._maybe_snapshot(replica)
            self._after()

    def _maybe_snapshot(self, replica: Replica) -> None:
        raft = replica.raft
        if self.snapshotting or replica.applied - raft.log.snapshot_index < self.orders.snapshot_every:
            return
        index = replica.applied
        term = raft.log.term_at(index)
        assert term is not None
        members, state = raft.members_at(index), self.state.dump()
        self.snapshotting = True

        def kept(error: BaseException | None) -> None:
            self.snapshotting = False
            if self.closed:
                return
            if error is not None:
                self._stop(error)
            elif replica is self.replica:
                replica.snapshot_written(index, term, members, state)

        future = self.loop.run_in_executor(self.thread, self.disk.keep_snapshot, index, term, members, state)
        future.add_done_callback(lambda f: kept(f.exception()))

    def _stop(self, error: BaseException) -> None:
        """What was not written is as if it had never been heard: begin again from the disk when it can be
        written.
        """
        if self.replica is None:
            return
        self.trouble = str(error)
        self.troubles += 1
        log_line(f"store: the disk cannot be written, this replica stands aside: {error}")
        replica, self.replica = self.replica, None
        replica.role_changed("stopped", "")
        task = self.loop.create_task(self._try_again())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _try_again(self) -> None:
        while not self.closed:
            await asyncio.sleep(TRY_AGAIN)
            try:
                await self.loop.run_in_executor(self.thread, self._reopen)
            except (StorageError, CorruptionError) as error:
                self.trouble = str(error)
                continue
            self.trouble = ""
            log_line("store: the disk can be written again")
            self._begin()
            return

    def _reopen(self) -> None:
        self.disk.reopen()
        # A vote that is written once more changes nothing, and shows whether there is room.
        batch = WriteBatch()
        batch.vote = (self.disk.term, self.disk.vote)
        self.disk.write(batch)

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
        return {who: told[PEERS] for who, told in self.members().items() if who != self.me}

    async def close(self) -> None:
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.links.close()
        # Also where it was never opened: why not is what is to be told then.
        await asyncio.get_running_loop().run_in_executor(self.thread, self.disk.close)
        self.thread.shutdown()
