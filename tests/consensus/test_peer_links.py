"""Connections between replicas on real sockets."""

import asyncio
import time
from typing import cast

import pytest
import uvloop

from ploverspoke.consensus import peer_links
from ploverspoke.consensus.admin_messages import StatusRequest
from ploverspoke.consensus.framing import MAX_BODY_BYTES, FrameCodec
from ploverspoke.consensus.peer_identity import PeerIdentity
from ploverspoke.consensus.replica_client import RequestRejectedError, call_replica
from ploverspoke.consensus.wire_messages import TimeoutNow
from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.polling import until


def test_a_connection_that_sends_nothing_out_is_closed_and_dialled_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Messages that wait for an unreachable replica are stale, and must not be sent before new ones.
    monkeypatch.setattr(peer_links, "STALL_TIMEOUT_S", 0.2)
    secret, greeting = b"a secret of the test", {"id": "b.1", "store": "s"}
    accepted: list[asyncio.Transport] = []

    class PeerThatDoesNotRead(asyncio.Protocol):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            stream = cast(asyncio.Transport, transport)
            stream.write(FrameCodec(secret, greeting).greeting_frame())
            asyncio.get_running_loop().call_soon(stream.pause_reading)
            accepted.append(stream)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(PeerThatDoesNotRead, "127.0.0.1", 0)
        identity = PeerIdentity("a.1", "s")
        links = peer_links.PeerLinks(secret, identity, lambda *_: None, lambda *_: None)
        links.set_peers({"b.1": f"127.0.0.1:{server.sockets[0].getsockname()[1]}"})
        await until(lambda: "b.1" in links.outbound and links.outbound["b.1"].ready)
        first = links.outbound["b.1"]

        def is_stalled() -> bool:
            links.send("b.1", ["x" * 65536])
            return links.stalled_connections > 0

        await until(is_stalled)
        assert (
            first.transport is None
            or first.transport.get_write_buffer_size() <= peer_links.MAX_UNSENT_BYTES + 70_000
        )
        await until(lambda: len(accepted) > 1 and links.outbound["b.1"] is not first)
        links.close()
        server.close()
        for transport in accepted:
            transport.abort()

    uvloop.run(asyncio.wait_for(scenario(), 20))


def test_a_message_without_a_frame_is_dropped_and_a_reply_without_one_says_why() -> None:
    # Guards against a heartbeat round or a tool's request that ends halfway, because one message is too large
    # or cannot be encoded.
    secret = b"a secret of the test"
    received: list[object] = []

    async def scenario() -> None:
        port = reserve_ports(1)[0]
        receiver = peer_links.PeerLinks(
            secret,
            PeerIdentity("b.1", "s"),
            lambda _, message: received.append(message),
            lambda _, reply: reply(["x" * MAX_BODY_BYTES]),
        )
        await receiver.open("127.0.0.1", port)
        sender = peer_links.PeerLinks(secret, PeerIdentity("a.1", "s"), print, print)
        sender.set_peers({"b.1": f"127.0.0.1:{port}"})
        await until(lambda: "b.1" in sender.outbound and sender.outbound["b.1"].ready)
        for too_much in ("\ud83d", "x" * MAX_BODY_BYTES):
            sender.send("b.1", [too_much])
        sender.send("b.1", TimeoutNow(term=3, storage_id="d"))
        await until(lambda: received)
        assert received == [TimeoutNow(term=3, storage_id="d")] and sender.dropped_messages == 2
        with pytest.raises(RequestRejectedError, match="exceeds the limit"):
            await asyncio.to_thread(call_replica, f"127.0.0.1:{port}", secret, StatusRequest(), list[str])
        sender.close()
        receiver.close()

    uvloop.run(asyncio.wait_for(scenario(), 20))


