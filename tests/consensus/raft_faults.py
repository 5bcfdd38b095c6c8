"""Faults to inject into the Raft of each replica; the simulation must detect them."""

from ploverspoke.consensus.raft import Raft
from ploverspoke.consensus.raft_state import Role
from ploverspoke.consensus.replica import Replica
from ploverspoke.consensus.wire_messages import AppendEntries, InstallSnapshot, RequestVote


def votes_twice_in_a_term(raft: Raft) -> None:
    """Forget the vote of the current term."""
    handle = raft.election.handle_request_vote

    def faulty(sender: str, message: RequestVote) -> None:
        raft.state.voted_for = ""
        handle(sender, message)

    raft.messages.register(RequestVote, faulty)


def commits_older_terms(raft: Raft) -> None:
    """Commit entries of any term by counting replicas (paper, figure 8)."""

    def faulty() -> None:
        index = raft.leadership.replicated_index()
        if index > raft.commit_index:
            raft.state.commit_to(index)

    raft.replication.advance_commit_index = faulty  # type: ignore[method-assign]


def acknowledges_before_sync(raft: Raft) -> None:
    """Answer AppendEntries before the entries are synced."""
    handle = raft.log_receiver.handle_append_entries
    replica = raft.state.environment
    assert isinstance(replica, Replica)

    def faulty(sender: str, message: AppendEntries) -> None:
        queued_messages, replica.batch.messages = replica.batch.messages, []
        handle(sender, message)
        for to, reply in replica.batch.messages:
            replica.send_now(to, reply)
        replica.batch.messages = queued_messages

    raft.messages.register(AppendEntries, faulty)


def reads_without_heartbeat(raft: Raft) -> None:
    """Answer reads without confirming that this replica is still the leader."""

    def faulty(token: int) -> None:
        if raft.role is Role.LEADER:
            raft.state.environment.on_read_ready(token, raft.commit_index)
        else:
            raft.state.environment.on_read_failed(token)

    raft.reads.read = faulty  # type: ignore[method-assign]


def installs_snapshot_over_newer_entries(raft: Raft) -> None:
    """Install a snapshot that is older than the committed entries."""
    handle = raft.snapshot_receiver.handle_install_snapshot

    def faulty(sender: str, message: InstallSnapshot) -> None:
        raft.state.commit_index = min(raft.commit_index, message.last_index - 1)
        handle(sender, message)

    raft.messages.register(InstallSnapshot, faulty)
