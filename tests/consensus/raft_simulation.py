"""Drives consensus machines through seeded schedules of everything that can go wrong, and checks after each
step.

A schedule is named by its seed: `explore(seed, ...)` replays it to the letter. What is unsynced is lost in a
crash.
"""

import random
from collections import defaultdict
from os import sched_getaffinity
from typing import Any

from ploverspoke.consensus.log import Entry, Log
from ploverspoke.consensus.membership import Members, majority, voters
from ploverspoke.consensus.raft import Message, Raft
from ploverspoke.consensus.replica import Replica, WriteBatch

MS = 1_000_000
PROCESSES = max(1, len(sched_getaffinity(0)) // 2)  # of a sweep: the other cores are for tests beside it


class Broken(AssertionError):
    """An invariant does not hold."""


def must(holds: bool, what: str) -> None:
    if not holds:
        raise Broken(what)


class ReplicaStorage:
    """What a machine gets back after a crash: whole batches or nothing."""

    def __init__(self, members: Members, name: str) -> None:
        self.term = 0
        self.vote = ""
        self.members = members
        self.snapshot = (0, 0)
        self.state = b""
        self.entries: list[Entry] = []
        self.disk = name

    @property
    def log(self) -> Log:
        log = Log(*self.snapshot)
        log.append(list(self.entries))
        return log

    def write(self, batch: WriteBatch) -> None:
        if batch.vote is not None:
            self.term, self.vote = batch.vote
        if batch.snapshot is not None:
            index, term, self.members, self.state = batch.snapshot
            self.snapshot = (index, term)
            self.entries = []
        if batch.cut_from:
            self.entries = [e for e in self.entries if e.at < batch.cut_from]
        self.entries += batch.entries

    def keep_snapshot(self, index: int, term: int, members: Members, state: bytes) -> None:
        self.snapshot, self.members, self.state = (index, term), members, state
        self.entries = [e for e in self.entries if e.at > index]

    def has(self, entry: Entry) -> bool:
        if entry.at <= self.snapshot[0]:
            return True
        at = entry.at - self.snapshot[0] - 1
        return at < len(self.entries) and self.entries[at].term == entry.term


class Tape:
    """A state that is the list of what was applied."""

    def __init__(self) -> None:
        self.values: list[str] = []

    def apply(self, index: int, command: str) -> None:
        self.values.append(command)

    def dump(self) -> bytes:
        return "\n".join(self.values).encode()

    def load(self, data: bytes) -> None:
        self.values = data.decode().split("\n") if data else []


class Node:
    applied = 0  # since its start
    state_kind: Any = Tape

    def __init__(self, world: "World", name: str) -> None:
        self.world = world
        self.name = name
        self.disk = ReplicaStorage(world.members, f"disk of {name}")
        self.boots = 0
        self.up = False
        self.writing: WriteBatch | None = None
        self.start()

    def start(self) -> None:
        self.up = True
        self.boots += 1
        self.applied = 0
        self.tape = self.state_kind()
        self.writing = None
        boot = self.boots
        self.replica = Replica(
            self.name,
            self.disk,
            self.tape,
            lambda: self.world.clock,
            self.world.chance.random,
            lambda to, message: self.world.post(self.name, to, message, boot),
        )
        self.replica.raft.__class__ = self.world.machine
        self.replica.on_role.append(self.role_changed)
        committed = self.replica.committed

        def checked(entry: Entry) -> None:
            self.world.committed(self, entry)
            committed(entry)

        self.replica.committed = checked  # type: ignore[method-assign]

    def crash(self) -> None:
        self.up = False

    def role_changed(self, role: str, leader: str) -> None:
        if role == "leader":
            self.world.elected(self)

    def write(self, finish: bool) -> None:
        """Take a batch, or finish the one that is being written."""
        if self.writing is not None:
            if finish:
                batch, self.writing = self.writing, None
                self.disk.write(batch)
                self.replica.written(batch)
        elif not self.replica.batch.is_empty():
            self.writing = self.replica.take_batch()


class World:
    node_kind: type[Node] = Node

    def __init__(
        self, seed: int, size: int, machine: type[Raft] = Raft, spare: int = 0, stormy: bool = False
    ) -> None:
        self.chance = random.Random(seed)
        self.machine = machine
        self.stormy = stormy  # leaders seldom live long, and snapshots are many
        self.clock = 1000 * MS
        names = [f"n{i}" for i in range(size + spare)]
        self.members: Members = {n: [n, "", "", True] for n in names[:size]}
        self.post_box: list[tuple[str, str, Message]] = []
        self.leaders: dict[int, str] = {}
        self.terms: dict[tuple[int, int], tuple[Any, int]] = {}  # by index and term: data, term before
        self.done: dict[int, Entry] = {}
        self.last_done = 0
        self.cut: set[str] = set()
        self.proposed = 0
        self.acknowledged: list[str] = []
        self.reads = 0
        self.steps = 0
        self.nodes: dict[str, Node] = {}
        for n in names:
            self.nodes[n] = self.node_kind(self, n)

    # ---- The network ----

    def post(self, sender: str, to: str, message: Message, boot: int) -> None:
        node = self.nodes.get(sender)
        if to in self.nodes and (node is None or node.boots == boot):
            self.post_box.append((sender, to, message))

    def deliver(self, at: int, keep: bool = False) -> None:
        sender, to, message = self.post_box[at] if keep else self.post_box.pop(at)
        if self.nodes[to].up and (sender in self.cut) == (to in self.cut):
            self.nodes[to].replica.raft.message(sender, message)

    # ---- What must hold ----

    def elected(self, node: Node) -> None:
        raft = node.replica.raft
        holder = self.leaders.setdefault(raft.term, node.name)
        must(holder == node.name, f"two leaders of term {raft.term}: {holder}, {node.name}")
        for index in range(raft.log.snapshot_index + 1, self.last_done + 1):
            entry = self.done[index]
            must(raft.log.term_at(index) == entry.term, f"leader {node.name} lacks committed entry {index}")
        must(raft.log.last_index() >= self.last_done, f"leader {node.name} lacks committed entries")

    def committed(self, node: Node, entry: Entry) -> None:
        known = self.done.setdefault(entry.at, entry)
        must(known == entry, f"{node.name} applied another entry {entry.at}")
        if entry.at > self.last_done:
            must(entry.at == self.last_done + 1, f"entry {entry.at} is committed before {self.last_done + 1}")
            self.last_done = entry.at
            members = node.replica.raft.members()
            have = sum(self.nodes[n].disk.has(entry) for n in voters(members))
            must(have >= majority(members), f"entry {entry.at} is committed, but only {have} disks have it")

    def check(self) -> None:
        for node in self.nodes.values():
            if not node.up:
                continue
            must(node.replica.applied >= node.applied, f"the state of {node.name} goes back")
            node.applied = node.replica.applied
            log = node.replica.raft.log
            before = log.snapshot_term
            for entry in log.entries[-4:] if len(log.entries) > 4 else log.entries:
                if entry.at - 1 > log.snapshot_index:
                    before = log.get(entry.at - 1).term
                known = self.terms.setdefault((entry.at, entry.term), (entry.data, before))
                must(known == (entry.data, before), f"logs differ at {entry.at} of term {entry.term}")
            must(node.replica.raft.commit <= log.last_index(), "more is committed than there is")
            data = [self.done[i] for i in range(1, node.replica.applied + 1)]
            wanted = sum(e.kind == "data" for e in data)
            must(
                len(node.tape.values) == wanted,
                f"{node.name} has applied {len(node.tape.values)} of {wanted}",
            )

    # ---- What happens ----

    def propose(self, node: Node) -> None:
        self.proposed += 1
        value = f"v{self.proposed}"

        def told(yes: bool) -> None:
            if yes:
                must(value in node.tape.values, f"{value} was acknowledged and is not there")
                self.acknowledged.append(value)

        node.replica.propose([value], told)

    def read(self, node: Node) -> None:
        wanted = self.last_done

        def told(yes: bool) -> None:
            if yes:
                self.reads += 1
                must(
                    node.replica.applied >= wanted,
                    f"{node.name} read {node.replica.applied}, {wanted} is old",
                )

        node.replica.read(told)

    def compact(self, node: Node) -> None:
        replica = node.replica
        index = replica.applied
        term = replica.raft.log.term_at(index)
        if index > replica.raft.log.snapshot_index and term is not None and node.writing is None:
            if not replica.batch.is_empty():
                return
            members, state = replica.raft.members_at(index), node.tape.dump()
            node.disk.keep_snapshot(index, term, members, state)
            replica.snapshot_written(index, term, members, state)

    def change_members(self, node: Node) -> None:
        members = dict(node.replica.raft.members())
        name = self.chance.choice(list(self.nodes))
        if name not in members:
            members[name] = [name, "", "", False]
        elif not members[name][3]:
            members[name] = [name, "", "", True]
        elif len(voters(members)) > 2:
            del members[name]
        node.replica.raft.change_members(members)

    def step(self) -> None:
        """One thing happens, drawn at random."""
        self.steps += 1
        roll, chance = self.chance.random(), self.chance
        node = chance.choice(list(self.nodes.values()))
        if self.stormy and chance.random() < 0.06:
            self._storm()
        if roll < 0.42 and self.post_box:
            for _ in range(chance.choice([1, 2, 4, 8])):
                if self.post_box:
                    self.deliver(chance.randrange(len(self.post_box)) if chance.random() < 0.2 else 0)
        elif roll < 0.62:
            for each in self.nodes.values():
                if each.up and (each is node or chance.random() < 0.6):
                    each.write(chance.random() < 0.8)
                    each.write(chance.random() < 0.6)
        elif roll < 0.72:
            self.clock += chance.choice([1, 5, 20, 40, 90]) * MS
            for each in self.nodes.values():
                if each.up and each.replica.raft.next_tick() <= self.clock and chance.random() < 0.7:
                    each.replica.raft.tick()
        elif roll < 0.86:
            if node.up and node.replica.raft.role == "leader":
                self.propose(node)
        elif roll < 0.90:
            if node.up:
                self.read(node)
        elif roll < 0.92 and self.post_box:
            self.post_box.pop(chance.randrange(len(self.post_box)))
        elif roll < 0.94 and self.post_box:
            self.deliver(chance.randrange(len(self.post_box)), keep=True)
        elif roll < 0.955:
            if not node.up:
                node.start()
            elif chance.random() < 0.5:
                node.crash()
        elif roll < 0.958:
            self.cut = set() if self.cut else set(chance.sample(list(self.nodes), chance.choice([1, 1, 2])))
        elif roll < 0.98:
            if node.up:
                self.compact(node)
        elif roll < 0.985:
            if node.up:
                node.replica.raft.transfer(chance.choice(list(self.nodes)))
        elif roll < 0.99 and len(self.nodes) > len(self.members):
            if node.up:
                self.change_members(node)
        elif not node.up:
            node.start()
        self.check()

    def _storm(self) -> None:
        leader = next((n for n in self.nodes.values() if n.up and n.replica.raft.role == "leader"), None)
        kind = self.chance.randrange(4)
        if kind == 0 and leader is not None:
            leader.crash()
        elif kind == 1 and leader is not None:
            self.compact(leader)
        elif kind == 2 and self.post_box:
            self.post_box.append(self.chance.choice(self.post_box))
        else:
            for node in self.nodes.values():
                if not node.up:
                    node.start()

    def settle(self, steps: int = 3000) -> None:
        """Everything is well again: a leader must come, and what it takes must be committed everywhere."""
        self.cut = set()
        for node in self.nodes.values():
            if not node.up:
                node.start()
        for step in range(steps):
            self.clock += 2 * MS
            for node in self.nodes.values():
                if node.replica.raft.next_tick() <= self.clock:
                    node.replica.raft.tick()
                node.write(True)
                node.write(True)
            box, self.post_box = self.post_box, []
            for sender, to, message in box:
                self.nodes[to].replica.raft.message(sender, message)
            leaders = [n for n in self.nodes.values() if n.replica.raft.role == "leader"]
            if leaders and step % 25 == 0 and step < steps // 2:
                self.propose(leaders[-1])
            members = leaders[-1].replica.raft.members() if leaders else {}
            if (
                leaders
                and self.last_done > 3
                and all(
                    self.nodes[n].replica.applied
                    == self.last_done
                    == leaders[-1].replica.raft.log.last_index()
                    for n in voters(members)
                )
            ):
                self.check()
                return
        raise Broken("no leader that commits, though all is well")


def explore(
    seed: int, size: int, steps: int, machine: type[Raft] = Raft, spare: int = 0, stormy: bool = False
) -> World:
    """One schedule. Raises Broken, or what the machine raises, with a note of the seed that replays it."""
    world = World(seed, size, machine, spare, stormy)
    try:
        for _ in range(steps):
            world.step()
    except Exception as error:
        error.add_note(f"seed {seed}, size {size}, step {world.steps}")
        raise
    return world


def sweep(job: tuple[int, int, int, int, int, bool]) -> dict[str, int]:
    """Many schedules of one kind, for a process of its own: first seed, how many, size, steps, spare
    nodes.
    """
    first, count, size, steps, spare, stormy = job
    found: dict[str, int] = defaultdict(int)
    for seed in range(first, first + count):
        world = explore(seed, size, steps, spare=spare, stormy=stormy)
        found["committed"] += world.last_done
        found["terms"] += len(world.leaders)
        found["reads"] += world.reads
        found["acknowledged"] += len(world.acknowledged)
        if seed % 50 == 0:
            world.settle()
    return dict(found)
