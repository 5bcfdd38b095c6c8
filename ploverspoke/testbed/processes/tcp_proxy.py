"""The proxy of a run, one process: it listens in place of each process at a separate host, and forwards.

`python -m ploverspoke.testbed.processes.tcp_proxy SPEC`. Lines on its input add and remove faults on links
and reset connections (`proxy_messages.py`); it answers each line once that is done, and exits at the end of
its input.

A sender is identified by its own host. A datagram is forwarded from the host at which the proxy listens in
place of the sender, since that is the sender's address as the receiver knows it.
"""

import asyncio
import random
import sys
from functools import partial
from pathlib import Path
from typing import cast

import msgspec
import uvloop

from .history import monotonic_now
from .link_faults import LinkFault, LinkTable
from .pipe_messages import input_lines, send_message
from .proxied_stream import ProxiedStream, StreamAddress
from .proxy_messages import (
    AddLinkFault,
    ProxiedProcess,
    ProxyCounters,
    ProxyReady,
    ProxyRequest,
    ProxySpec,
    ReadCounters,
    RemoveLinkFault,
    ResetConnections,
)

BACKLOG = 1024
OUTSIDE = "outside"  # the name of senders without a host of their own, such as tools and tests


class DatagramPort(asyncio.DatagramProtocol):
    """The proxy's socket for one process and port."""

    def __init__(self, proxy: "TcpProxy", process: ProxiedProcess, port: int) -> None:
        """Create the protocol of that process's port."""
        self.proxy, self.process, self.port = proxy, process, port
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Forward a datagram from the proxy's port of its sender, subject to the faults of the link."""
        sender = self.proxy.process_by_host.get(str(addr[0]))
        sender_port = (
            self.proxy.datagram_ports.get((sender.name, int(addr[1]))) if sender is not None else None
        )
        if sender is None or sender_port is None:
            self.proxy.unknown_datagrams += 1
            return
        now = monotonic_now()
        send = partial(sender_port.send, data, self.process.host, self.port)
        for arrives_at in self.proxy.links.link(sender.name, self.process.name).datagram_arrivals(
            now, len(data)
        ):
            if arrives_at <= now:
                send()
            else:
                asyncio.get_running_loop().call_later((arrives_at - now) / 1e9, send)

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram from this port."""
        if self.transport is not None:
            self.transport.sendto(data, (host, port))


class StreamPort(asyncio.Protocol):
    """A new connection, until the host of its peer has identified the process that opened it."""

    def __init__(self, proxy: "TcpProxy", target: ProxiedProcess, port: int) -> None:
        """Create the protocol of a connection to that process's port."""
        self.proxy, self.target, self.port = proxy, target, port

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the connection over to a stream."""
        origin = self.proxy.process_by_host.get(transport.get_extra_info("peername")[0])
        stream = self.proxy.accept_stream(origin, self.target, self.port)
        transport.set_protocol(stream.origin_end)
        stream.origin_end.connection_made(transport)
        if not stream.is_silent:
            self.proxy.connect_stream(stream, origin.host if origin is not None else "")


class TcpProxy:
    """Forwards streams and datagrams between processes, with faults on the links between them."""

    def __init__(self, spec: ProxySpec) -> None:
        """A proxy that does not listen yet."""
        self.spec = spec
        self.links = LinkTable(lambda name: random.Random(f"{spec.seed} {name}").random)
        self.process_by_host = {process.host: process for process in spec.processes}
        self.datagram_ports: dict[tuple[str, int], DatagramPort] = {}  # by process and port
        self.unknown_datagrams = 0
        self._streams: set[ProxiedStream] = set()
        self._accepted_connections = 0
        self._connecting: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen at all ports. Raises OSError."""
        for process in self.spec.processes:
            for port in process.stream_ports:
                await self._listen_for_streams(process, port)
            for port in process.datagram_ports:
                await self._listen_for_datagrams(process, port)

    async def _listen_for_streams(self, process: ProxiedProcess, port: int) -> None:
        await asyncio.get_running_loop().create_server(
            lambda: StreamPort(self, process, port), process.proxy_host, port, backlog=BACKLOG
        )

    async def _listen_for_datagrams(self, process: ProxiedProcess, port: int) -> None:
        datagram_port = self.datagram_ports[process.name, port] = DatagramPort(self, process, port)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: datagram_port, local_addr=(process.proxy_host, port)
        )

    def accept_stream(
        self, origin: ProxiedProcess | None, target: ProxiedProcess, port: int
    ) -> ProxiedStream:
        """Count a connection and create its stream; `origin` is None for one from outside."""
        self._accepted_connections += 1
        name = origin.name if origin is not None else OUTSIDE
        address = StreamAddress(name, target.name, target.host, port)
        forward, backward = self.links.link(name, target.name), self.links.link(target.name, name)
        stream = ProxiedStream(address, forward, backward, self._streams.discard)
        self._streams.add(stream)
        return stream

    def connect_stream(self, stream: ProxiedStream, source_host: str) -> None:
        """Begin to connect to the stream's target."""
        task = asyncio.get_running_loop().create_task(stream.connect(source_host))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    def handle(self, request: ProxyRequest) -> ProxyCounters:
        """Carry out a request, and deliver data that is no longer held back."""
        match request:
            case AddLinkFault(number, fault):
                self.links.add_fault(number, fault)
            case RemoveLinkFault(number):
                self.links.remove_fault(number)
            case ResetConnections(fault):
                self._reset_connections(fault)
        for stream in list(self._streams):
            stream.deliver()
        has_links = isinstance(request, ReadCounters) and request.by_link
        return ProxyCounters(
            links=self.links.counters(),
            open_streams=len(self._streams),
            accepted_connections=self._accepted_connections,
            unknown_datagrams=self.unknown_datagrams,
            bytes_by_link=self.links.bytes_by_link() if has_links else {},
        )

    def _reset_connections(self, fault: LinkFault) -> None:
        for stream in list(self._streams):
            if fault.covers(stream.address.origin, stream.address.target):
                stream.reset()


async def serve(spec: ProxySpec) -> None:
    """Run a proxy until the end of the standard input."""
    proxy = TcpProxy(spec)
    await proxy.open()
    send_message(ProxyReady(len(spec.processes)))
    async for line in input_lines():
        send_message(proxy.handle(msgspec.json.decode(line, type=ProxyRequest)))


if __name__ == "__main__":
    uvloop.run(serve(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ProxySpec)))
