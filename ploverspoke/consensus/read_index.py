"""Linearizable reads by read index (thesis, section 6.4): a heartbeat round confirms the leadership."""

from collections.abc import Callable

import msgspec

from .leadership import Leadership
from .raft_state import RaftState, Role


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits for a majority to answer a heartbeat round."""

    token: int
    index: int  # the commit index when the heartbeat round was started
    round_number: int  # the first heartbeat round that confirms it


class ReadIndex:
    """The reads that were requested from this replica and are not answered yet."""

    def __init__(self, state: RaftState, leadership: Leadership, send_heartbeat: Callable[[], None]) -> None:
        """`send_heartbeat` starts a heartbeat round."""
        self.state = state
        self.leadership = leadership
        self.send_heartbeat = send_heartbeat
        self._pending: list[PendingRead] = []
        self._waiting_for_commit: list[int] = []  # tokens

    def read(self, token: int) -> None:
        """Request a read; the result is a call of the environment's `on_read_ready` or `on_read_failed`."""
        state = self.state
        if state.role is not Role.LEADER:
            state.environment.on_read_failed(token)
        elif state.log.term_at(state.commit_index) != state.current_term:
            # A new leader's commit index may be out of date until an entry of its own term is committed.
            self._waiting_for_commit.append(token)
        else:
            self._start_confirmation(token)

    def on_commit_advanced(self) -> None:
        """Start the reads that waited for an entry of this term to be committed."""
        waiting, self._waiting_for_commit = self._waiting_for_commit, []
        for token in waiting:
            self._start_confirmation(token)

    def answer_confirmed_reads(self) -> None:
        """Answer the reads whose heartbeat round a majority has answered."""
        if not self._pending:
            return
        confirmed = self.leadership.confirmed_round()
        ready = [read for read in self._pending if read.round_number <= confirmed]
        self._pending = [read for read in self._pending if read.round_number > confirmed]
        for read in ready:
            self.state.environment.on_read_ready(read.token, read.index)

    def clear(self) -> list[int]:
        """Drop all reads, because this replica is no longer the leader; returns their tokens."""
        tokens = [read.token for read in self._pending] + self._waiting_for_commit
        self._pending.clear()
        self._waiting_for_commit.clear()
        return tokens

    def _start_confirmation(self, token: int) -> None:
        next_round = self.leadership.round_number + 1
        self._pending.append(PendingRead(token, self.state.commit_index, next_round))
        self.send_heartbeat()
