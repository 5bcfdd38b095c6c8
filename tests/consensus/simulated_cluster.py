"""A cluster of simulated replicas: the messages among them, its clients, and the invariants of Raft."""

from collections.abc import Callable
from random import Random

from ploverspoke.consensus.log import Entry, EntryKind
from ploverspoke.consensus.membership import Member, Members, majority, voters
from ploverspoke.consensus.wire_messages import Message
from ploverspoke.transport.units import MILLISECOND
from tests.consensus.simulated_replica import FaultInjector, SimulatedReplica, no_fault

CHECKED_ENTRIES = 4  # the latest of each log, after each step


class InvariantViolationError(AssertionError):
    """An invariant does not hold."""


def require(holds: bool, violation: str) -> None:
    """Raise InvariantViolationError unless the invariant holds."""
    if not holds:
        raise InvariantViolationError(violation)


class SimulatedCluster:
    """Replicas, the messages among them, and the invariants of Raft (paper, figure 3)."""

    replica_type: type[SimulatedReplica] = SimulatedReplica

    def __init__(
        self,
        seed: int,
        size: int,
        inject_fault: FaultInjector = no_fault,
        spare: int = 0,
    ) -> None:
        """`size` members and `spare` replicas that may become ones."""
        self.random = Random(seed)
        self.inject_fault = inject_fault
        self.now = 1000 * MILLISECOND
        names = [f"n{number}" for number in range(size + spare)]
        self.members: Members = {name: Member(name, "", "", votes=True) for name in names[:size]}
        self.in_flight: list[tuple[str, str, Message]] = []  # sender, receiver, message
        self.partitioned: set[str] = set()  # these and the others do not reach one another
        self.leaders: dict[int, str] = {}  # by term
        # What stands at an index and term: the data, and the term of the entry before.
        self.entries_seen: dict[tuple[int, int], tuple[object, int]] = {}
        self.committed_entries: dict[int, Entry] = {}
        self.last_committed = 0
        self.proposed = 0
        self.acknowledged: list[str] = []
        self.reads = 0
        self.steps = 0
        self.nodes: dict[str, SimulatedReplica] = {}
        for name in names:
            self.nodes[name] = self.replica_type(self, name)

    # ---- The network ----

    def send(self, sender: str, to: str, message: Message, incarnation: int) -> None:
        node = self.nodes.get(sender)
        if to in self.nodes and (node is None or node.incarnation == incarnation):
            self.in_flight.append((sender, to, message))

    def deliver(self, position: int, keep: bool = False) -> None:
        sender, to, message = self.in_flight[position] if keep else self.in_flight.pop(position)
        if self.nodes[to].is_running and (sender in self.partitioned) == (to in self.partitioned):
            self.nodes[to].replica.raft.receive(sender, message)

    def deliver_all(self, reaches: Callable[[str, str], bool] = lambda sender, to: True) -> None:
        """Deliver what is in flight now, in order; what does not reach its receiver is lost."""
        messages, self.in_flight = self.in_flight, []
        for sender, to, message in messages:
            if reaches(sender, to):
                self.nodes[to].replica.raft.receive(sender, message)

    # ---- Invariants ----

    def check_elected(self, node: SimulatedReplica) -> None:
        """Election safety and leader completeness."""
        raft = node.replica.raft
        leader = self.leaders.setdefault(raft.current_term, node.name)
        require(leader == node.name, f"two leaders of term {raft.current_term}: {leader}, {node.name}")
        for index in range(raft.log.snapshot_index + 1, self.last_committed + 1):
            has_it = raft.log.term_at(index) == self.committed_entries[index].term
            require(has_it, f"leader {node.name} lacks committed entry {index}")
        require(raft.log.last_index() >= self.last_committed, f"leader {node.name} lacks committed entries")

    def check_committed(self, node: SimulatedReplica, entry: Entry) -> None:
        """State machine safety, and that a majority has stored what is committed."""
        known = self.committed_entries.setdefault(entry.index, entry)
        require(known == entry, f"{node.name} applied another entry {entry.index}")
        if entry.index <= self.last_committed:
            return
        expected = self.last_committed + 1
        require(entry.index == expected, f"entry {entry.index} is committed before {expected}")
        self.last_committed = entry.index
        members = node.replica.raft.members()
        have = sum(self.nodes[name].storage.has(entry) for name in voters(members))
        is_majority = have >= majority(members)
        require(is_majority, f"entry {entry.index} is committed, but only {have} disks have it")

    def check(self) -> None:
        """Check what must hold at any time."""
        for node in self.nodes.values():
            if node.is_running:
                self._check_state(node)
                self._check_log(node)

    def _check_log(self, node: SimulatedReplica) -> None:
        """Log matching, of the latest entries; the older ones were checked when they were that."""
        log = node.replica.raft.log
        previous_term = log.snapshot_term
        for entry in log.entries[-CHECKED_ENTRIES:]:
            if entry.index - 1 > log.snapshot_index:
                previous_term = log.get(entry.index - 1).term
            found = (entry.data, previous_term)
            known = self.entries_seen.setdefault((entry.index, entry.term), found)
            require(known == found, f"logs differ at {entry.index} of term {entry.term}")
        require(node.replica.raft.commit_index <= log.last_index(), "more is committed than there is")

    def _check_state(self, node: SimulatedReplica) -> None:
        applied_index = node.replica.applied_index
        require(applied_index >= node.checked_index, f"the state of {node.name} goes back")
        node.checked_index = applied_index
        entries = [self.committed_entries[index] for index in range(1, applied_index + 1)]
        expected = sum(entry.kind is EntryKind.DATA for entry in entries)
        applied = len(node.state_machine.values)
        require(applied == expected, f"{node.name} has applied {applied} of {expected}")

    # ---- What clients and operators do ----

    def propose(self, node: SimulatedReplica) -> None:
        self.proposed += 1
        value = f"v{self.proposed}"

        def on_result(committed: bool) -> None:
            if committed:
                require(value in node.state_machine.values, f"{value} was acknowledged and is not there")
                self.acknowledged.append(value)

        node.replica.propose([value], on_result)

    def read(self, node: SimulatedReplica) -> None:
        expected = self.last_committed

        def on_result(confirmed: bool) -> None:
            if confirmed:
                self.reads += 1
                applied = node.replica.applied_index
                require(applied >= expected, f"{node.name} read {applied}, {expected} is old")

        node.replica.read(on_result)

    def compact(self, node: SimulatedReplica) -> None:
        replica, log = node.replica, node.replica.raft.log
        index = replica.applied_index
        if index <= log.snapshot_index or log.term_at(index) is None:
            return
        if node.writing is not None or not replica.batch.is_empty():
            return
        snapshot = replica.take_snapshot()
        node.storage.save_snapshot(snapshot)
        replica.on_snapshot_written(snapshot)

    def change_members(self, node: SimulatedReplica) -> None:
        members = dict(node.replica.raft.members())
        name = self.random.choice(list(self.nodes))
        if name not in members:
            members[name] = Member(name, "", "", votes=False)
        elif not members[name].votes:
            members[name] = Member(name, "", "", votes=True)
        elif len(voters(members)) > 2:
            del members[name]
        node.replica.raft.change_members(members)

    # ---- A healthy cluster ----

    def settle(self, steps: int = 3000) -> None:
        """Heal everything: a leader must be elected, and what it takes must be committed everywhere."""
        self.partitioned = set()
        self.start_all()
        for step in range(steps):
            self.now += 2 * MILLISECOND
            for node in self.nodes.values():
                node.tick_if_due()
                node.write_all()
            self.deliver_all()
            leaders = [node for node in self.nodes.values() if node.is_leader()]
            if leaders and step % 25 == 0 and step < steps // 2:
                self.propose(leaders[-1])
            if leaders and self._is_settled(leaders[-1]):
                self.check()
                return
        raise InvariantViolationError("no leader that commits, though all is well")

    def _is_settled(self, leader: SimulatedReplica) -> bool:
        if self.last_committed <= 3 or leader.replica.raft.log.last_index() != self.last_committed:
            return False
        members = leader.replica.raft.members()
        return all(self.nodes[name].replica.applied_index == self.last_committed for name in voters(members))

    def settled_leader(self) -> SimulatedReplica:
        """Return the leader once the cluster is healthy."""
        self.settle()
        [leader] = [node for node in self.nodes.values() if node.is_leader()]
        return leader

    def restart(self, node: SimulatedReplica) -> None:
        if not node.is_running:
            node.start()

    def start_all(self) -> None:
        for node in self.nodes.values():
            self.restart(node)