def test_connections_without_a_greeting_are_closed_and_leave_room_for_tools(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_links, "GREETING_TIMEOUT_S", 0.2)
    secret = b"a secret of the test"

    async def scenario() -> None:
        port = reserve_ports(1)[0]
        links = peer_links.PeerLinks(secret, PeerIdentity("b.1", "s"), print, print)
        await links.open("127.0.0.1", port)
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(100)]
        await until(lambda: len(links.inbound) <= peer_links.MAX_WITHOUT_GREETING)
        sender = peer_links.PeerLinks(secret, PeerIdentity("a.1", "s"), print, print)
        await until(lambda: not links.inbound)
        sender.set_peers({"b.1": f"127.0.0.1:{port}"})
        await until(lambda: "b.1" in sender.outbound and sender.outbound["b.1"].ready)
        await asyncio.sleep(0.4)
        assert len(links.inbound) == 1 and sender.outbound["b.1"].ready, "silent after its greeting"
        for _, writer in silent:
            writer.close()
        sender.close()
        links.close()

    uvloop.run(asyncio.wait_for(scenario(), 20))


def test_a_tool_that_reads_no_replies_is_disconnected() -> None:
    secret = b"a secret of the test"

    async def scenario() -> None:
        port = reserve_ports(1)[0]
        identity = PeerIdentity("b.1", "s")
        links = peer_links.PeerLinks(secret, identity, print, lambda _, reply: reply(["x" * 1_000_000]))
        await links.open("127.0.0.1", port)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        frames = FrameCodec(secret, {"id": peer_links.ADMIN_CLIENT_ID, "store": ""})
        frames.decode_bodies(await reader.read(4096))
        writer.write(frames.greeting_frame() + b"".join(frames.encode(["status"]) for _ in range(100)))
        await until(lambda: not links.inbound)
        writer.close()
        links.close()

    uvloop.run(asyncio.wait_for(scenario(), 20))


def test_tools_with_messages_in_part_hold_a_limited_amount_together() -> None:
    secret = b"a secret of the test"

    async def scenario() -> None:
        port = reserve_ports(1)[0]
        links = peer_links.PeerLinks(secret, PeerIdentity("b.1", "s"), print, print)
        links.memory.account.set_limit(1_000_000)
        await links.open("127.0.0.1", port)
        writers: list[asyncio.StreamWriter] = []
        for _ in range(8):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            frames = FrameCodec(secret, {"id": peer_links.ADMIN_CLIENT_ID, "store": ""})
            frames.decode_bodies(await reader.read(4096))
            writer.write(frames.greeting_frame() + frames.encode("x" * 300_000)[:200_000])
            writers.append(writer)
        await until(lambda: len(links.inbound) == 4 and links.memory.account.total == 800_000)
        assert links.memory.closed_connections == 4
        for writer in writers:
            writer.close()
        links.close()

    uvloop.run(asyncio.wait_for(scenario(), 20))


def test_a_tool_that_sends_much_at_once_does_not_hold_up_another() -> None:
    secret = b"a secret of the test"
    handled: list[object] = []

    def handle(request: object, reply: peer_links.Reply) -> None:
        handled.append(request)
        time.sleep(0.001)

    async def connect(port: int) -> tuple[FrameCodec, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        frames = FrameCodec(secret, {"id": peer_links.ADMIN_CLIENT_ID, "store": ""})
        frames.decode_bodies(await reader.read(4096))
        writer.write(frames.greeting_frame())
        return frames, writer

    async def scenario() -> None:
        port = reserve_ports(1)[0]
        links = peer_links.PeerLinks(secret, PeerIdentity("b.1", "s"), print, handle)
        await links.open("127.0.0.1", port)
        (much_frames, much), (other_frames, other) = await connect(port), await connect(port)
        await until(lambda: sum(connection.has_greeted() for connection in links.inbound) == 2)
        much.write(b"".join(much_frames.encode(["much"]) for _ in range(1000)))
        other.write(other_frames.encode(["other"]))
        await until(lambda: len(handled) == 1001)
        assert handled.index(["other"]) < 100
        for writer in (much, other):
            writer.close()
        links.close()

    uvloop.run(asyncio.wait_for(scenario(), 20))
