"""Drives terms, keepers and holders through schedules of all that can go wrong, and checks after each step.

Consensus is a model of what it promises, with everything it allows: a proposal of a leader that was replaced
may be committed or not; one that was deposed may go on believing that it leads; a read is confirmed if the
keeper still led when it was asked for, and the word of it may come at any later time. Clocks of processes run
up to 5% fast or slow. A schedule is named by its seed, or is a list of choices.
"""

import random
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from ploverspoke.leases.definitions import LeaseDefinition, LeaseDefinitions
from ploverspoke.leases.holder import LeaseHolder
from ploverspoke.leases.manager import LeaseManager
from ploverspoke.leases.state_machine import LeaseStateMachine
from tests.consensus import raft_simulation as consensus

MS = 1_000_000
LEAST, LASTS = 1000 * MS, 2000 * MS
NAME = "task"


class Broken(AssertionError):
    """An invariant does not hold."""


class FencingTokenGuard:
    """The receiving side of effects."""

    def __init__(self) -> None:
        self.latest = 0

    def takes(self, token: int) -> bool:
        if token < self.latest:
            return False
        self.latest = token
        return True


class Parts:
    """What is driven; a fault is planted by another class in one of these places."""

    def __init__(
        self,
        keeper: type[LeaseManager] = LeaseManager,
        holder: type[LeaseHolder] = LeaseHolder,
        terms: type[LeaseStateMachine] = LeaseStateMachine,
        fence: type[FencingTokenGuard] = FencingTokenGuard,
        hears_late: bool = False,  # a keeper applies another's entries before it hears that it leads no more
    ) -> None:
        self.hears_late = hears_late
        self.keeper, self.holder, self.terms, self.fence = keeper, holder, terms, fence


class Clock:
    def __init__(self, world: "World") -> None:
        self.world = world
        self.rate = world.chance.choice([0.95, 1.0, 1.05])
        self.ahead = world.chance.randrange(1000 * MS)

    def now(self) -> int:
        return int(self.world.time * self.rate) + self.ahead


class LeaseServerNode(Clock):
    """The host of one keeper, and its place in the model of consensus."""

    def __init__(self, world: "World", number: int) -> None:
        super().__init__(world)
        self.number = number
        self.era = 0
        self.pending: list[tuple[list[Any], Callable[[bool], None]]] = []
        self.reads: list[tuple[int, Callable[[bool], None]]] = []  # epoch in which it was asked for
        self.proved: list[Callable[[bool], None]] = []
        self.applied = 0
        self._begin()

    def _begin(self) -> None:
        self.terms = self.world.parts.terms()
        self.keeper = self.world.parts.keeper(self, self.terms, self.world.rules)

    def restart(self) -> None:
        self.applied = 0
        self.pending, self.reads, self.proved = [], [], []
        self._begin()
        self.terms.restore_snapshot(self.world.snapshot)

    def catch_up(self) -> None:
        for command in self.world.log[self.applied :]:
            self.terms.apply(0, command)
        self.applied = len(self.world.log)

    # The keeper's host.

    def propose(self, command: list[Any], then: Callable[[bool], None]) -> None:
        self.pending.append((command, then))

    def confirm(self, then: Callable[[bool], None]) -> None:
        self.reads.append((self.world.epoch if self.world.leader is self else -1, then))

    def tell(self, holder: str, message: dict[str, Any]) -> None:
        self.world.post.append((self.number, int(holder), message))


class HolderNode(Clock):
    def __init__(self, world: "World", number: int) -> None:
        super().__init__(world)
        self.number = number
        self.keeper = 0
        self.holder = world.parts.holder(self)

    def send(self, message: dict[str, Any]) -> None:
        self.world.asks.append((self.number, self.keeper, message))

    def go_elsewhere(self) -> None:
        self.keeper = (self.keeper + 1) % len(self.world.keepers)


