"""Requests of tools and replies of replicas keep their keys on the wire; malformed ones are rejected."""

import json
import socket
from collections.abc import Mapping
from typing import TypeVar

import pytest

from ploverspoke.consensus.admin_messages import (
    AdminRequest,
    BackupRequest,
    ChangeMemberRequest,
    ConsensusStatus,
    MalformedRequestError,
    MemberStatus,
    ReplicaStatus,
    ResultReply,
    StatusRequest,
    StatusRow,
    TransferLeadershipRequest,
    add_member_request,
    decode_request,
    encode_reply,
    encode_request,
    remove_member_request,
    unknown_request_reply,
)
from ploverspoke.consensus.framing import FrameCodec, FrameError
from ploverspoke.consensus.replica_client import ReplyError, RequestRejectedError, call_replica
from ploverspoke.store.admin_messages import (
    ConfigurationRow,
    ConfigurationsRequest,
    ConfigureReply,
    ConfigureRequest,
)

SECRET = b"a secret of the test"
ReplyT = TypeVar("ReplyT")
REQUESTS: list[tuple[AdminRequest, dict[str, object]]] = [
    (StatusRequest(), {"ask": "status"}),
    (
        add_member_request("r4", "a:1", "a:2", votes=False),
        {"ask": "members", "name": "r4", "peers": "a:1", "clients": "a:2", "votes": False},
    ),
    (remove_member_request("r4"), {"ask": "members", "name": "r4", "remove": True}),
    (TransferLeadershipRequest("r1"), {"ask": "transfer", "to": "r1"}),
    (BackupRequest("/b.db"), {"ask": "backup", "path": "/b.db"}),
    (ConfigureRequest("{}", "anna"), {"ask": "configure", "body": "{}", "by": "anna"}),
    (ConfigureRequest("{}", "ben", 7), {"ask": "configure", "body": "{}", "by": "ben", "token": 7}),
    (ConfigurationsRequest(), {"ask": "configurations"}),
]


@pytest.mark.parametrize(("request_", "on_wire"), REQUESTS)
def test_a_request_keeps_its_keys_and_their_order(request_: AdminRequest, on_wire: dict[str, object]) -> None:
    assert json.dumps(encode_request(request_)) == json.dumps(on_wire)
    request_types = {type(listed): None for listed, _ in REQUESTS}
    assert decode_request(on_wire, *request_types) == request_


def test_a_request_of_another_kind_is_unknown_and_a_malformed_one_is_rejected() -> None:
    other_kinds: list[object] = [None, [], "status", {}, {"ask": "no such"}, {"ask": ["status"]}]
    for raw in [*other_kinds, {"ask": "members"}]:
        assert decode_request(raw, StatusRequest, BackupRequest) is None
    with pytest.raises(MalformedRequestError) as caught:
        decode_request({"ask": "members", "peers": "a:1"}, StatusRequest, ChangeMemberRequest)
    assert caught.value.kind == "members" and "name" in caught.value.reason
    with pytest.raises(FrameError):
        decode_request({"ask": "backup", "path": 7}, BackupRequest)
    assert encode_reply(unknown_request_reply()) == {"done": False, "why": "unknown question"}


def test_a_reply_leaves_out_what_it_does_not_say() -> None:
    assert encode_reply(ResultReply(True)) == {"done": True}
    assert encode_reply(ResultReply(True, why="")) == {"done": True, "why": ""}
    assert encode_reply(ConfigureReply(True, version=2)) == {"done": True, "version": 2}


def test_the_parts_of_a_status_keep_their_keys_and_their_order() -> None:
    replica = encode_reply(ReplicaStatus("r1", "trips", "f", "leader", "", 0, 4096, 3, 5, 0, 0))
    member = MemberStatus("r1", "a:1", "a:2", votes=True)
    consensus = encode_reply(ConsensusStatus(2, "r1", True, 9, 8, 8, 0, [member], {"r2": 1}))
    assert " ".join([*replica, *consensus]) == (
        "name cluster store role trouble troubles disk_bytes batches entries_written refused stuck"
        " term leader leads last committed applied snapshot members behind"
    )
    assert consensus["members"] == [{"name": "r1", "peers": "a:1", "clients": "a:2", "votes": True}]


class FakeConnection:
    """A connection to a replica that sends one reply, or closes the connection if `reply` is None."""

    def __init__(self, reply: object) -> None:
        self.frames = FrameCodec(SECRET, {"id": "r1.1", "store": ""})
        self.reply = reply
        self.unread = [self.frames.greeting_frame()]

    def __enter__(self) -> "FakeConnection":
        return self

    def __exit__(self, *error: object) -> None: ...

    def settimeout(self, seconds: float) -> None: ...

    def sendall(self, data: bytes) -> None:
        for _ in self.frames.decode(data):
            if self.reply is not None:
                self.unread.append(self.frames.encode(self.reply))

    def recv(self, size: int) -> bytes:
        return self.unread.pop(0) if self.unread else b""


def call(monkeypatch: pytest.MonkeyPatch, reply: object, reply_type: type[ReplyT]) -> ReplyT:
    monkeypatch.setattr(socket, "create_connection", lambda *_: FakeConnection(reply))
    return call_replica("127.0.0.1:1", SECRET, StatusRequest(), reply_type)


def test_a_status_row_keeps_every_key_as_it_was_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    sent = {"leads": True, "open": 3, "name": "r1"}
    row = call(monkeypatch, sent, StatusRow)
    assert (row.name, row.leads, row.role) == ("r1", True, "")
    assert isinstance(row.fields, Mapping) and list(row.fields.items()) == list(sent.items())


def test_a_reply_of_another_type_is_an_error_with_its_reason(monkeypatch: pytest.MonkeyPatch) -> None:
    assert call(monkeypatch, [[1, "anna", 5, "{}"]], list[ConfigurationRow]) == [
        ConfigurationRow(1, "anna", 5, "{}")
    ]
    with pytest.raises(RequestRejectedError) as rejected:
        call(monkeypatch, {"done": False, "why": "unknown question"}, list[ConfigurationRow])
    assert (rejected.value.reason, rejected.value.address) == ("unknown question", "127.0.0.1:1")
    with pytest.raises(ReplyError):
        call(monkeypatch, "garbage", StatusRow)
    with pytest.raises(
        FrameError, match="the replica closed the connection: the secret or the store may differ"
    ):
        call(monkeypatch, None, StatusRow)
