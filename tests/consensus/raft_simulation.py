"""Simulates clusters without I/O in seeded schedules of everything that can go wrong.

The invariants are checked after each step. A schedule is named by its seed: `explore(seed, ...)` replays it
to the letter. `leases/lease_raft_simulation.py` puts lease servers on these replicas.
"""

from collections import defaultdict
from collections.abc import Callable
from os import sched_getaffinity
from typing import NamedTuple

from ploverspoke.transport.units import MILLISECOND
from tests.consensus.simulated_cluster import SimulatedCluster
from tests.consensus.simulated_replica import FaultInjector, SimulatedReplica, no_fault

# Of a sweep: the other cores are for tests beside it.
WORKER_PROCESSES = max(1, len(sched_getaffinity(0)) // 2)
STORM_PROBABILITY = 0.06  # of a step

Action = Callable[[SimulatedReplica], None]


class RandomCluster(SimulatedCluster):
    """A cluster in which each step is drawn at random."""

    def __init__(
        self,
        seed: int,
        size: int,
        inject_fault: FaultInjector = no_fault,
        spare: int = 0,
        stormy: bool = False,
    ) -> None:
        """`stormy`: leaders seldom live long."""
        self.stormy = stormy
        super().__init__(seed, size, inject_fault, spare)

    def step(self) -> None:
        """Let one thing happen, drawn at random, and check."""
        self.steps += 1
        roll = self.random.random()
        node = self.random.choice(list(self.nodes.values()))
        if self.stormy and self.random.random() < STORM_PROBABILITY:
            self._storm()
        self._action_for(roll)(node)
        self.check()

    def _action_for(self, roll: float) -> Action:
        has_messages = bool(self.in_flight)
        has_spare = len(self.nodes) > len(self.members)
        actions: list[tuple[float, bool, Action]] = [
            (0.42, has_messages, self._deliver_some),
            (0.62, True, self._write_some),
            (0.72, True, self._pass_time),
            (0.86, True, self._propose_to_leader),
            (0.90, True, self._if_running(self.read)),
            (0.92, has_messages, self._lose_message),
            (0.94, has_messages, self._duplicate_message),
            (0.955, True, self._crash_or_restart),
            (0.958, True, self._partition_or_heal),
            (0.98, True, self._if_running(self.compact)),
            (0.985, True, self._if_running(self._transfer_leadership)),
            (0.99, has_spare, self._if_running(self.change_members)),
        ]
        for below, is_possible, action in actions:
            if roll < below and is_possible:
                return action
        return self.restart

    @staticmethod
    def _if_running(action: Action) -> Action:
        return lambda node: action(node) if node.is_running else None

    def _deliver_some(self, node: SimulatedReplica) -> None:
        for _ in range(self.random.choice([1, 2, 4, 8])):
            if self.in_flight:
                is_reordered = self.random.random() < 0.2
                self.deliver(self.random.randrange(len(self.in_flight)) if is_reordered else 0)

    def _write_some(self, node: SimulatedReplica) -> None:
        for each in self.nodes.values():
            if each.is_running and (each is node or self.random.random() < 0.6):
                each.write(self.random.random() < 0.8)
                each.write(self.random.random() < 0.6)

    def _pass_time(self, node: SimulatedReplica) -> None:
        self.now += self.random.choice([1, 5, 20, 40, 90]) * MILLISECOND
        for each in self.nodes.values():
            if each.is_running and each.replica.raft.next_tick() <= self.now and self.random.random() < 0.7:
                each.replica.raft.tick()

    def _propose_to_leader(self, node: SimulatedReplica) -> None:
        if node.is_leader():
            self.propose(node)

    def _lose_message(self, node: SimulatedReplica) -> None:
        self.in_flight.pop(self.random.randrange(len(self.in_flight)))

    def _duplicate_message(self, node: SimulatedReplica) -> None:
        self.deliver(self.random.randrange(len(self.in_flight)), keep=True)

    def _crash_or_restart(self, node: SimulatedReplica) -> None:
        if not node.is_running:
            node.start()
        elif self.random.random() < 0.5:
            node.crash()

    def _partition_or_heal(self, node: SimulatedReplica) -> None:
        if self.partitioned:
            self.partitioned = set()
        else:
            # In this order: a seed replays a schedule to the letter.
            names = list(self.nodes)
            self.partitioned = set(self.random.sample(names, self.random.choice([1, 1, 2])))

    def _transfer_leadership(self, node: SimulatedReplica) -> None:
        node.replica.raft.transfer_leadership(self.random.choice(list(self.nodes)))

    def _storm(self) -> None:
        """Crash or compact the leader, duplicate a message, or start all that are down."""
        leader = next((node for node in self.nodes.values() if node.is_leader()), None)
        kind = self.random.randrange(4)
        if kind == 0 and leader is not None:
            leader.crash()
        elif kind == 1 and leader is not None:
            self.compact(leader)
        elif kind == 2 and self.in_flight:
            self.in_flight.append(self.random.choice(self.in_flight))
        else:
            self.start_all()


def explore(
    seed: int,
    size: int,
    steps: int,
    inject_fault: FaultInjector = no_fault,
    spare: int = 0,
    stormy: bool = False,
) -> RandomCluster:
    """Run one schedule.

    Raises InvariantViolationError, or what the machine raises, with a note of the seed that replays it.
    """
    cluster = RandomCluster(seed, size, inject_fault, spare, stormy)
    try:
        for _ in range(steps):
            cluster.step()
    except Exception as error:
        error.add_note(f"seed {seed}, size {size}, step {cluster.steps}")
        raise
    return cluster


class Sweep(NamedTuple):
    """Many schedules of one kind, for a process of its own."""

    first_seed: int
    schedules: int
    size: int
    steps: int
    spare: int
    stormy: bool


def sweep(job: Sweep) -> dict[str, int]:
    """Run the schedules of a job; returns how much has happened in them."""
    found: dict[str, int] = defaultdict(int)
    for seed in range(job.first_seed, job.first_seed + job.schedules):
        cluster = explore(seed, job.size, job.steps, spare=job.spare, stormy=job.stormy)
        found["committed"] += cluster.last_committed
        found["terms"] += len(cluster.leaders)
        found["reads"] += cluster.reads
        found["acknowledged"] += len(cluster.acknowledged)
        if seed % 50 == 0:
            cluster.settle()
    return dict(found)