class World:
    def __init__(
        self, seed: int, holders: int = 3, keepers: int = 3, places: int = 1, parts: Parts | None = None
    ) -> None:
        self.chance = random.Random(seed)
        self.parts = parts or Parts()
        self.rules = LeaseDefinitions({NAME: LeaseDefinition(places, LASTS)}, LEAST)
        self.places = places
        self.time = 10_000 * MS  # the true one
        self.epoch = 0
        self.log: list[list[Any]] = []
        self.snapshot = b""
        self.backups: list[tuple[list[list[Any]], bytes]] = []
        self.leader: LeaseServerNode | None = None
        self.keepers = [LeaseServerNode(self, n) for n in range(keepers)]
        self.holders = [HolderNode(self, n) for n in range(holders)]
        self.asks: list[tuple[int, int, dict[str, Any]]] = []
        self.post: list[tuple[int, int, dict[str, Any]]] = []
        self.effects: list[int] = []  # tokens on their way to what is acted on
        self.fence = self.parts.fence()
        self.taken = 0  # the highest token that had an effect
        self.acting: set[tuple[int, int]] = set()  # holder and token, as of the last step
        self.highest = 0
        self.changes = self.refused = 0
        for node in self.holders:
            node.holder.want(NAME, LASTS)

    # ---- What must hold ----

    def check(self) -> None:
        acting = {(n.number, n.holder.token(NAME)) for n in self.holders if n.holder.left(NAME)}
        if len(acting) > self.places:
            raise Broken(f"{len(acting)} hold it at once, {self.places} may: {sorted(acting)}")
        for number, token in acting - self.acting:
            if token < self.highest and self.places == 1:
                raise Broken(f"holder {number} begins under {token}, {self.highest} was there before")
            self.changes += token > self.highest
            self.highest = max(self.highest, token)
        self.acting = acting

    # ---- What can happen ----

    def elect(self, node: LeaseServerNode, keep: float = 0.5) -> None:
        """The old leader's proposals are committed up to some point; it may not know that it is deposed."""
        old = self.leader
        if old is not None:
            while old.pending and self.chance.random() < keep:
                self._commit(old, tell=False)
        self.epoch += 1
        self.leader = node
        # Whoever hears of another's entries has heard before that it leads no more.
        if not self.parts.hears_late:
            node.keeper.leads_no_more()
        node.pending.clear()
        node.catch_up()
        node.keeper.leads(node.era)

    def depose(self) -> None:
        """Those that lead no more hear of it."""
        for node in self.keepers:
            if node is not self.leader and node.keeper.leading:
                node.keeper.leads_no_more()
                node.pending.clear()
                for _, then in node.reads:
                    then(False)
                node.reads.clear()

    def _commit(self, node: LeaseServerNode, tell: bool = True) -> None:
        command, then = node.pending.pop(0)
        self.log.append(command)
        if tell:
            node.catch_up()
            then(True)

    def commit(self) -> None:
        if self.leader is not None and self.leader.pending:
            self._commit(self.leader)

    def prove(self, node: LeaseServerNode) -> None:
        """A majority answers those rounds that were sent while it led, and it leads still."""
        if node is self.leader and node.keeper.leading:
            node.proved += [then for epoch, then in node.reads if epoch == self.epoch]
            node.reads = [row for row in node.reads if row[0] != self.epoch]

    def answer_reads(self, node: LeaseServerNode) -> None:
        proved, node.proved = node.proved, []
        for then in proved:
            then(True)

    def deliver_ask(self, at: int, keep: bool = False) -> None:
        holder, keeper, message = self.asks[at] if keep else self.asks.pop(at)
        self.keepers[keeper].keeper.asked(str(holder), message)

    def deliver_answer(self, at: int, keep: bool = False) -> None:
        _, holder, message = self.post[at] if keep else self.post.pop(at)
        self.holders[holder].holder.told(message)

    def tick(self) -> None:
        for node in self.keepers:
            node.keeper.tick()
        for each in self.holders:
            each.holder.tick()

    def act(self, node: HolderNode) -> None:
        """It looks, and sends an effect; how long that is on its way nobody knows."""
        if token := node.holder.token(NAME):
            self.effects.append(token)

    def effect(self, at: int) -> None:
        token = self.effects.pop(at)
        if not self.fence.takes(token):
            self.refused += 1
            return
        if token < self.taken:
            raise Broken(f"an effect under {token} was taken after one under {self.taken}")
        self.taken = token

    def back_up(self) -> None:
        self.backups = [(list(self.log), self.snapshot)]

    def restore(self) -> None:
        """All keepers begin again from one backup, each in a new era."""
        if self.backups and self.leader is not None:
            self.log, self.snapshot = list(self.backups[0][0]), self.backups[0][1]
            self.leader = None
            self.epoch += 1
            era = max(node.era for node in self.keepers) + 1
            for node in self.keepers:
                node.era = era
                node.restart()

    def crash(self, node: LeaseServerNode) -> None:
        if node is self.leader:
            self.leader = None
            self.epoch += 1
        node.restart()

    def step(self) -> None:
        chance = self.chance
        roll = chance.random()
        node = chance.choice(self.keepers)
        holder = chance.choice(self.holders)
        if roll < 0.22 and self.asks:
            self.deliver_ask(chance.randrange(len(self.asks)) if chance.random() < 0.3 else 0)
        elif roll < 0.42 and self.post:
            self.deliver_answer(chance.randrange(len(self.post)) if chance.random() < 0.3 else 0)
        elif roll < 0.52:
            self.commit()
        elif roll < 0.64:
            if self.leader is not None:
                self.prove(self.leader)
            self.answer_reads(node if chance.random() < 0.3 or self.leader is None else self.leader)
        elif roll < 0.78:
            self.time += chance.choice([5, 50, 200, 400, 700, 1000, 2200]) * MS
            if chance.random() < 0.8:
                self.tick()
        elif roll < 0.86:
            self.tick()
        elif roll < 0.89:
            self.act(holder)
        elif roll < 0.91 and self.effects:
            self.effect(chance.randrange(len(self.effects)))
        elif roll < 0.93 and self.asks:
            self.asks.pop(chance.randrange(len(self.asks)))
        elif roll < 0.945 and self.asks:
            self.deliver_ask(chance.randrange(len(self.asks)), keep=True)
        elif roll < 0.96 and self.post:
            self.deliver_answer(chance.randrange(len(self.post)), keep=True)
        elif roll < 0.97:
            holder.holder.release(NAME)
            self.tick()
            holder.holder.want(NAME, LASTS)
        elif roll < 0.98:
            self.elect(node)
            if chance.random() < 0.6:
                self.depose()
        elif roll < 0.984:
            self.crash(node)
        elif roll < 0.987:
            self.back_up()
        elif roll < 0.99:
            self.restore()
        elif self.leader is None:
            self.elect(node)
        if chance.random() < 0.003:
            node.keeper.gone(str(holder.number))
        self.check()


