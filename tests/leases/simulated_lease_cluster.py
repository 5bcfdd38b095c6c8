"""A model of lease servers and holders on virtual time, with all that can happen to them, and invariants.

Consensus is a model of what it promises, with everything it allows: a proposal of a leader that was replaced
may be committed or not; one that was deposed may go on believing that it leads; a read is confirmed if the
lease server still led when it was asked for, which may become known at any later time. Clocks of processes
run up to 5% fast or slow.
"""

import random
from collections.abc import Callable

from ploverspoke.leases.definitions import LeaseDefinition, LeaseDefinitions
from ploverspoke.leases.holder import LeaseHolder
from ploverspoke.leases.manager import LeaseManager
from ploverspoke.leases.messages import LeaseRequest, LeaseResponse
from ploverspoke.leases.state_machine import LeaseCommand, LeaseStateMachine
from ploverspoke.transport.units import MILLISECOND

MIN_DURATION, DURATION = 1000 * MILLISECOND, 2000 * MILLISECOND
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
    """The types of the parts that are driven; a faulty variant replaces one of them."""

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
    def __init__(self, cluster: "SimulatedLeaseCluster") -> None:
        self.cluster = cluster
        self.rate = cluster.rng.choice([0.95, 1.0, 1.05])
        self.ahead = cluster.rng.randrange(1000 * MILLISECOND)

    def now(self) -> int:
        return int(self.cluster.time * self.rate) + self.ahead


class SimulatedLeaseServer(Clock):
    """The environment of one manager, and its place in the model of consensus."""

    def __init__(self, cluster: "SimulatedLeaseCluster", number: int) -> None:
        super().__init__(cluster)
        self.number = number
        self.epoch = 0
        self.pending: list[tuple[LeaseCommand, Callable[[bool], None]]] = []
        self.reads: list[tuple[int, Callable[[bool], None]]] = []  # the term in which it was asked for
        self.confirmed_reads: list[Callable[[bool], None]] = []
        self.applied = 0
        self._begin()

    def _begin(self) -> None:
        self.state = self.cluster.variants.state()
        self.manager = self.cluster.variants.manager(self, self.state, self.cluster.definitions)

    def restart(self) -> None:
        self.applied = 0
        self.pending, self.reads, self.confirmed_reads = [], [], []
        self._begin()
        self.state.restore_snapshot(self.cluster.snapshot)

    def catch_up(self) -> None:
        for command in self.cluster.log[self.applied :]:
            self.state.apply(0, command)
        self.applied = len(self.cluster.log)

    # The environment of its manager.

    def propose(self, command: LeaseCommand, on_decided: Callable[[bool], None]) -> None:
        self.pending.append((command, on_decided))

    def confirm_leadership(self, on_decided: Callable[[bool], None]) -> None:
        self.reads.append((self.cluster.term if self.cluster.leader is self else -1, on_decided))

    def send(self, holder: str, response: LeaseResponse) -> None:
        self.cluster.responses.append((self.number, int(holder), response))


class SimulatedHolder(Clock):
    def __init__(self, cluster: "SimulatedLeaseCluster", number: int) -> None:
        super().__init__(cluster)
        self.number = number
        self.server = 0
        self.holder = cluster.variants.holder(self)

    def send(self, request: LeaseRequest) -> None:
        self.cluster.requests.append((self.number, self.server, request))

    def try_next_server(self) -> None:
        self.server = (self.server + 1) % len(self.cluster.servers)


class SimulatedLeaseCluster:
    def __init__(
        self,
        seed: int,
        holders: int = 3,
        servers: int = 3,
        max_holders: int = 1,
        variants: Variants | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.variants = variants or Variants()
        self.definitions = LeaseDefinitions({NAME: LeaseDefinition(max_holders, DURATION)}, MIN_DURATION)
        self.max_holders = max_holders
        self.time = 10_000 * MILLISECOND  # the true one
        self.term = 0
        self.log: list[LeaseCommand] = []
        self.snapshot = b""
        self.backups: list[tuple[list[LeaseCommand], bytes]] = []
        self.leader: SimulatedLeaseServer | None = None
        self.servers = [SimulatedLeaseServer(self, number) for number in range(servers)]
        self.holders = [SimulatedHolder(self, number) for number in range(holders)]
        self.requests: list[tuple[int, int, LeaseRequest]] = []
        self.responses: list[tuple[int, int, LeaseResponse]] = []
        self.effects: list[int] = []  # tokens on their way to what is acted on
        self.guard = self.variants.guard()
        self.taken = 0  # the highest token that had an effect
        self.holding: set[tuple[int, int]] = set()  # holder and token, as of the last step
        self.highest = 0
        self.changes = self.refused = 0
        for node in self.holders:
            node.holder.want(NAME, DURATION)

    # ---- What must hold ----

    def check(self) -> None:
        holding = {
            (each.number, each.holder.token(NAME)) for each in self.holders if each.holder.time_left(NAME)
        }
        if len(holding) > self.max_holders:
            raise InvariantError(f"{len(holding)} hold it at once, {self.max_holders} may: {sorted(holding)}")
        for number, token in holding - self.holding:
            if token < self.highest and self.max_holders == 1:
                raise InvariantError(f"holder {number} begins under {token}, {self.highest} was there before")
            self.changes += token > self.highest
            self.highest = max(self.highest, token)
        self.holding = holding

    # ---- What can happen ----

    def elect(self, node: SimulatedLeaseServer, keep: float = 0.5) -> None:
        """Make this server the leader.

        The old leader's proposals are committed up to some point; it may not know that it is deposed.
        """
        old = self.leader
        if old is not None:
            while old.pending and self.rng.random() < keep:
                self._commit(old, notify=False)
        self.term += 1
        self.leader = node
        # Whoever applies another's entries knows by that time that it leads no more.
        if not self.variants.late_role_change:
            node.manager.lose_leadership()
        node.pending.clear()
        node.catch_up()
        node.manager.become_leader(node.epoch)

    def depose(self) -> None:
        """Notify the servers that lead no more."""
        for node in self.servers:
            if node is not self.leader and node.manager.is_leader:
                node.manager.lose_leadership()
                node.pending.clear()
                for _, on_decided in node.reads:
                    on_decided(False)
                node.reads.clear()

    def _commit(self, node: SimulatedLeaseServer, notify: bool = True) -> None:
        command, on_decided = node.pending.pop(0)
        self.log.append(command)
        if notify:
            node.catch_up()
            on_decided(True)

    def commit(self) -> None:
        if self.leader is not None and self.leader.pending:
            self._commit(self.leader)

    def confirm_reads(self, node: SimulatedLeaseServer) -> None:
        """Confirm the reads that were asked for while it led, if it leads still."""
        if node is self.leader and node.manager.is_leader:
            node.confirmed_reads += [on_decided for term, on_decided in node.reads if term == self.term]
            node.reads = [row for row in node.reads if row[0] != self.term]

    def answer_confirmed_reads(self, node: SimulatedLeaseServer) -> None:
        confirmed_reads, node.confirmed_reads = node.confirmed_reads, []
        for on_decided in confirmed_reads:
            on_decided(True)

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

    def pass_time(self, duration: int) -> None:
        self.time += duration
        self.tick()

    def act(self, node: SimulatedHolder) -> None:
        """Let a holder send an effect; it may be on its way for any time."""
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
        """Restart all lease servers from one backup, in a new epoch."""
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
