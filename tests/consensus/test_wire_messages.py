"""Messages between replicas: decoding restores their types, and a malformed one closes its connection."""

import asyncio
from unittest import mock

import msgspec
import pytest

from ploverspoke.consensus.framing import FrameCodec
from ploverspoke.consensus.log import Entry, EntryKind
from ploverspoke.consensus.membership import Member
from ploverspoke.consensus.peer_identity import PeerIdentity
from ploverspoke.consensus.peer_links import InboundConnection, PeerLinks
from ploverspoke.consensus.wire_messages import (
    AppendEntries,
    MessageError,
    StaleTerm,
    decode_message,
    encode_message,
)

SECRET = b"a secret of the test"
STALE_TERM = {"k": "behind", "t": 3, "disk": "d"}
HEARTBEAT = {"k": "append", "t": 3, "li": 0, "lt": 0, "e": [], "c": 0, "r": 1, "disk": "d"}
MALFORMED: list[object] = [
    7,
    [],
    {},
    {"t": 3, "disk": "d"},
    {"k": "unknown", "t": 3, "disk": "d"},
    {"k": "behind", "t": "3", "disk": "d"},
    {"k": "behind", "disk": "d"},
    {"k": "behind", "t": 3},
    {**HEARTBEAT, "e": [[1, 1]]},
    {**HEARTBEAT, "e": [[1, 1, "unknown", None]]},
    {**HEARTBEAT, "e": [[1, 1, "members", {"a.1": ["a"]}]]},
]


def test_entries_of_a_message_are_typed_when_it_is_decoded() -> None:
    members = {"a.1": Member("a", "p:1", "c:1", votes=True)}
    entries = [Entry(1, 3, EntryKind.DATA, ["x", b"y"]), Entry(2, 3, EntryKind.MEMBERS, members)]
    message = AppendEntries(3, 0, 0, entries, 0, 1, storage_id="d")
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize("plain", MALFORMED, ids=repr)
def test_message_of_another_form_is_refused(plain: object) -> None:
    with pytest.raises(MessageError):
        decode_message(msgspec.msgpack.encode(plain))


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x81"])
def test_bytes_that_are_no_msgpack_are_refused(body: bytes) -> None:
    with pytest.raises(MessageError):
        decode_message(body)


@pytest.mark.parametrize("plain", MALFORMED, ids=repr)
def test_connection_with_a_malformed_message_is_closed_and_counted(plain: object) -> None:
    async def scenario() -> None:
        received: list[object] = []
        links = PeerLinks(SECRET, PeerIdentity("b.1", "s"), lambda *each: received.append(each), mock.Mock())
        connection = InboundConnection(links)
        transport = mock.Mock(spec=asyncio.Transport)
        connection.connection_made(transport)
        peer = FrameCodec(SECRET, {"id": "a.1", "store": "s"})
        peer.decode_bodies(transport.write.call_args.args[0])
        connection.data_received(peer.greeting_frame() + peer.encode(STALE_TERM))
        assert received == [("a.1", StaleTerm(3, storage_id="d"))] and not transport.abort.called
        connection.data_received(peer.encode(plain))
        assert links.refused_connections == 1 and transport.abort.called and len(received) == 1

    asyncio.run(scenario())
