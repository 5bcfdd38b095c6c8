"""Test harness: drives managers and holders through schedules of all that can go wrong, and checks each step.

Consensus is a model of what it promises, with everything it allows: a proposal of a leader that was replaced
may be committed or not; one that was deposed may go on believing that it leads; a read is confirmed if the
lease server still led when it was asked for, which may become known at any later time. Clocks of processes
run up to 5% fast or slow. A schedule is named by its seed, or is a list of choices.
"""

import random
from collections.abc import Callable, Sequence

from ploverspoke.leases.definitions import LeaseDefinition, LeaseDefinitions
from ploverspoke.leases.holder import LeaseHolder
from ploverspoke.leases.manager import LeaseManager
from ploverspoke.leases.messages import LeaseRequest, LeaseResponse
from ploverspoke.leases.state_machine import LeaseCommand, LeaseStateMachine

MS = 1_000_000
MIN_DURATION, DURATION = 1000 * MS, 2000 * MS
NAME = "task"


class InvariantError(AssertionError):
    """An invariant does not hold."""


class EffectGuard:
    """The receiving side of effects."""

    def __init__(self) -> None:
        self.latest = 0

    def allows(self, token: int) -> bool:
        if token < self.latest:
            return False
        self.latest = token
        return True


class Variants:
    """What is driven; a faulty variant takes one of these places."""

    def __init__(
        self,
        manager: type[LeaseManager] = LeaseManager,
        holder: type[LeaseHolder] = LeaseHolder,
        state: type[LeaseStateMachine] = LeaseStateMachine,
        guard: type[EffectGuard] = EffectGuard,
        late_role_change: bool = False,  # another leader's entries are applied before a server knows of it
    ) -> None:
        self.late_role_change = late_role_change
        self.manager, self.holder, self.state, self.guard = manager, holder, state, guard


class Clock:
    def __init__(self, world: "World") -> None:
        self.world = world
        self.rate = world.chance.choice([0.95, 1.0, 1.05])
        self.ahead = world.chance.randrange(1000 * MS)

    def now(self) -> int:
        return int(self.world.time * self.rate) + self.ahead


class SimulatedLeaseServer(Clock):
    """The environment of one manager, and its place in the model of consensus."""

    def __init__(self, world: "World", number: int) -> None:
        super().__init__(world)
        self.number = number
        self.epoch = 0
        self.pending: list[tuple[LeaseCommand, Callable[[bool], None]]] = []
        self.reads: list[tuple[int, Callable[[bool], None]]] = []  # the term in which it was asked for
        self.proved: list[Callable[[bool], None]] = []
        self.applied = 0
        self._begin()

    def _begin(self) -> None:
        self.state = self.world.variants.state()
        self.manager = self.world.variants.manager(self, self.state, self.world.definitions)

    def restart(self) -> None:
        self.applied = 0
        self.pending, self.reads, self.proved = [], [], []
        self._begin()
        self.state.restore_snapshot(self.world.snapshot)

    def catch_up(self) -> None:
        for command in self.world.log[self.applied :]:
            self.state.apply(0, command)
        self.applied = len(self.world.log)

    # The environment of its manager.

    def propose(self, command: LeaseCommand, then: Callable[[bool], None]) -> None:
        self.pending.append((command, then))

    def confirm_leadership(self, then: Callable[[bool], None]) -> None:
        self.reads.append((self.world.term if self.world.leader is self else -1, then))

    def send(self, holder: str, response: LeaseResponse) -> None:
        self.world.responses.append((self.number, int(holder), response))


class SimulatedHolder(Clock):
    def __init__(self, world: "World", number: int) -> None:
        super().__init__(world)
        self.number = number
        self.server = 0
        self.holder = world.variants.holder(self)

    def send(self, request: LeaseRequest) -> None:
        self.world.requests.append((self.number, self.server, request))

    def try_next_server(self) -> None:
        self.server = (self.server + 1) % len(self.world.servers)


