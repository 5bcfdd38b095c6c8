"""Connections between replicas on real sockets."""

import asyncio
from typing import cast

import pytest
import uvloop

from ploverspoke.consensus import peer_links
from ploverspoke.consensus.framing import FrameCodec
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
        identity = peer_links.PeerIdentity("a.1", "s")
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
