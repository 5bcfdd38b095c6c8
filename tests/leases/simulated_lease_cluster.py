"""Test harness: lease servers and holders in virtual time, the events that can happen, and invariants.

Consensus is replaced by a model of its guarantees that includes all behaviour that they allow: a proposal of
a leader that was replaced may or may not be committed; a deposed leader may still believe that it leads; a
read is confirmed if the lease server still led when it was requested, but possibly at any later time. The
clocks of processes run up to 5% fast or slow.
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
    """An invariant is violated."""


class EffectGuard:
    """The receiver of effects."""

    def __init__(self) -> None:
        self.latest = 0

    def allows(self, token: int) -> bool:
        if token < self.latest:
            return False
        self.latest = token
        return True


class Variants:
    """The classes under test; a faulty variant replaces one of them."""

    def __init__(
        self,
        manager: type[LeaseManager] = LeaseManager,
        holder: type[LeaseHolder] = LeaseHolder,
        state: type[LeaseStateMachine] = LeaseStateMachine,
        guard: type[EffectGuard] = EffectGuard,
        late_role_change: bool = False,  # a new leader's entries are applied before the server stops leading
    ) -> None:
        self.late_role_change = late_role_change
        self.manager, self.holder, self.state, self.guard = manager, holder, state, guard


class Clock:
    def __init__(self, cluster: "SimulatedLeaseCluster") -> None:
        self.cluster = cluster
        self.rate = cluster.rng.choice([0.95, 1.0, 1.05])
        self.offset = cluster.rng.randrange(1000 * MILLISECOND)

    def now(self) -> int:
        return int(self.cluster.time * self.rate) + self.offset


class SimulatedLeaseServer(Clock):
    """The environment of one manager, and a replica in the model of consensus."""

    def __init__(self, cluster: "SimulatedLeaseCluster", number: int) -> None:
        super().__init__(cluster)
        self.number = number
        self.epoch = 0
        self.pending: list[tuple[LeaseCommand, Callable[[bool], None]]] = []
        # The reads that are not yet confirmed, each with the term in which it was requested.
        self.reads: list[tuple[int, Callable[[bool], None]]] = []
        self.confirmed_reads: list[Callable[[bool], None]] = []
        self.applied = 0
        self._create_manager()

    def _create_manager(self) -> None:
        self.state = self.cluster.variants.state()
        self.manager = self.cluster.variants.manager(self, self.state, self.cluster.definitions)

    def restart(self) -> None:
        self.applied = 0
        self.pending, self.reads, self.confirmed_reads = [], [], []
        self._create_manager()
        self.state.restore_snapshot(self.cluster.snapshot)

    def catch_up(self) -> None:
        for command in self.cluster.log[self.applied :]:
            self.state.apply(0, command)
        self.applied = len(self.cluster.log)

    # Environment of the manager.

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
        self.time = 10_000 * MILLISECOND  # true time, ns
        self.term = 0
        self.log: list[LeaseCommand] = []
        self.snapshot = b""
        self.backups: list[tuple[list[LeaseCommand], bytes]] = []
        self.leader: SimulatedLeaseServer | None = None
        self.servers = [SimulatedLeaseServer(self, number) for number in range(servers)]
        self.holders = [SimulatedHolder(self, number) for number in range(holders)]
        self.requests: list[tuple[int, int, LeaseRequest]] = []
        self.responses: list[tuple[int, int, LeaseResponse]] = []
        self.effects: list[int] = []  # tokens of effects on their way to the receiver
        self.guard = self.variants.guard()
        self.accepted_token = 0  # token of the latest accepted effect
        self.holding: set[tuple[int, int]] = set()  # holder and token, as of the last step
        self.highest_token = 0
        self.holder_changes = self.rejected_effects = 0
        for simulated_holder in self.holders:
            simulated_holder.holder.request_lease(NAME, DURATION)

    # ---- Invariants ----

    def check(self) -> None:
        holding = {
            (simulated_holder.number, simulated_holder.holder.token(NAME))
            for simulated_holder in self.holders
            if simulated_holder.holder.time_left(NAME)
        }
        if len(holding) > self.max_holders:
            raise InvariantError(
                f"{len(holding)} holders at once, only {self.max_holders} allowed: {sorted(holding)}"
            )
        for number, token in holding - self.holding:
            if token < self.highest_token and self.max_holders == 1:
                raise InvariantError(
                    f"holder {number} acquired the lease under token {token}, after {self.highest_token}"
                )
            self.holder_changes += token > self.highest_token
            self.highest_token = max(self.highest_token, token)
        self.holding = holding

    # ---- Events ----

    def elect(self, server: SimulatedLeaseServer, commit_probability: float = 0.5) -> None:
        """Make this server the leader.

        The old leader's proposals are committed up to a random one; it may not know that it was deposed.
        """
        old_leader = self.leader
        if old_leader is not None:
            while old_leader.pending and self.rng.random() < commit_probability:
                self._commit(old_leader, notify=False)
        self.term += 1
        self.leader = server
        # A server that applies another leader's entries knows by then that it does not lead.
        if not self.variants.late_role_change:
            server.manager.lose_leadership()
        server.pending.clear()
        server.catch_up()
        server.manager.become_leader(server.epoch)

    def notify_deposed_leaders(self) -> None:
        """Tell all servers that still believe that they lead that they do not."""
        for server in self.servers:
            if server is not self.leader and server.manager.is_leader:
                server.manager.lose_leadership()
                server.pending.clear()
                for _, on_decided in server.reads:
                    on_decided(False)
                server.reads.clear()

    def _commit(self, server: SimulatedLeaseServer, notify: bool = True) -> None:
        command, on_decided = server.pending.pop(0)
        self.log.append(command)
        if notify:
            server.catch_up()
            on_decided(True)

    def commit(self) -> None:
        if self.leader is not None and self.leader.pending:
            self._commit(self.leader)

    def confirm_reads(self, server: SimulatedLeaseServer) -> None:
        """Confirm the reads that were requested in the current term, if the server still leads."""
        if server is self.leader and server.manager.is_leader:
            server.confirmed_reads += [on_decided for term, on_decided in server.reads if term == self.term]
            server.reads = [row for row in server.reads if row[0] != self.term]

    def answer_confirmed_reads(self, server: SimulatedLeaseServer) -> None:
        confirmed_reads, server.confirmed_reads = server.confirmed_reads, []
        for on_decided in confirmed_reads:
            on_decided(True)

    def deliver_request(self, index: int, duplicate: bool = False) -> None:
        holder, server, request = self.requests[index] if duplicate else self.requests.pop(index)
        self.servers[server].manager.handle_request(str(holder), request)

    def deliver_response(self, index: int, duplicate: bool = False) -> None:
        _, holder, response = self.responses[index] if duplicate else self.responses.pop(index)
        self.holders[holder].holder.handle_response(response)

    def tick(self) -> None:
        for server in self.servers:
            server.manager.tick()
        for simulated_holder in self.holders:
            simulated_holder.holder.tick()

    def pass_time(self, duration: int) -> None:
        self.time += duration
        self.tick()

    def send_effect(self, simulated_holder: SimulatedHolder) -> None:
        """Let a holder send an effect if it holds the lease; the effect may be delayed for any time."""
        if token := simulated_holder.holder.token(NAME):
            self.effects.append(token)

    def deliver_effect(self, index: int) -> None:
        token = self.effects.pop(index)
        if not self.guard.allows(token):
            self.rejected_effects += 1
            return
        if token < self.accepted_token:
            raise InvariantError(
                f"an effect under token {token} was accepted after one under {self.accepted_token}"
            )
        self.accepted_token = token

    def back_up(self) -> None:
        self.backups = [(list(self.log), self.snapshot)]

    def restore(self) -> None:
        """Restart all lease servers from one backup, in a new epoch."""
        if self.backups and self.leader is not None:
            self.log, self.snapshot = list(self.backups[0][0]), self.backups[0][1]
            self.leader = None
            self.term += 1
            epoch = max(server.epoch for server in self.servers) + 1
            for server in self.servers:
                server.epoch = epoch
                server.restart()

    def crash(self, server: SimulatedLeaseServer) -> None:
        if server is self.leader:
            self.leader = None
            self.term += 1
        server.restart()
