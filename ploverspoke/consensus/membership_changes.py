"""Membership changes, one server at a time, with learners (thesis, sections 4.1 and 4.2)."""

from .leadership import FollowerProgress, Leadership
from .log import EntryKind
from .membership import Members, differ_by_at_most_one_voter, voters
from .raft_state import RaftState, Role
from .replication import Replication


class MembershipChanges:
    """The membership changes that this leader proposes, and their effect on its followers."""

    def __init__(self, state: RaftState, leadership: Leadership, replication: Replication) -> None:
        """The changes are proposed through `replication`."""
        self.state = state
        self.leadership = leadership
        self.replication = replication

    def propose(self, members: Members) -> int:
        """Replace the members; returns the index of the entry, or 0 if no change is possible now.

        A change adds or removes at most one voter, and may change any number of learners. The previous change
        and an entry of this term must be committed first, because a new leader may not know of a change that
        its predecessor started.
        """
        state = self.state
        if state.role is not Role.LEADER or not voters(members):
            return 0
        is_unfinished = any(entry.index > state.commit_index for entry in state.log.membership_changes)
        is_new_leader = state.log.term_at(state.commit_index) != state.current_term
        if is_unfinished or is_new_leader or not differ_by_at_most_one_voter(state.members(), members):
            return 0
        index = self.replication.propose(EntryKind.MEMBERS, [members])
        if index:
            self.update_followers()
        return index

    def update_followers(self) -> None:
        """Replicate to exactly the members of the latest membership entry."""
        members, now = self.state.members(), self.state.environment.now()
        followers = self.leadership.followers
        for replica_id in members:
            if replica_id != self.state.replica_id and replica_id not in followers:
                followers[replica_id] = FollowerProgress(self.state.log.last_index() + 1, now)
        for replica_id in [replica_id for replica_id in followers if replica_id not in members]:
            # The entry that removes a replica is sent to it only here, and is not repeated if it is lost.
            # That is enough, since the replica may not become a candidate.
            self.replication.replicate_to(replica_id)
            del followers[replica_id]

    def has_lost_own_vote(self) -> bool:
        """Whether this leader's own removal, or its change to a learner, is committed."""
        committed = self.state.members_at(self.state.commit_index)
        return self.state.replica_id not in voters(committed) and self.state.role is Role.LEADER
