"""Answers the requests of tools to a replica: status, member changes, leadership transfer and backup."""

from pathlib import Path
from typing import Protocol

import msgspec

from .admin_messages import (
    BackupRequest,
    ChangeMemberRequest,
    ConsensusStatus,
    MalformedRequestError,
    MemberStatus,
    ReplicaStatus,
    ResultReply,
    StatusRequest,
    TransferLeadershipRequest,
    WireMap,
    decode_request,
    encode_reply,
    unknown_request_reply,
)
from .cluster_config import ReplicaConfig, initial_replica_id
from .membership import Member, Members, find_by_name
from .peer_links import PeerLinks, Reply
from .raft_state import Role
from .replica import Replica
from .replica_driver import WriteCounters
from .storage import ReplicaStorage
from .storage_thread import StorageThread


class AdministeredReplica(Protocol):
    """The parts of a replica node that the requests of tools use."""

    config: ReplicaConfig
    replica: Replica | None  # None: the storage cannot be used
    storage: ReplicaStorage
    storage_thread: StorageThread
    storage_error: str  # "": the storage can be used
    storage_failures: int
    write_counters: WriteCounters
    peer_links: PeerLinks

    def members(self) -> Members:
        """Return the members by replica id, as this replica knows them."""

    def change_members(self, members: Members) -> bool:
        """Start replacing the members; return False if that is not possible now."""

    def transfer_leadership(self, name: str) -> bool:
        """Start transferring leadership to the voter of that name; return False if that is not possible."""

    def state_status(self) -> msgspec.Struct | WireMap:
        """Return the part of the status that describes the state machine."""

    def handle_state_request(self, request: WireMap, reply: Reply) -> bool:
        """Answer a tool's request to the state machine; return False if it is not such a request."""


class AdminRequests:
    """The requests that every replica answers, whatever its state machine."""

    def __init__(self, node: AdministeredReplica) -> None:
        """Answer for `node`."""
        self.node = node

    def handle(self, raw: object, reply: Reply) -> None:
        """Answer a request, given as the decoded body of its frame. Raises MalformedRequestError."""
        request = decode_request(
            raw, StatusRequest, ChangeMemberRequest, TransferLeadershipRequest, BackupRequest
        )
        if isinstance(request, StatusRequest):
            reply(status_fields(self.node))
        elif isinstance(request, ChangeMemberRequest):
            members = changed_members(self.node.members(), request)
            reply(encode_reply(ResultReply(done=self.node.change_members(members))))
        elif isinstance(request, TransferLeadershipRequest):
            reply(encode_reply(ResultReply(done=self.node.transfer_leadership(request.to))))
        elif isinstance(request, BackupRequest):
            self._back_up(Path(request.path), reply)
        elif not isinstance(raw, dict) or not self.node.handle_state_request(raw, reply):
            reply(encode_reply(unknown_request_reply()))

    def _back_up(self, target: Path, reply: Reply) -> None:
        def on_done(error: Exception | None) -> None:
            reply(encode_reply(ResultReply(done=error is None, why=str(error or ""))))

        self.node.storage_thread.submit(on_done, self.node.storage.backup, target)


def changed_members(members: Members, request: ChangeMemberRequest) -> Members:
    """Return the members with the requested change. Raises MalformedRequestError."""
    replica_id = find_by_name(members, request.name)
    if request.remove is True:
        return {other_id: member for other_id, member in members.items() if other_id != replica_id}
    if not isinstance(request.peers, str) or not isinstance(request.clients, str):
        raise MalformedRequestError("members", "a member needs two addresses, peers and clients")
    member = Member(request.name, request.peers, request.clients, votes=request.votes is True)
    return {**members, replica_id or initial_replica_id(request.name): member}


def status_fields(node: AdministeredReplica) -> WireMap:
    """Return the status of a replica as tools receive it."""
    sections: list[msgspec.Struct | WireMap] = [_replica_status(node), node.state_status()]
    if node.replica is not None:
        sections.append(_consensus_status(node.replica))
    fields: dict[str, object] = {}
    for section in sections:
        fields |= encode_reply(section) if isinstance(section, msgspec.Struct) else section
    return fields


def _replica_status(node: AdministeredReplica) -> ReplicaStatus:
    return ReplicaStatus(
        name=node.config.name,
        cluster=node.config.cluster,
        store=node.storage.cluster_fingerprint,
        role=node.replica.raft.role if node.replica is not None else Role.STOPPED,
        trouble=node.storage_error,
        troubles=node.storage_failures,
        disk_bytes=node.storage.size_bytes(),
        batches=node.write_counters.batches,
        entries_written=node.write_counters.entries,
        refused=node.peer_links.refused_connections,
        stuck=node.peer_links.stalled_connections,
    )


def _consensus_status(replica: Replica) -> ConsensusStatus:
    raft = replica.raft
    members, last_index = raft.members(), raft.log.last_index()
    leader = members.get(raft.leader_id)
    followers = raft.leadership.followers
    return ConsensusStatus(
        term=raft.current_term,
        leader=leader.name if leader is not None else "",
        leads=replica.leads(),
        last=last_index,
        committed=raft.commit_index,
        applied=replica.applied_index,
        snapshot=raft.log.snapshot_index,
        members=[
            MemberStatus(member.name, member.peer_address, member.client_address, member.votes)
            for member in members.values()
        ],
        behind={
            members[replica_id].name: last_index - progress.match_index
            for replica_id, progress in followers.items()
        },
    )
