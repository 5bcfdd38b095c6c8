"""Test harness: leases in simulated schedules, on replicas of the real consensus in place of a model."""

from collections.abc import Callable
from typing import Any

import msgspec

from ploverspoke.consensus.raft_state import Role
from ploverspoke.leases.definitions import LeaseDefinition, LeaseDefinitions
from ploverspoke.leases.messages import LeaseRequest, LeaseResponse
from ploverspoke.leases.state_machine import LeaseCommand, LeaseStateMachine
from tests.consensus import raft_simulation as consensus
from tests.leases.lease_simulation import DURATION, MIN_DURATION, MS, NAME, Variants


class CountedLeases:
    """LeaseStateMachine, with the count of entries that the consensus explorer asks for."""

    def __init__(self) -> None:
        self.leases = LeaseStateMachine()
        self.values: list[Any] = []

    def apply(self, index: int, command: object) -> None:
        self.values.append(command)
        self.leases.apply(index, command)

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode([len(self.values), self.leases.take_snapshot()])

    def restore_snapshot(self, data: bytes) -> None:
        count, leases = msgspec.msgpack.decode(data) if data else (0, b"")
        self.values = [None] * count
        self.leases.restore_snapshot(leases)


class RaftNode(consensus.SimulatedReplica):
    """A replica with a manager on it, as `leases/server_node.py` puts them together."""

    cluster: "RaftWorld"
    state_machine_type = CountedLeases

    def start(self) -> None:
        super().start()
        self.manager = self.cluster.variants.manager(
            self, self.state_machine.leases, self.cluster.definitions
        )

    def role_changed(self, role: Role, leader: str) -> None:
        if role is Role.LEADER:
            super().role_changed(role, leader)
            self.cluster.later.append((self, self.incarnation, self._confirm_lead))
        elif self.manager.is_leader:
            self.manager.lose_leadership()

    def _confirm_lead(self) -> None:
        self.replica.read(self._begin_to_lead)

    def _begin_to_lead(self, confirmed: bool) -> None:
        if confirmed and self.replica.raft.role is Role.LEADER and not self.manager.is_leader:
            self.manager.become_leader()

    # The environment of its manager.

    def now(self) -> int:
        return self.cluster.now

    def propose(self, command: LeaseCommand, then: Callable[[bool], None]) -> None:
        entry = msgspec.to_builtins(command)  # as a follower receives it
        self.cluster.later.append((self, self.incarnation, lambda: self.replica.propose([entry], then)))

    def confirm_leadership(self, then: Callable[[bool], None]) -> None:
        self.cluster.later.append((self, self.incarnation, lambda: self.replica.read(then)))

    def send(self, holder: str, response: LeaseResponse) -> None:
        self.cluster.responses.append((int(holder), response))


class RaftHolder:
    """The environment of a holder; its clock runs up to 5% fast or slow beside the lease servers'."""

    def __init__(self, world: "RaftWorld", number: int) -> None:
        self.world, self.number = world, number
        self.rate = (0.95, 1.0, 1.05)[number % 3]
        self.at = number % len(world.nodes)
        self.holder = world.variants.holder(self)

    def now(self) -> int:
        return int(self.world.now * self.rate)

    def send(self, request: LeaseRequest) -> None:
        self.world.requests.append((f"n{self.at}", str(self.number), request))

    def try_next_server(self) -> None:
        self.at = (self.at + 1) % len(self.world.nodes)


class RaftWorld(consensus.SimulatedCluster):
    replica_type = RaftNode

    def __init__(self, seed: int, variants: Variants | None = None) -> None:
        self.variants = variants or Variants()
        self.definitions = LeaseDefinitions({NAME: LeaseDefinition(1, DURATION)}, MIN_DURATION)
        self.later: list[tuple[RaftNode, int, Callable[[], None]]] = []  # what a loop would do next
        self.responses: list[tuple[int, LeaseResponse]] = []
        self.requests: list[tuple[str, str, LeaseRequest]] = []
        super().__init__(seed, 3)
        self.holders = [RaftHolder(self, number) for number in range(3)]
        self.acting: set[tuple[int, int]] = set()
        self.highest = self.changes = 0
        for each in self.holders:
            each.holder.want(NAME, DURATION)

    def propose(self, node: consensus.SimulatedReplica) -> None:
        """The lease servers propose for themselves."""

    def check(self) -> None:
        super().check()
        acting = {(h.number, h.holder.token(NAME)) for h in self.holders if h.holder.time_left(NAME)}
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
        if self.requests and chance.random() < 0.7:
            to, holder, request = self.requests.pop(
                0 if chance.random() < 0.8 else chance.randrange(len(self.requests))
            )
            node = self.nodes[to]
            assert isinstance(node, RaftNode)
            if node.is_running:
                node.manager.handle_request(holder, request)
        if self.responses and chance.random() < 0.7:
            number, response = self.responses.pop(
                0 if chance.random() < 0.8 else chance.randrange(len(self.responses))
            )
            self.holders[number].holder.handle_response(response)
        if chance.random() < 0.05:
            self.now += chance.choice([100, 500, 1000, 2000]) * MS
        for node in self.nodes.values():
            assert isinstance(node, RaftNode)
            if node.is_running:
                node.manager.tick()
        for each in self.holders:
            each.holder.tick()
            if chance.random() < 0.002:
                each.holder.release(NAME)
                each.holder.tick()
                each.holder.want(NAME, DURATION)
        super().step()


def explore_raft(seed: int, steps: int = 1500, variants: Variants | None = None) -> RaftWorld:
    """One schedule on real replicas of the consensus. Raises consensus.InvariantViolationError."""
    world = RaftWorld(seed, variants)
    try:
        for _ in range(steps):
            world.step()
    except Exception as error:
        error.add_note(f"raft, seed {seed}, step {world.steps}")
        raise
    return world
