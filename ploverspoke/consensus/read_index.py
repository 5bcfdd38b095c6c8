"""Linearizable reads by read index (thesis, section 6.4): heartbeats confirm that the leader still leads."""

from collections.abc import Callable

import msgspec

from .leadership import Leadership
from .raft_state import RaftState, Role


class PendingRead(msgspec.Struct, frozen=True):
    """A read that waits for a majority to answer a round of heartbeats."""

    token: int
    index: int  # the commit index when the read was asked for
    round_number: int  # the first round that confirms it


class ReadIndex:
    """The reads that were asked of this replica and are not answered yet."""

    def __init__(self, state: RaftState, leadership: Leadership, send_heartbeat: Callable[[], None]) -> None:
        """`send_heartbeat` begins a round of heartbeats."""
        self.state = state
        self.leadership = leadership
        self.send_heartbeat = send_heartbeat
        self._pending: list[PendingRead] = []
        self._waiting_for_commit: list[int] = []  # tokens

    def read(self, token: int) -> None:
        """Ask for a read; the environment's `on_read_ready` or `on_read_failed` answers it."""
        state = self.state
        if state.role is not Role.LEADER:
            state.environment.on_read_failed(token)
        elif state.log.term_at(state.commit_index) != state.current_term:
            # Until an entry of this term is committed, the commit index is not known for certain.
            self._waiting_for_commit.append(token)
        else:
            self._begin(token)

    def on_commit_advanced(self) -> None:
        """An entry of this term is committed: reads that waited for that begin."""
        waiting, self._waiting_for_commit = self._waiting_for_commit, []
        for token in waiting:
            self._begin(token)

    def answer_confirmed(self) -> None:
        """Answer the reads whose round of heartbeats a majority has answered."""
        if not self._pending:
            return
        confirmed = self.leadership.confirmed_round()
        ready = [read for read in self._pending if read.round_number <= confirmed]
        self._pending = [read for read in self._pending if read.round_number > confirmed]
        for read in ready:
            self.state.environment.on_read_ready(read.token, read.index)

    def clear(self) -> list[int]:
        """Drop all reads, since this replica does not lead any more; returns their tokens."""
        tokens = [read.token for read in self._pending] + self._waiting_for_commit
        self._pending.clear()
        self._waiting_for_commit.clear()
        return tokens

    def _begin(self, token: int) -> None:
        next_round = self.leadership.round_number + 1
        self._pending.append(PendingRead(token, self.state.commit_index, next_round))
        self.send_heartbeat()
