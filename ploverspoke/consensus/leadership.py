"""What a leader knows of the other replicas: how far their logs agree, and when they last answered.

From that come the commit index, the read index, the check of the quorum (thesis, section 6.2) and the lease
(thesis, section 6.4.1).
"""

from collections.abc import Callable

import msgspec

from .membership import majority, voters
from .raft_state import RaftState

KEPT_ROUNDS = 64  # of heartbeats: an answer to an older one does not count
QUORUM_CHECKS_PER_TIMEOUT = 4
LEASE_FRACTION = 0.9  # of the shortest election timeout: clocks may drift apart by the rest within one


class SnapshotProgress(msgspec.Struct, frozen=True):
    """How much of a snapshot a follower has."""

    index: int  # of the snapshot
    offset: int  # bytes that have arrived


class FollowerProgress:
    """What a leader knows of one other replica."""

    def __init__(self, next_index: int, now: int) -> None:
        """Begin with the assumption that its log agrees up to `next_index`."""
        self.next_index = next_index  # of the next entry to send
        self.match_index = 0  # up to there its log is known to agree, and is durable
        self.is_probing = True  # where its log agrees is not known yet: one message at a time
        self.in_flight = 0  # messages with entries that are not answered
        self.last_contact_at = now
        self.confirmed_at = now  # when the latest heartbeat round that it answered was sent
        self.answered_round = 0
        self.snapshot: SnapshotProgress | None = None  # None: none is on its way
        self.waiting_since = 0  # for the answer to a probe or a chunk; 0: not waiting


class Leadership:
    """The progress of all followers while this replica leads, and its rounds of heartbeats."""

    def __init__(self, state: RaftState) -> None:
        """Begin without followers; `begin` is called when this replica is elected."""
        self.state = state
        self.followers: dict[str, FollowerProgress] = {}
        self.round_number = 0
        self.next_heartbeat_at = 0
        self.quorum_check_at = 0
        self._round_sent_at: dict[int, int] = {}

    def begin(self) -> None:
        """This replica has been elected."""
        self.followers = {}
        self._round_sent_at.clear()
        self.quorum_check_at = self.state.environment.now() + self.state.timeouts.election

    def end(self) -> None:
        """This replica does not lead any more."""
        self.followers.clear()

    def start_round(self, now: int) -> None:
        """Begin a round of heartbeats: those who answer it confirm that this replica still leads."""
        self.next_heartbeat_at = now + self.state.timeouts.heartbeat
        self.round_number += 1
        self._round_sent_at[self.round_number] = now
        oldest = self.round_number - KEPT_ROUNDS
        for number in [number for number in self._round_sent_at if number < oldest]:
            del self._round_sent_at[number]

    def record_answer(self, follower: FollowerProgress, round_number: int) -> bool:
        """A follower has answered a message of that round; returns whether it answers a newer round."""
        follower.last_contact_at = self.state.environment.now()
        if round_number <= follower.answered_round:
            return False
        follower.answered_round = round_number
        sent_at = self._round_sent_at.get(round_number, follower.confirmed_at)
        follower.confirmed_at = max(follower.confirmed_at, sent_at)
        return True

    # ---- What a majority has ----

    def majority_value(self, value: Callable[[FollowerProgress], int], own: int) -> int:
        """Return the highest value that a majority of the voters has reached; `own` is this replica's."""
        members = self.state.members()
        values = []
        for voter in voters(members):
            follower = self.followers.get(voter)
            if voter == self.state.replica_id:
                values.append(own)
            else:
                values.append(value(follower) if follower is not None else 0)
        return sorted(values, reverse=True)[majority(members) - 1]

    def replicated_index(self) -> int:
        """Return the highest index that is durable on a majority."""
        return self.majority_value(lambda follower: follower.match_index, self.state.synced_index)

    def confirmed_round(self) -> int:
        """Return the latest round of heartbeats that a majority has answered."""
        return self.majority_value(lambda follower: follower.answered_round, self.round_number)

    def check_quorum(self, now: int) -> bool:
        """Whether a majority has answered within an election timeout; sets when to check again."""
        election = self.state.timeouts.election
        self.quorum_check_at = now + election // QUORUM_CHECKS_PER_TIMEOUT
        return now - self.majority_value(lambda follower: follower.last_contact_at, now) < election

    def lease_until(self) -> int:
        """Return until when no other can have been elected, if clocks drift by less than a tenth."""
        confirmed_at = self.majority_value(
            lambda follower: follower.confirmed_at, self.state.environment.now()
        )
        return confirmed_at + int(self.state.timeouts.election * LEASE_FRACTION)
