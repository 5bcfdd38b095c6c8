"""Leader election (paper, sections 5.2 and 5.4.1) with pre-vote (thesis, section 9.6)."""

from collections.abc import Callable

from ploverspoke.transport.units import LONG_AGO

from .membership import majority, voters
from .raft_state import RaftState, Role
from .wire_messages import PreVote, PreVoteReply, RequestVote, RequestVoteReply, TimeoutNow


class Election:
    """The election timeout of a replica, the votes that it grants and those that it receives."""

    def __init__(
        self,
        state: RaftState,
        random_fraction: Callable[[], float],
        become_leader: Callable[[], None],
    ) -> None:
        """`random_fraction` returns numbers in [0, 1); `become_leader` is called on winning an election."""
        self.state = state
        self.random_fraction = random_fraction
        self.become_leader = become_leader
        self.votes: dict[str, bool] = {}  # whether the vote was granted, by replica id
        self.timeout_at = 0
        # A replica may have answered a leader just before it restarted, so it ignores candidates for one
        # election timeout after the start.
        self.leader_contact_at = state.environment.now() if state.current_term else LONG_AGO
        self.postpone()

    def postpone(self) -> None:
        """Restart the election timeout with a new random length."""
        timeout = int(self.state.timeouts.election * (1 + self.random_fraction()))
        self.timeout_at = self.state.environment.now() + timeout

    def record_leader_contact(self) -> None:
        """Record that a message has arrived from the leader of the current term."""
        self.leader_contact_at = self.state.environment.now()
        self.postpone()

    def has_recent_leader(self) -> bool:
        """Whether a leader has sent a message within the minimum election timeout."""
        return self.state.environment.now() - self.leader_contact_at < self.state.timeouts.election

    def on_timeout(self) -> None:
        """Start a pre-vote: no leader has sent a message for a whole election timeout."""
        self.postpone()
        if self.state.is_voter():
            self._start_pre_vote()

    # ---- As a candidate ----

    def _start_pre_vote(self) -> None:
        state = self.state
        state.set_role(Role.PRECANDIDATE, "")
        self.votes = {state.replica_id: True}
        for voter in self._other_voters():
            request = PreVote(
                term=state.current_term + 1,
                is_transfer=False,
                last_index=state.log.last_index(),
                last_term=state.log.last_term(),
            )
            state.send(voter, request)
        self._count_votes()

    def _start_election(self, is_transfer: bool) -> None:
        state = self.state
        state.enter_term(state.current_term + 1, voted_for=state.replica_id)
        state.set_role(Role.CANDIDATE, "")
        self.votes = {state.replica_id: True}
        for voter in self._other_voters():
            request = RequestVote(
                term=state.current_term,
                is_transfer=is_transfer,
                last_index=state.log.last_index(),
                last_term=state.log.last_term(),
            )
            state.send(voter, request)
        self._count_votes()

    def _other_voters(self) -> list[str]:
        return [voter for voter in voters(self.state.members()) if voter != self.state.replica_id]

    def _count_votes(self) -> None:
        members = self.state.members()
        granted = sum(self.votes.get(voter, False) for voter in voters(members))
        if granted < majority(members):
            return
        if self.state.role is Role.PRECANDIDATE:
            self._start_election(is_transfer=False)
        else:
            self.become_leader()

    # ---- Messages ----

    def handle_pre_vote(self, sender: str, message: PreVote) -> None:
        """Answer whether this replica would vote for the sender; the answer is not binding."""
        granted = self.state.role is not Role.LEADER and self._is_up_to_date(message)
        self.state.send(sender, PreVoteReply(term=message.term, granted=granted))

    def handle_request_vote(self, sender: str, message: RequestVote) -> None:
        """Vote for the first candidate of the term whose log is up to date."""
        state = self.state
        has_no_other_vote = state.voted_for in ("", sender)
        granted = has_no_other_vote and self._is_up_to_date(message) and state.role is not Role.LEADER
        if granted:
            state.vote_for(sender)
            self.postpone()
        state.send(sender, RequestVoteReply(term=state.current_term, granted=granted))

    def handle_pre_vote_reply(self, sender: str, message: PreVoteReply) -> None:
        """Start the election once a majority would vote for this replica."""
        state = self.state
        if state.role is Role.PRECANDIDATE and message.term == state.current_term + 1:
            self.votes[sender] = message.granted
            self._count_votes()

    def handle_request_vote_reply(self, sender: str, message: RequestVoteReply) -> None:
        """Become the leader once a majority has voted for this replica."""
        if self.state.role is Role.CANDIDATE:
            self.votes[sender] = message.granted
            self._count_votes()

    def handle_timeout_now(self, sender: str, message: TimeoutNow) -> None:
        """Start an election at once, because the leader transfers its leadership (thesis, section 3.10)."""
        if self.state.is_voter() and self.state.role is not Role.LEADER:
            self._start_election(is_transfer=True)

    def _is_up_to_date(self, message: PreVote | RequestVote) -> bool:
        """Whether the sender's log is at least as up to date as this one (paper, section 5.4.1)."""
        log = self.state.log
        return (message.last_term, message.last_index) >= (log.last_term(), log.last_index())
