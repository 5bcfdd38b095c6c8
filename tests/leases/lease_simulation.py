"""Test harness: drives lease managers and holders through schedules of faults, and checks each step.

A schedule is generated from a seed, or given as a list of choices.
"""

from collections.abc import Sequence
from enum import IntEnum

from ploverspoke.transport.units import MILLISECOND
from tests.leases.simulated_lease_cluster import (
    DURATION,
    NAME,
    SimulatedHolder,
    SimulatedLeaseCluster,
    SimulatedLeaseServer,
    Variants,
)


class RandomLeaseCluster(SimulatedLeaseCluster):
    """A cluster in which each step is drawn at random."""

    def step(self) -> None:
        """Run one event, drawn at random, and check the invariants."""
        roll = self.rng.random()
        server = self.rng.choice(self.servers)
        holder = self.rng.choice(self.holders)
        if roll < 0.86:
            self._run_normal_event(roll, server)
        else:
            self._run_rare_event(roll, server, holder)
        if self.rng.random() < 0.003:
            server.manager.forget_holder(str(holder.number))
        self.check()

    def _run_normal_event(self, roll: float, server: SimulatedLeaseServer) -> None:
        rng = self.rng
        if roll < 0.22 and self.requests:
            self.deliver_request(rng.randrange(len(self.requests)) if rng.random() < 0.3 else 0)
        elif roll < 0.42 and self.responses:
            self.deliver_response(rng.randrange(len(self.responses)) if rng.random() < 0.3 else 0)
        elif roll < 0.52:
            self.commit()
        elif roll < 0.64:
            if self.leader is not None:
                self.confirm_reads(self.leader)
            self.answer_confirmed_reads(server if rng.random() < 0.3 or self.leader is None else self.leader)
        elif roll < 0.78:
            self.time += rng.choice([5, 50, 200, 400, 700, 1000, 2200]) * MILLISECOND
            if rng.random() < 0.8:
                self.tick()
        else:
            self.tick()

    def _run_rare_event(self, roll: float, server: SimulatedLeaseServer, holder: SimulatedHolder) -> None:
        rng = self.rng
        if roll < 0.89:
            self.send_effect(holder)
        elif roll < 0.91 and self.effects:
            self.deliver_effect(rng.randrange(len(self.effects)))
        elif roll < 0.93 and self.requests:
            self.requests.pop(rng.randrange(len(self.requests)))
        elif roll < 0.945 and self.requests:
            self.deliver_request(rng.randrange(len(self.requests)), duplicate=True)
        elif roll < 0.96 and self.responses:
            self.deliver_response(rng.randrange(len(self.responses)), duplicate=True)
        elif roll < 0.97:
            holder.holder.release(NAME)
            self.tick()
            holder.holder.request_lease(NAME, DURATION)
        elif roll < 0.98:
            self.elect(server)
            if rng.random() < 0.6:
                self.notify_deposed_leaders()
        elif roll < 0.984:
            self.crash(server)
        elif roll < 0.987:
            self.back_up()
        elif roll < 0.99:
            self.restore()
        elif self.leader is None:
            self.elect(server)


def explore(
    seed: int, steps: int = 500, variants: Variants | None = None, max_holders: int = 1
) -> RandomLeaseCluster:
    """Run one random schedule. Raises InvariantError, with a note of the seed that replays it."""
    cluster = RandomLeaseCluster(seed, 2 + seed % 3, 3, max_holders, variants)
    cluster.elect(cluster.servers[0])
    try:
        for _ in range(steps):
            cluster.step()
    except Exception as error:
        error.add_note(f"seed {seed}, max_holders {max_holders}")
        raise
    return cluster


class Choice(IntEnum):
    """One event in a schedule of choices."""

    HEALTHY_ROUND = 0
    DELIVER_LAST_REQUEST = 1
    DELIVER_LAST_RESPONSE = 2
    COMMIT = 3
    CONFIRM_READS = 4
    PASS_MOST_OF_A_LEASE = 5
    PASS_A_THIRD_OF_A_LEASE = 6
    ELECT_NEXT_SERVER = 7
    RELEASE = 8


def run_choices(choices: Sequence[Choice], variants: Variants | None = None) -> SimulatedLeaseCluster:
    """Run the choices on two holders and three lease servers, of which the first leads."""
    cluster = SimulatedLeaseCluster(1, 2, 3, 1, variants)
    for number, rate in enumerate((0.95, 1.05)):
        cluster.holders[number].rate = rate
    for server in cluster.servers:
        server.rate = 1.05
    cluster.elect(cluster.servers[0])
    for _ in range(3):
        run_choice(cluster, Choice.HEALTHY_ROUND)
    for choice in choices:
        run_choice(cluster, choice)
        cluster.check()
    return cluster


def run_choice(cluster: SimulatedLeaseCluster, choice: Choice) -> None:
    """Run the event, if it is possible now."""
    if choice is Choice.HEALTHY_ROUND:
        run_healthy_round(cluster)
    elif choice is Choice.DELIVER_LAST_REQUEST and cluster.requests:
        cluster.deliver_request(len(cluster.requests) - 1)
    elif choice is Choice.DELIVER_LAST_RESPONSE and cluster.responses:
        cluster.deliver_response(len(cluster.responses) - 1)
    elif choice is Choice.COMMIT:
        cluster.commit()
    elif choice is Choice.CONFIRM_READS and cluster.leader is not None:
        cluster.confirm_reads(cluster.leader)
        cluster.answer_confirmed_reads(cluster.leader)
    elif choice is Choice.PASS_MOST_OF_A_LEASE:
        cluster.pass_time(DURATION * 9 // 10 + 1)
    elif choice is Choice.PASS_A_THIRD_OF_A_LEASE:
        cluster.pass_time(DURATION // 3 + 1)
    elif choice is Choice.ELECT_NEXT_SERVER:
        elect_next_server(cluster)
    elif choice is Choice.RELEASE:
        cluster.holders[0].holder.release(NAME)
        cluster.tick()


def run_healthy_round(cluster: SimulatedLeaseCluster) -> None:
    """Deliver, confirm, commit and answer all that is in flight."""
    cluster.tick()
    while cluster.requests:
        cluster.deliver_request(0)
    cluster.confirm_reads(cluster.leader or cluster.servers[0])
    for server in cluster.servers:
        cluster.answer_confirmed_reads(server)
    while cluster.leader is not None and cluster.leader.pending:
        cluster.commit()
    while cluster.responses:
        cluster.deliver_response(0)


def elect_next_server(cluster: SimulatedLeaseCluster) -> None:
    """Elect the server after the leader; all holders switch to it."""
    position = cluster.servers.index(cluster.leader) if cluster.leader is not None else 0
    elected = (position + 1) % len(cluster.servers)
    cluster.elect(cluster.servers[elected], commit_probability=1.0)
    for holder in cluster.holders:
        holder.server = elected