def explore(seed: int, steps: int = 500, parts: Parts | None = None, places: int = 1) -> World:
    """One schedule. Raises Broken, with a note of the seed that replays it."""
    world = World(seed, 2 + seed % 3, 3, places, parts)
    world.elect(world.keepers[0])
    try:
        for _ in range(steps):
            world.step()
    except Exception as error:
        error.add_note(f"seed {seed}, places {places}")
        raise
    return world


CHOICES = 9


def by_choices(choices: Sequence[int], parts: Parts | None = None) -> World:
    """Two holders, three keepers; the first has the lease. Each choice is one thing that happens."""
    world = World(1, 2, 3, 1, parts)
    for number, rate in enumerate((0.95, 1.05)):
        world.holders[number].rate = rate
    for node in world.keepers:
        node.rate = 1.05
    world.elect(world.keepers[0])
    for _ in range(3):
        choose(world, 0)
    for choice in choices:
        choose(world, choice)
        world.check()
    return world


def choose(world: World, choice: int) -> None:
    if choice == 0:  # all is well for a moment
        world.tick()
        while world.asks:
            world.deliver_ask(0)
        world.prove(world.leader or world.keepers[0])
        for node in world.keepers:
            world.answer_reads(node)
        while world.leader is not None and world.leader.pending:
            world.commit()
        while world.post:
            world.deliver_answer(0)
    elif choice == 1 and world.asks:
        world.deliver_ask(len(world.asks) - 1)
    elif choice == 2 and world.post:
        world.deliver_answer(len(world.post) - 1)
    elif choice == 3:
        world.commit()
    elif choice == 4:
        if world.leader is not None:
            world.prove(world.leader)
            world.answer_reads(world.leader)
    elif choice in (5, 6):
        world.time += (LASTS * 9 // 10 if choice == 5 else LASTS // 3) + 1
        world.tick()
    elif choice == 7:
        at = world.keepers.index(world.leader) if world.leader is not None else 0
        world.elect(world.keepers[(at + 1) % 3], keep=1.0)
        for each in world.holders:
            each.keeper = (at + 1) % 3
    elif choice == 8:
        world.holders[0].holder.release(NAME)
        world.tick()


# ---- The same on real consensus ----


class Applied:
    """LeaseStateMachine, with the count of entries that the consensus explorer asks for."""

    def __init__(self) -> None:
        self.terms = LeaseStateMachine()
        self.values: list[Any] = []

    def apply(self, index: int, command: list[Any]) -> None:
        self.values.append(command)
        self.terms.apply(index, command)

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode([len(self.values), self.terms.take_snapshot()])

    def restore_snapshot(self, data: bytes) -> None:
        count, terms = msgspec.msgpack.decode(data) if data else (0, b"")
        self.values = [None] * count
        self.terms.restore_snapshot(terms)


class RaftNode(consensus.SimulatedReplica):
    """A replica with a keeper on it, as `leases/node.py` puts them together."""

    cluster: "RaftWorld"
    state_machine_type = Applied

    def start(self) -> None:
        super().start()
        self.keeper = self.cluster.parts.keeper(self, self.state_machine.terms, self.cluster.rules)

    def role_changed(self, role: str, leader: str) -> None:
        if role == "leader":
            super().role_changed(role, leader)
            self.cluster.later.append((self, self.incarnation, self._read))
        elif self.keeper.leading:
            self.keeper.leads_no_more()

    def _read(self) -> None:
        self.replica.read(self._took_over)

    def _took_over(self, yes: bool) -> None:
        if yes and self.replica.raft.role == "leader" and not self.keeper.leading:
            self.keeper.leads()

    # The keeper's host.

    def now(self) -> int:
        return self.cluster.now

    def propose(self, command: list[Any], then: Callable[[bool], None]) -> None:
        self.cluster.later.append((self, self.incarnation, lambda: self.replica.propose([command], then)))

    def confirm(self, then: Callable[[bool], None]) -> None:
        self.cluster.later.append((self, self.incarnation, lambda: self.replica.read(then)))

    def tell(self, holder: str, message: dict[str, Any]) -> None:
        self.cluster.told.append((int(holder), message))


class RaftHolder:
    """The host of a holder; its clock runs up to 5% fast or slow beside the keepers'."""

    def __init__(self, world: "RaftWorld", number: int) -> None:
        self.world, self.number = world, number
        self.rate = (0.95, 1.0, 1.05)[number % 3]
        self.at = number % len(world.nodes)
        self.holder = world.parts.holder(self)

    def now(self) -> int:
        return int(self.world.now * self.rate)

    def send(self, message: dict[str, Any]) -> None:
        self.world.asked.append((f"n{self.at}", str(self.number), message))

    def go_elsewhere(self) -> None:
        self.at = (self.at + 1) % len(self.world.nodes)


class RaftWorld(consensus.SimulatedCluster):
    replica_type = RaftNode

    def __init__(self, seed: int, parts: Parts | None = None) -> None:
        self.parts = parts or Parts()
        self.rules = LeaseDefinitions({NAME: LeaseDefinition(1, LASTS)}, LEAST)
        self.later: list[tuple[RaftNode, int, Callable[[], None]]] = []  # what a loop would do next
        self.told: list[tuple[int, dict[str, Any]]] = []
        self.asked: list[tuple[str, str, dict[str, Any]]] = []
        super().__init__(seed, 3)
        self.holders = [RaftHolder(self, number) for number in range(3)]
        self.acting: set[tuple[int, int]] = set()
        self.highest = self.changes = 0
        for each in self.holders:
            each.holder.want(NAME, LASTS)

    def propose(self, node: consensus.SimulatedReplica) -> None:
        """The keepers propose for themselves."""

    def check(self) -> None:
        super().check()
        acting = {(h.number, h.holder.token(NAME)) for h in self.holders if h.holder.left(NAME)}
        consensus.require(len(acting) <= 1, f"two hold it at once: {sorted(acting)}")
        for number, token in acting - self.acting:
            consensus.require(
                token >= self.highest, f"holder {number} begins under {token}, not {self.highest}"
            )
            self.changes += token > self.highest
            self.highest = max(self.highest, token)
        self.acting = acting

    def step(self) -> None:
        chance = self.random
        for node, incarnation, call in self.later if chance.random() < 0.8 else ():
            if node.is_running and node.incarnation == incarnation:
                call()
        if chance.random() < 0.9:
            self.later.clear()
        if self.asked and chance.random() < 0.7:
            to, holder, message = self.asked.pop(
                0 if chance.random() < 0.8 else chance.randrange(len(self.asked))
            )
            node = self.nodes[to]
            assert isinstance(node, RaftNode)
            if node.is_running:
                node.keeper.asked(holder, message)
        if self.told and chance.random() < 0.7:
            number, message = self.told.pop(0 if chance.random() < 0.8 else chance.randrange(len(self.told)))
            self.holders[number].holder.told(message)
        if chance.random() < 0.05:
            self.now += chance.choice([100, 500, 1000, 2000]) * MS
        for node in self.nodes.values():
            assert isinstance(node, RaftNode)
            if node.is_running:
                node.keeper.tick()
        for each in self.holders:
            each.holder.tick()
            if chance.random() < 0.002:
                each.holder.release(NAME)
                each.holder.tick()
                each.holder.want(NAME, LASTS)
        super().step()


def explore_raft(seed: int, steps: int = 1500, parts: Parts | None = None) -> RaftWorld:
    """One schedule on real replicas of the consensus. Raises consensus.InvariantViolationError."""
    world = RaftWorld(seed, parts)
    try:
        for _ in range(steps):
            world.step()
    except Exception as error:
        error.add_note(f"raft, seed {seed}, step {world.steps}")
        raise
    return world
