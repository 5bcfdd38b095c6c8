"""The proxy between processes: streams and datagrams under link faults."""

import asyncio

import msgspec
import pytest
import uvloop

from ploverspoke.testbed.processes.addresses import AddressBlock
from ploverspoke.testbed.processes.link_faults import LinkFault
from ploverspoke.testbed.processes.proxy_messages import (
    AddLinkFault,
    ProxiedProcess,
    ProxyCounters,
    ProxyRequest,
    ProxySpec,
    ReadCounters,
    RemoveLinkFault,
    ResetConnections,
)
from ploverspoke.testbed.processes.tcp_proxy import TcpProxy
from tests.polling import until

SILENCE_S = 0.05  # for which nothing may arrive


class DatagramRecorder(asyncio.DatagramProtocol):
    """Records each datagram with the host of its sender."""

    def __init__(self) -> None:
        self.received: list[tuple[bytes, str]] = []

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        self.received.append((data, str(addr[0])))


class UpperCaseServer:
    """Answers in upper case and records what it receives, `b"end"` at the end of a stream."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.clients: list[str] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.clients.append(writer.get_extra_info("peername")[0])
        while data := await reader.read(1000):
            self.received.append(data)
            writer.write(data.upper())
        self.received.append(b"end")
        writer.close()


def ask(proxy: TcpProxy, request: ProxyRequest) -> ProxyCounters:
    """Pass a request to the proxy and return its answer, both encoded and decoded as on the pipes."""
    line = msgspec.json.encode(request)
    answer = msgspec.json.encode(proxy.handle(msgspec.json.decode(line, type=ProxyRequest)))
    return msgspec.json.decode(answer, type=ProxyCounters)


async def assert_silent(reader: asyncio.StreamReader) -> None:
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(10), SILENCE_S)


async def run_streams_and_datagrams(block: AddressBlock) -> None:
    ports = [block.reserve_port(block.process_host(number)) for number in range(2)]
    a, b = (
        ProxiedProcess(name, block.process_host(n), block.proxy_host(n), [ports[n]], [ports[n]])
        for n, name in enumerate("ab")
    )
    proxy = TcpProxy(ProxySpec(1, [a, b]))
    await proxy.open()
    server, datagrams = UpperCaseServer(), DatagramRecorder()
    await asyncio.start_server(server.serve, b.host, ports[1])
    loop = asyncio.get_running_loop()
    sender, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(a.host, ports[0]))
    await loop.create_datagram_endpoint(lambda: datagrams, local_addr=(b.host, ports[1]))

    async def connect() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(b.proxy_host, ports[1], local_addr=(a.host, 0))

    reader, writer = await connect()
    writer.write(b"one")
    assert await reader.read(10) == b"ONE" and server.clients == [a.host]
    sender.sendto(b"x", (b.proxy_host, ports[1]))
    await until(lambda: datagrams.received == [(b"x", a.proxy_host)])  # a's address as b knows it

    # First answers are cut off and requests arrive, then the other way round.
    ask(proxy, AddLinkFault(1, LinkFault(origin=["b"], target=["a"], cut=True)))
    writer.write(b"two")
    await until(lambda: server.received[-1] == b"two")
    await assert_silent(reader)
    ask(proxy, AddLinkFault(2, LinkFault(origin=["a"], cut=True)))
    ask(proxy, RemoveLinkFault(1))
    assert await reader.read(10) == b"TWO"
    writer.write(b"three")
    sender.sendto(b"y", (b.proxy_host, ports[1]))
    writer.close()  # the end arrives after the data that was sent before it
    await asyncio.sleep(SILENCE_S)
    assert server.received[-1] == b"two" and len(datagrams.received) == 1
    ask(proxy, RemoveLinkFault(2))
    await until(lambda: server.received[-2:] == [b"three", b"end"])

    reader, writer = await connect()
    writer.write(b"four")
    await reader.read(10)
    ask(proxy, ResetConnections(LinkFault(origin=["a"], target=["b"])))
    with pytest.raises(ConnectionResetError):
        await reader.read(10)
    ask(proxy, AddLinkFault(3, LinkFault(silent=True)))
    reader, writer = await connect()
    writer.write(b"five")
    await assert_silent(reader)
    ask(proxy, RemoveLinkFault(3))
    assert b"five" not in server.received and len(server.clients) == 2
    counters = ask(proxy, ReadCounters())
    assert counters.accepted_connections == 3 and counters.links.lost == 1


def test_proxy_forwards_holds_and_resets_streams_and_datagrams() -> None:
    block = AddressBlock()
    try:
        uvloop.run(asyncio.wait_for(run_streams_and_datagrams(block), 30))
    finally:
        block.close()
