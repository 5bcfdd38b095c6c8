"""Test harness: leases in simulated schedules on replicas of the real consensus instead of a model."""

from collections.abc import Callable

import msgspec

from ploverspoke.consensus.raft_state import Role
from ploverspoke.leases.definitions import LeaseDefinition, LeaseDefinitions
from ploverspoke.leases.messages import LeaseRequest, LeaseResponse
from ploverspoke.leases.state_machine import LeaseCommand, LeaseStateMachine
from ploverspoke.transport.units import MILLISECOND
from tests.consensus.raft_simulation import RandomCluster
from tests.consensus.simulated_cluster import require
from tests.consensus.simulated_replica import SimulatedReplica
from tests.leases.simulated_lease_cluster import DURATION, MIN_DURATION, NAME, Variants


class CountingLeaseStateMachine:
    """A LeaseStateMachine that also counts entries, because the consensus simulation checks the count."""

    def __init__(self) -> None:
        self.leases = LeaseStateMachine()
        self.values: list[object] = []

    def apply(self, index: int, command: object) -> None:
        self.values.append(command)
        self.leases.apply(index, command)

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode([len(self.values), self.leases.take_snapshot()])

    def restore_snapshot(self, data: bytes) -> None:
        count, leases = msgspec.msgpack.decode(data) if data else (0, b"")
        self.values = [None] * count
        self.leases.restore_snapshot(leases)


class LeaseRaftReplica(SimulatedReplica):
    """A replica that drives a manager in the same way as `leases/server_node.py`."""

    cluster: "LeaseRaftCluster"
    state_machine_type = CountingLeaseStateMachine
    state_machine: CountingLeaseStateMachine

    def start(self) -> None:
        super().start()
        self.manager = self.cluster.variants.manager(
            self, self.state_machine.leases, self.cluster.definitions
        )

    def role_changed(self, role: Role, leader: str) -> None:
        if role is Role.LEADER:
            super().role_changed(role, leader)
            self._defer(self._confirm_leadership)
        elif self.manager.is_leader:
            self.manager.lose_leadership()

    def _defer(self, call: Callable[[], None]) -> None:
        self.cluster.deferred_calls.append((self, self.incarnation, call))

    def _confirm_leadership(self) -> None:
        self.replica.read_barrier(self._start_leading)

    def _start_leading(self, confirmed: bool) -> None:
        if confirmed and self.replica.raft.role is Role.LEADER and not self.manager.is_leader:
            self.manager.become_leader()

    # Environment of the manager.

    def now(self) -> int:
        return self.cluster.now

    def propose(self, command: LeaseCommand, on_decided: Callable[[bool], None]) -> None:
        entry = msgspec.to_builtins(command)  # the form in which a follower receives it
        self._defer(lambda: self.replica.propose([entry], on_decided))

    def confirm_leadership(self, on_decided: Callable[[bool], None]) -> None:
        self._defer(lambda: self.replica.read_barrier(on_decided))

    def send(self, holder: str, response: LeaseResponse) -> None:
        self.cluster.responses.append((int(holder), response))


class RaftHolder:
    """The environment of a holder; its clock runs up to 5% faster or slower than the lease servers'."""

    def __init__(self, cluster: "LeaseRaftCluster", number: int) -> None:
        self.cluster, self.number = cluster, number
        self.rate = (0.95, 1.0, 1.05)[number % 3]
        self.server_number = number % len(cluster.nodes)
        self.holder = cluster.variants.holder(self)

    def now(self) -> int:
        return int(self.cluster.now * self.rate)

    def send(self, request: LeaseRequest) -> None:
        self.cluster.requests.append((f"n{self.server_number}", str(self.number), request))

    def try_next_server(self) -> None:
        self.server_number = (self.server_number + 1) % len(self.cluster.nodes)


class LeaseRaftCluster(RandomCluster):
    replica_type = LeaseRaftReplica

    def __init__(self, seed: int, variants: Variants | None = None) -> None:
        self.variants = variants or Variants()
        self.definitions = LeaseDefinitions({NAME: LeaseDefinition(1, DURATION)}, MIN_DURATION)
        # The pending callbacks of an event loop: the replica, its incarnation and the callback.
        self.deferred_calls: list[tuple[LeaseRaftReplica, int, Callable[[], None]]] = []
        self.responses: list[tuple[int, LeaseResponse]] = []
        self.requests: list[tuple[str, str, LeaseRequest]] = []
        super().__init__(seed, 3)
        self.holders = [RaftHolder(self, number) for number in range(3)]
        self.holding: set[tuple[int, int]] = set()
        self.highest_token = self.holder_changes = 0
        for raft_holder in self.holders:
            raft_holder.holder.request_lease(NAME, DURATION)

    def propose(self, node: SimulatedReplica) -> None:
        """Nothing: the lease managers make their own proposals."""

    def check(self) -> None:
        super().check()
        holding = {
            (raft_holder.number, raft_holder.holder.token(NAME))
            for raft_holder in self.holders
            if raft_holder.holder.time_left(NAME)
        }
        require(len(holding) <= 1, f"several holders hold the lease at once: {sorted(holding)}")
        for number, token in holding - self.holding:
            require(
                token >= self.highest_token,
                f"holder {number} acquired the lease under token {token}, after {self.highest_token}",
            )
            self.holder_changes += token > self.highest_token
            self.highest_token = max(self.highest_token, token)
        self.holding = holding

    def step(self) -> None:
        rng = self.random
        for replica, incarnation, call in self.deferred_calls if rng.random() < 0.8 else ():
            if replica.is_running and replica.incarnation == incarnation:
                call()
        if rng.random() < 0.9:
            self.deferred_calls.clear()
        if self.requests and rng.random() < 0.7:
            target, holder, request = self.requests.pop(
                0 if rng.random() < 0.8 else rng.randrange(len(self.requests))
            )
            node = self.nodes[target]
            assert isinstance(node, LeaseRaftReplica)
            if node.is_running:
                node.manager.handle_request(holder, request)
        if self.responses and rng.random() < 0.7:
            number, response = self.responses.pop(
                0 if rng.random() < 0.8 else rng.randrange(len(self.responses))
            )
            self.holders[number].holder.handle_response(response)
        if rng.random() < 0.05:
            self.now += rng.choice([100, 500, 1000, 2000]) * MILLISECOND
        for node in self.nodes.values():
            assert isinstance(node, LeaseRaftReplica)
            if node.is_running:
                node.manager.tick()
        for raft_holder in self.holders:
            raft_holder.holder.tick()
            if rng.random() < 0.002:
                raft_holder.holder.release(NAME)
                raft_holder.holder.tick()
                raft_holder.holder.request_lease(NAME, DURATION)
        super().step()


def explore_raft(seed: int, steps: int = 1500, variants: Variants | None = None) -> LeaseRaftCluster:
    """Run one schedule on replicas of the real consensus. Raises InvariantViolationError."""
    cluster = LeaseRaftCluster(seed, variants)
    try:
        for _ in range(steps):
            cluster.step()
    except Exception as error:
        error.add_note(f"raft, seed {seed}, step {cluster.steps}")
        raise
    return cluster
