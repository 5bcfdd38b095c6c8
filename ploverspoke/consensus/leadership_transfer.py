"""Leadership transfer (thesis, section 3.10): a voter catches up and is asked to start an election."""

from .leadership import Leadership
from .membership import voters
from .raft_state import RaftState, Role
from .wire_messages import TimeoutNow


class LeadershipTransfer:
    """The leadership transfer in progress, if any. Meanwhile the leader accepts no proposals."""

    def __init__(self, state: RaftState, leadership: Leadership) -> None:
        """Start without a transfer."""
        self.state = state
        self.leadership = leadership
        self._target = ""  # "": no transfer
        self._deadline = 0

    def start(self, target: str) -> bool:
        """Transfer leadership to a voter; returns False if this replica cannot."""
        state = self.state
        if state.role is not Role.LEADER or target == state.replica_id:
            return False
        if target not in voters(state.members()):
            return False
        self._target = target
        self._deadline = state.environment.now() + state.timeouts.election
        self.on_progress(target)
        return True

    def is_in_progress(self) -> bool:
        """Whether leadership is being transferred."""
        return bool(self._target)

    def cancel(self) -> None:
        """Cancel the transfer, if any; the leader accepts proposals again."""
        self._target = ""

    def cancel_if_late(self, now: int) -> None:
        """Cancel a transfer that has not completed within an election timeout."""
        if self._target and now >= self._deadline:
            self.cancel()

    def on_progress(self, replica_id: str) -> None:
        """Handle progress of a follower: once the target has all entries, ask it to start an election."""
        follower = self.leadership.followers.get(replica_id)
        if self._target != replica_id or follower is None:
            return
        if follower.match_index == self.state.log.last_index():
            self.state.send(replica_id, TimeoutNow(term=self.state.current_term))
