"""Simulates clusters without I/O in random schedules of messages, writes, crashes, partitions and more.

The invariants are checked after each step. The seed determines the schedule: `run_schedule(seed, ...)`
repeats it exactly. `leases/lease_raft_simulation.py` runs lease servers on these replicas.
"""

from collections import defaultdict
from collections.abc import Callable
from os import sched_getaffinity
from typing import NamedTuple

from ploverspoke.transport.units import MILLISECOND
from tests.consensus.simulated_cluster import SimulatedCluster
from tests.consensus.simulated_replica import FaultInjector, SimulatedReplica, no_fault

# Half of the cores, so that the others are free for tests that run at the same time.
WORKER_PROCESSES = max(1, len(sched_getaffinity(0)) // 2)
DISTURBANCE_PROBABILITY = 0.06  # per step, with `extra_disturbances`

Action = Callable[[SimulatedReplica], None]


class RandomCluster(SimulatedCluster):
    """A cluster in which each step is chosen at random."""

    def __init__(
        self,
        seed: int,
        size: int,
        inject_fault: FaultInjector = no_fault,
        spare_replicas: int = 0,
        extra_disturbances: bool = False,
    ) -> None:
        """With `extra_disturbances`, leaders crash often, and few of them lead for long."""
        self.extra_disturbances = extra_disturbances
        super().__init__(seed, size, inject_fault, spare_replicas)

    def step(self) -> None:
        """Execute one action, chosen at random, and check the invariants."""
        self.steps += 1
        roll = self.random.random()
        node = self.random.choice(list(self.nodes.values()))
        if self.extra_disturbances and self.random.random() < DISTURBANCE_PROBABILITY:
            self._disturb()
        self._action_for(roll)(node)
        self.check()

    def _action_for(self, roll: float) -> Action:
        has_messages = bool(self.in_flight)
        has_spare = len(self.nodes) > len(self.members)
        actions: list[tuple[float, bool, Action]] = [
            (0.42, has_messages, self._deliver_messages),
            (0.62, True, self._write_batches),
            (0.72, True, self._advance_time),
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

    def _deliver_messages(self, node: SimulatedReplica) -> None:
        for _ in range(self.random.choice([1, 2, 4, 8])):
            if self.in_flight:
                is_reordered = self.random.random() < 0.2
                self.deliver(self.random.randrange(len(self.in_flight)) if is_reordered else 0)

    def _write_batches(self, node: SimulatedReplica) -> None:
        for current in self.nodes.values():
            if current.is_running and (current is node or self.random.random() < 0.6):
                current.write(self.random.random() < 0.8)
                current.write(self.random.random() < 0.6)

    def _advance_time(self, node: SimulatedReplica) -> None:
        self.now += self.random.choice([1, 5, 20, 40, 90]) * MILLISECOND
        for current in self.nodes.values():
            if (
                current.is_running
                and current.replica.raft.next_tick() <= self.now
                and self.random.random() < 0.7
            ):
                current.replica.raft.tick()

    def _propose_to_leader(self, node: SimulatedReplica) -> None:
        if node.is_leader():
            self.propose(node)

    def _lose_message(self, node: SimulatedReplica) -> None:
        self.in_flight.pop(self.random.randrange(len(self.in_flight)))

    def _duplicate_message(self, node: SimulatedReplica) -> None:
        self.deliver(self.random.randrange(len(self.in_flight)), keep_in_flight=True)

    def _crash_or_restart(self, node: SimulatedReplica) -> None:
        if not node.is_running:
            node.start()
        elif self.random.random() < 0.5:
            node.crash()

    def _partition_or_heal(self, node: SimulatedReplica) -> None:
        if self.partitioned:
            self.partitioned = set()
        else:
            # A list, not a set: the order must be the same whenever a seed is repeated.
            names = list(self.nodes)
            self.partitioned = set(self.random.sample(names, self.random.choice([1, 1, 2])))

    def _transfer_leadership(self, node: SimulatedReplica) -> None:
        node.replica.raft.transfer_leadership(self.random.choice(list(self.nodes)))

    def _disturb(self) -> None:
        """Crash the leader, compact its log, duplicate a message, or start all stopped replicas."""
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


def run_schedule(
    seed: int,
    size: int,
    steps: int,
    inject_fault: FaultInjector = no_fault,
    spare_replicas: int = 0,
    extra_disturbances: bool = False,
) -> RandomCluster:
    """Run one schedule.

    Raises InvariantViolationError, or an error of the code under test, with a note of the seed to repeat it.
    """
    cluster = RandomCluster(seed, size, inject_fault, spare_replicas, extra_disturbances)
    try:
        for _ in range(steps):
            cluster.step()
    except Exception as error:
        error.add_note(f"seed {seed}, size {size}, step {cluster.steps}")
        raise
    return cluster


class SimulationJob(NamedTuple):
    """A number of schedules with the same parameters, run in one worker process."""

    first_seed: int
    schedules: int
    size: int
    steps: int
    spare_replicas: int
    extra_disturbances: bool


def run_job(job: SimulationJob) -> dict[str, int]:
    """Run the schedules of a job; returns how many events of each kind occurred in them."""
    counts: dict[str, int] = defaultdict(int)
    for seed in range(job.first_seed, job.first_seed + job.schedules):
        cluster = run_schedule(
            seed,
            job.size,
            job.steps,
            spare_replicas=job.spare_replicas,
            extra_disturbances=job.extra_disturbances,
        )
        counts["committed"] += cluster.last_committed
        counts["terms"] += len(cluster.leaders)
        counts["reads"] += cluster.reads
        counts["acknowledged"] += len(cluster.acknowledged)
        if seed % 50 == 0:
            cluster.settle()
    return dict(counts)
