"""The leader's record of the other replicas: how far their logs match, and when they last answered.

The commit index, the read index, the quorum check (thesis, section 6.2) and the leader lease (thesis, section
6.4.1) are derived from it.
"""

from collections.abc import Callable

import msgspec

from .membership import majority, voters
from .raft_state import RaftState

# The send times of older heartbeat rounds are forgotten; answers to those rounds do not extend the lease.
TRACKED_HEARTBEAT_ROUNDS = 64
QUORUM_CHECKS_PER_ELECTION_TIMEOUT = 4
# The lease lasts this fraction of the minimum election timeout. The rest allows for clock drift between
# replicas within one election timeout.
LEASE_FRACTION = 0.9


class SnapshotProgress(msgspec.Struct, frozen=True):
    """How much of a snapshot a follower has received."""

    index: int  # of the last entry in the snapshot
    offset: int  # bytes received


class FollowerProgress:
    """The leader's record of one other replica."""

    def __init__(self, next_index: int, now: int) -> None:
        """Start with the assumption that its log matches the leader's before `next_index`."""
        self.next_index = next_index  # index of the next entry to send
        self.match_index = 0  # its log is known to match, and to be durable, up to this index
        self.is_probing = True  # the match index is unknown, so only one message is sent at a time
        self.messages_in_flight = 0  # unanswered messages with entries
        self.last_contact_at = now
        self.answered_round_sent_at = now  # initially the time of creation
        self.answered_round = 0
        self.snapshot: SnapshotProgress | None = None  # None: no transfer is in progress
        self.awaiting_reply_since = 0  # when a probe or a snapshot chunk was sent; 0: none is unanswered


class Leadership:
    """The progress of all followers while this replica leads, and its rounds of heartbeats."""

    def __init__(self, state: RaftState) -> None:
        """Start without followers; `start` is called when this replica is elected."""
        self.state = state
        self.followers: dict[str, FollowerProgress] = {}
        self.round_number = 0
        self.next_heartbeat_at = 0
        self.quorum_check_at = 0
        self._round_sent_at: dict[int, int] = {}

    def start(self) -> None:
        """Reset the record after this replica has won an election."""
        self.followers = {}
        self._round_sent_at.clear()
        self.quorum_check_at = self.state.environment.now() + self.state.timeouts.election

    def stop(self) -> None:
        """Drop the followers: this replica is no longer the leader."""
        self.followers.clear()

    def start_round(self, now: int) -> None:
        """Start a heartbeat round; each answer to it confirms that this replica is still the leader."""
        self.next_heartbeat_at = now + self.state.timeouts.heartbeat
        self.round_number += 1
        self._round_sent_at[self.round_number] = now
        oldest = self.round_number - TRACKED_HEARTBEAT_ROUNDS
        for number in [number for number in self._round_sent_at if number < oldest]:
            del self._round_sent_at[number]

    def record_answer(self, follower: FollowerProgress, round_number: int) -> bool:
        """Record a follower's answer to a round; returns whether it is the newest round that it answered."""
        follower.last_contact_at = self.state.environment.now()
        if round_number <= follower.answered_round:
            return False
        follower.answered_round = round_number
        sent_at = self._round_sent_at.get(round_number, follower.answered_round_sent_at)
        follower.answered_round_sent_at = max(follower.answered_round_sent_at, sent_at)
        return True

    # ---- Values that a majority has reached ----

    def majority_value(self, value_of: Callable[[FollowerProgress], int], own_value: int) -> int:
        """Return the highest value that a majority of voters has reached; `own_value` is this replica's."""
        members = self.state.members()
        values = []
        for voter in voters(members):
            follower = self.followers.get(voter)
            if voter == self.state.replica_id:
                values.append(own_value)
            else:
                values.append(value_of(follower) if follower is not None else 0)
        return sorted(values, reverse=True)[majority(members) - 1]

    def replicated_index(self) -> int:
        """Return the highest index that is durable on a majority."""
        return self.majority_value(lambda follower: follower.match_index, self.state.synced_index)

    def confirmed_round(self) -> int:
        """Return the latest heartbeat round that a majority has answered."""
        return self.majority_value(lambda follower: follower.answered_round, self.round_number)

    def check_quorum(self, now: int) -> bool:
        """Whether a majority has answered within an election timeout; also schedules the next check."""
        election = self.state.timeouts.election
        self.quorum_check_at = now + election // QUORUM_CHECKS_PER_ELECTION_TIMEOUT
        return now - self.majority_value(lambda follower: follower.last_contact_at, now) < election

    def lease_until(self) -> int:
        """Return until when no other replica can be elected, if clocks drift apart by less than a tenth."""
        confirmed_at = self.majority_value(
            lambda follower: follower.answered_round_sent_at, self.state.environment.now()
        )
        return confirmed_at + int(self.state.timeouts.election * LEASE_FRACTION)