class World:
    def __init__(
        self, seed: int, holders: int = 3, servers: int = 3, places: int = 1, variants: Variants | None = None
    ) -> None:
        self.chance = random.Random(seed)
        self.variants = variants or Variants()
        self.definitions = LeaseDefinitions({NAME: LeaseDefinition(places, DURATION)}, MIN_DURATION)
        self.places = places
        self.time = 10_000 * MS  # the true one
        self.term = 0
        self.log: list[LeaseCommand] = []
        self.snapshot = b""
        self.backups: list[tuple[list[LeaseCommand], bytes]] = []
        self.leader: SimulatedLeaseServer | None = None
        self.servers = [SimulatedLeaseServer(self, n) for n in range(servers)]
        self.holders = [SimulatedHolder(self, n) for n in range(holders)]
        self.requests: list[tuple[int, int, LeaseRequest]] = []
        self.responses: list[tuple[int, int, LeaseResponse]] = []
        self.effects: list[int] = []  # tokens on their way to what is acted on
        self.guard = self.variants.guard()
        self.taken = 0  # the highest token that had an effect
        self.acting: set[tuple[int, int]] = set()  # holder and token, as of the last step
        self.highest = 0
        self.changes = self.refused = 0
        for node in self.holders:
            node.holder.want(NAME, DURATION)

    # ---- What must hold ----

    def check(self) -> None:
        acting = {(n.number, n.holder.token(NAME)) for n in self.holders if n.holder.time_left(NAME)}
        if len(acting) > self.places:
            raise InvariantError(f"{len(acting)} hold it at once, {self.places} may: {sorted(acting)}")
        for number, token in acting - self.acting:
            if token < self.highest and self.places == 1:
                raise InvariantError(f"holder {number} begins under {token}, {self.highest} was there before")
            self.changes += token > self.highest
            self.highest = max(self.highest, token)
        self.acting = acting

    # ---- What can happen ----

    def elect(self, node: SimulatedLeaseServer, keep: float = 0.5) -> None:
        """The old leader's proposals are committed up to some point; it may not know that it is deposed."""
        old = self.leader
        if old is not None:
            while old.pending and self.chance.random() < keep:
                self._commit(old, notify=False)
        self.term += 1
        self.leader = node
        # Whoever applies another's entries knows by then that it leads no more.
        if not self.variants.late_role_change:
            node.manager.lose_leadership()
        node.pending.clear()
        node.catch_up()
        node.manager.become_leader(node.epoch)

    def depose(self) -> None:
        """Those that lead no more learn of it."""
        for node in self.servers:
            if node is not self.leader and node.manager.is_leader:
                node.manager.lose_leadership()
                node.pending.clear()
                for _, then in node.reads:
                    then(False)
                node.reads.clear()

    def _commit(self, node: SimulatedLeaseServer, notify: bool = True) -> None:
        command, then = node.pending.pop(0)
        self.log.append(command)
        if notify:
            node.catch_up()
            then(True)

    def commit(self) -> None:
        if self.leader is not None and self.leader.pending:
            self._commit(self.leader)

    def prove(self, node: SimulatedLeaseServer) -> None:
        """A majority answers those rounds that were sent while it led, and it leads still."""
        if node is self.leader and node.manager.is_leader:
            node.proved += [then for term, then in node.reads if term == self.term]
            node.reads = [row for row in node.reads if row[0] != self.term]

    def answer_reads(self, node: SimulatedLeaseServer) -> None:
        proved, node.proved = node.proved, []
        for then in proved:
            then(True)

    def deliver_request(self, at: int, keep: bool = False) -> None:
        holder, server, request = self.requests[at] if keep else self.requests.pop(at)
        self.servers[server].manager.handle_request(str(holder), request)

    def deliver_response(self, at: int, keep: bool = False) -> None:
        _, holder, response = self.responses[at] if keep else self.responses.pop(at)
        self.holders[holder].holder.handle_response(response)

    def tick(self) -> None:
        for node in self.servers:
            node.manager.tick()
        for each in self.holders:
            each.holder.tick()

    def act(self, node: SimulatedHolder) -> None:
        """It looks, and sends an effect; how long that is on its way nobody knows."""
        if token := node.holder.token(NAME):
            self.effects.append(token)

    def effect(self, at: int) -> None:
        token = self.effects.pop(at)
        if not self.guard.allows(token):
            self.refused += 1
            return
        if token < self.taken:
            raise InvariantError(f"an effect under {token} was taken after one under {self.taken}")
        self.taken = token

    def back_up(self) -> None:
        self.backups = [(list(self.log), self.snapshot)]

    def restore(self) -> None:
        """All lease servers begin again from one backup, each in a new epoch."""
        if self.backups and self.leader is not None:
            self.log, self.snapshot = list(self.backups[0][0]), self.backups[0][1]
            self.leader = None
            self.term += 1
            epoch = max(node.epoch for node in self.servers) + 1
            for node in self.servers:
                node.epoch = epoch
                node.restart()

    def crash(self, node: SimulatedLeaseServer) -> None:
        if node is self.leader:
            self.leader = None
            self.term += 1
        node.restart()

    def step(self) -> None:
        """One thing happens, chosen by chance."""
        roll = self.chance.random()
        node = self.chance.choice(self.servers)
        holder = self.chance.choice(self.holders)
        if roll < 0.86:
            self._step_of_normal_operation(roll, node)
        else:
            self._step_of_rare_events(roll, node, holder)
        if self.chance.random() < 0.003:
            node.manager.forget_holder(str(holder.number))
        self.check()

    def _step_of_normal_operation(self, roll: float, node: SimulatedLeaseServer) -> None:
        chance = self.chance
        if roll < 0.22 and self.requests:
            self.deliver_request(chance.randrange(len(self.requests)) if chance.random() < 0.3 else 0)
        elif roll < 0.42 and self.responses:
            self.deliver_response(chance.randrange(len(self.responses)) if chance.random() < 0.3 else 0)
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
        else:
            self.tick()

    def _step_of_rare_events(self, roll: float, node: SimulatedLeaseServer, holder: SimulatedHolder) -> None:
        chance = self.chance
        if roll < 0.89:
            self.act(holder)
        elif roll < 0.91 and self.effects:
            self.effect(chance.randrange(len(self.effects)))
        elif roll < 0.93 and self.requests:
            self.requests.pop(chance.randrange(len(self.requests)))
        elif roll < 0.945 and self.requests:
            self.deliver_request(chance.randrange(len(self.requests)), keep=True)
        elif roll < 0.96 and self.responses:
            self.deliver_response(chance.randrange(len(self.responses)), keep=True)
        elif roll < 0.97:
            holder.holder.release(NAME)
            self.tick()
            holder.holder.want(NAME, DURATION)
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


