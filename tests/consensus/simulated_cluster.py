"""A cluster of simulated replicas: their messages, its clients, and the invariants of Raft."""

from collections.abc import Callable
from random import Random

from ploverspoke.consensus.log import Entry, EntryKind
from ploverspoke.consensus.membership import Member, Members, majority, voters
from ploverspoke.consensus.wire_messages import Message
from ploverspoke.transport.units import MILLISECOND
from tests.consensus.simulated_replica import FaultInjector, SimulatedReplica, no_fault

CHECKED_ENTRIES = 4  # the number of latest entries of each log that are checked after each step


class InvariantViolationError(AssertionError):
    """An invariant does not hold."""


def require(holds: bool, violation: str) -> None:
    """Raise InvariantViolationError unless the invariant holds."""
    if not holds:
        raise InvariantViolationError(violation)


class SimulatedCluster:
    """Replicas, the messages between them, and the invariants of Raft (paper, figure 3)."""

    replica_type: type[SimulatedReplica] = SimulatedReplica

    def __init__(
        self,
        seed: int,
        size: int,
        inject_fault: FaultInjector = no_fault,
        spare_replicas: int = 0,
    ) -> None:
        """Create `size` members, and `spare_replicas` replicas that may become members."""
        self.random = Random(seed)
        self.inject_fault = inject_fault
        self.now = 1000 * MILLISECOND
        names = [f"n{number}" for number in range(size + spare_replicas)]
        self.members: Members = {name: Member(name, "", "", votes=True) for name in names[:size]}
        self.in_flight: list[tuple[str, str, Message]] = []  # sender, receiver, message
        self.partitioned: set[str] = set()  # messages between these and the other replicas are lost
        self.leaders: dict[int, str] = {}  # by term
        # By index and term: the data of the entry, and the term of the entry before it.
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

    def deliver(self, position: int, keep_in_flight: bool = False) -> None:
        sender, to, message = self.in_flight[position] if keep_in_flight else self.in_flight.pop(position)
        if self.nodes[to].is_running and (sender in self.partitioned) == (to in self.partitioned):
            self.nodes[to].replica.raft.receive(sender, message)

    def deliver_all(self, reaches: Callable[[str, str], bool] = lambda sender, to: True) -> None:
        """Deliver all messages in flight, in order; those that cannot reach the receiver are lost."""
        messages, self.in_flight = self.in_flight, []
        for sender, to, message in messages:
            if reaches(sender, to):
                self.nodes[to].replica.raft.receive(sender, message)

    # ---- Invariants ----

    def check_elected(self, node: SimulatedReplica) -> None:
        """Check election safety and leader completeness."""
        raft = node.replica.raft
        leader = self.leaders.setdefault(raft.current_term, node.name)
        require(leader == node.name, f"two leaders of term {raft.current_term}: {leader}, {node.name}")
        for index in range(raft.log.snapshot_index + 1, self.last_committed + 1):
            has_entry = raft.log.term_at(index) == self.committed_entries[index].term
            require(has_entry, f"leader {node.name} lacks committed entry {index}")
        require(raft.log.last_index() >= self.last_committed, f"leader {node.name} lacks committed entries")

    def check_committed(self, node: SimulatedReplica, entry: Entry) -> None:
        """Check state machine safety, and that a majority has stored the committed entry."""
        known = self.committed_entries.setdefault(entry.index, entry)
        require(known == entry, f"{node.name} applied another entry {entry.index}")
        if entry.index <= self.last_committed:
            return
        expected = self.last_committed + 1
        require(entry.index == expected, f"entry {entry.index} is committed before {expected}")
        self.last_committed = entry.index
        members = node.replica.raft.members()
        stored_count = sum(self.nodes[name].storage.has(entry) for name in voters(members))
        is_majority = stored_count >= majority(members)
        require(is_majority, f"entry {entry.index} is committed, but only {stored_count} disks have it")

    def check(self) -> None:
        """Check the invariants that hold at any time."""
        for node in self.nodes.values():
            if node.is_running:
                self._check_state(node)
                self._check_log(node)

    def _check_log(self, node: SimulatedReplica) -> None:
        """Check log matching for the latest entries; older ones were checked when they were new."""
        log = node.replica.raft.log
        previous_term = log.snapshot_term
        for entry in log.entries[-CHECKED_ENTRIES:]:
            if entry.index - 1 > log.snapshot_index:
                previous_term = log.get(entry.index - 1).term
            observed = (entry.data, previous_term)
            known = self.entries_seen.setdefault((entry.index, entry.term), observed)
            require(known == observed, f"logs differ at {entry.index} of term {entry.term}")
        require(
            node.replica.raft.commit_index <= log.last_index(), "the commit index is beyond the last entry"
        )

    def _check_state(self, node: SimulatedReplica) -> None:
        applied_index = node.replica.applied_index
        require(applied_index >= node.checked_index, f"the state of {node.name} goes back")
        node.checked_index = applied_index
        entries = [self.committed_entries[index] for index in range(1, applied_index + 1)]
        expected = sum(entry.kind is EntryKind.DATA for entry in entries)
        applied = len(node.state_machine.values)
        require(applied == expected, f"{node.name} has applied {applied} of {expected} commands")

    # ---- Actions of clients and operators ----

    def propose(self, node: SimulatedReplica) -> None:
        self.proposed += 1
        value = f"v{self.proposed}"

        def on_result(committed: bool) -> None:
            if committed:
                require(value in node.state_machine.values, f"{value} was acknowledged but not applied")
                self.acknowledged.append(value)

        node.replica.propose([value], on_result)

    def read(self, node: SimulatedReplica) -> None:
        expected = self.last_committed

        def on_result(confirmed: bool) -> None:
            if confirmed:
                self.reads += 1
                applied = node.replica.applied_index
                require(
                    applied >= expected, f"{node.name} read at index {applied}, but {expected} was committed"
                )

        node.replica.read_barrier(on_result)

    def compact(self, node: SimulatedReplica) -> None:
        replica, log = node.replica, node.replica.raft.log
        index = replica.applied_index
        if index <= log.snapshot_index or log.term_at(index) is None:
            return
        if node.batch_being_written is not None or not replica.batch.is_empty():
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

    # ---- Recovery ----

    def settle(self, steps: int = 3000) -> None:
        """Heal all faults; then a leader must be elected and its entries applied by all voters."""
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
        raise InvariantViolationError("no leader commits entries although all replicas run and are connected")

    def _is_settled(self, leader: SimulatedReplica) -> bool:
        if self.last_committed <= 3 or leader.replica.raft.log.last_index() != self.last_committed:
            return False
        members = leader.replica.raft.members()
        return all(self.nodes[name].replica.applied_index == self.last_committed for name in voters(members))

    def settled_leader(self) -> SimulatedReplica:
        """Heal all faults and return the leader that is elected."""
        self.settle()
        [leader] = [node for node in self.nodes.values() if node.is_leader()]
        return leader

    def restart(self, node: SimulatedReplica) -> None:
        if not node.is_running:
            node.start()

    def start_all(self) -> None:
        for node in self.nodes.values():
            self.restart(node)