def explore(seed: int, steps: int = 500, variants: Variants | None = None, places: int = 1) -> World:
    """One schedule. Raises InvariantError, with a note of the seed that replays it."""
    world = World(seed, 2 + seed % 3, 3, places, variants)
    world.elect(world.servers[0])
    try:
        for _ in range(steps):
            world.step()
    except Exception as error:
        error.add_note(f"seed {seed}, places {places}")
        raise
    return world


CHOICES = 9


def by_choices(choices: Sequence[int], variants: Variants | None = None) -> World:
    """Two holders, three lease servers; the first has the lease. Each choice is one thing that happens."""
    world = World(1, 2, 3, 1, variants)
    for number, rate in enumerate((0.95, 1.05)):
        world.holders[number].rate = rate
    for node in world.servers:
        node.rate = 1.05
    world.elect(world.servers[0])
    for _ in range(3):
        choose(world, 0)
    for choice in choices:
        choose(world, choice)
        world.check()
    return world


def choose(world: World, choice: int) -> None:
    if choice == 0:  # all is well for a moment
        world.tick()
        while world.requests:
            world.deliver_request(0)
        world.prove(world.leader or world.servers[0])
        for node in world.servers:
            world.answer_reads(node)
        while world.leader is not None and world.leader.pending:
            world.commit()
        while world.responses:
            world.deliver_response(0)
    elif choice == 1 and world.requests:
        world.deliver_request(len(world.requests) - 1)
    elif choice == 2 and world.responses:
        world.deliver_response(len(world.responses) - 1)
    elif choice == 3:
        world.commit()
    elif choice == 4:
        if world.leader is not None:
            world.prove(world.leader)
            world.answer_reads(world.leader)
    elif choice in (5, 6):
        world.time += (DURATION * 9 // 10 if choice == 5 else DURATION // 3) + 1
        world.tick()
    elif choice == 7:
        at = world.servers.index(world.leader) if world.leader is not None else 0
        world.elect(world.servers[(at + 1) % 3], keep=1.0)
        for each in world.holders:
            each.server = (at + 1) % 3
    elif choice == 8:
        world.holders[0].holder.release(NAME)
        world.tick()
