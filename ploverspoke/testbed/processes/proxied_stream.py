"""A TCP connection through the proxy: two connections, and a link with faults in each direction.

A cut delays the data in transit and drops none, as if lost segments were retransmitted after the cut. Data
that was sent before a close still arrives. A half-closed connection is closed in both directions.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, cast

from .connection_reset import reset_on_close
from .history import monotonic_now
from .link_faults import Link

MAX_QUEUED_BYTES = 1 << 20  # in one direction; beyond that the proxy stops reading from the sender


class StreamAddress(NamedTuple):
    """The two ends of a connection."""

    origin: str  # names of processes
    target: str
    target_host: str
    target_port: int


class StreamDirection:
    """The data in transit in one direction."""

    def __init__(self, link: Link) -> None:
        """Start with an empty queue; `link` has the delays and cuts of this direction."""
        self.link = link
        self.source: StreamEnd | None = None
        self.sink: StreamEnd | None = None
        # Arrival times (ns) and data; None is the end of the stream.
        self._queue: deque[tuple[int, bytes | None]] = deque()
        self._queued_bytes = 0
        self._last_arrival = 0  # ns
        self._timer: asyncio.TimerHandle | None = None

    def put(self, data: bytes | None) -> None:
        """Send data, or the end of the stream (None).

        The end arrives after all data sent before it, without a delay of its own.
        """
        now = monotonic_now()
        arrives_at = now if data is None else self.link.segment_arrival(now, len(data))
        self._last_arrival = max(self._last_arrival, arrives_at)
        self._queue.append((self._last_arrival, data))
        self._queued_bytes += len(data or b"")
        if self._queued_bytes > MAX_QUEUED_BYTES and self.source is not None:
            self.source.pause_reading()
        self.deliver()

    def deliver(self) -> None:
        """Deliver the data that has arrived by now, unless the link is cut, and set a timer for the rest."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._queue and self.sink is not None and not self.link.effective.cut:
            arrives_at, data = self._queue[0]
            remaining = arrives_at - monotonic_now()
            if remaining > 0:
                self._timer = asyncio.get_running_loop().call_later(remaining / 1e9, self.deliver)
                return
            self._queue.popleft()
            if data is None:
                self.sink.close()
                return
            self._queued_bytes -= len(data)
            self.sink.write(data)
            if self._queued_bytes <= MAX_QUEUED_BYTES and self.source is not None:
                self.source.resume_reading()


class StreamEnd(asyncio.Protocol):
    """The proxy's side of the connection to one of the two processes."""

    def __init__(self, stream: "ProxiedStream", outgoing: StreamDirection, incoming: StreamDirection) -> None:
        """`outgoing` carries the data that this process sends, `incoming` the data that is sent to it."""
        self.stream, self.outgoing, self.incoming = stream, outgoing, incoming
        self.transport: asyncio.Transport | None = None
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to deliver data to the process."""
        self.transport = cast(asyncio.Transport, transport)
        self.outgoing.source = self
        self.incoming.sink = self
        self.incoming.deliver()

    def data_received(self, data: bytes) -> None:
        """Forward data to the other process."""
        if not self.stream.is_silent:
            self.outgoing.put(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forward the end of the stream to the other process."""
        self.transport = None
        if not self.is_closed:
            self.is_closed = True
            if not self.stream.is_silent:
                self.outgoing.put(None)
        self.stream.end_closed()

    def write(self, data: bytes) -> None:
        """Send data to the process."""
        if self.transport is not None:
            self.transport.write(data)

    def pause_reading(self) -> None:
        """Stop reading, so that flow control makes the process wait."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the process again."""
        if self.transport is not None:
            self.transport.resume_reading()

    def close(self) -> None:
        """Close the connection to the process."""
        self.is_closed = True
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Close the connection so that the process receives a reset."""
        self.is_closed = True
        if self.transport is not None:
            reset_on_close(self.transport.get_extra_info("socket"))
            self.transport.abort()


class ProxiedStream:
    """One connection between two processes."""

    def __init__(
        self,
        address: StreamAddress,
        forward: Link,
        backward: Link,
        on_closed: Callable[["ProxiedStream"], None],
    ) -> None:
        """`on_closed` is called when both connections are closed, and after a reset."""
        self.address = address
        self.is_silent = forward.effective.silent
        outgoing, incoming = StreamDirection(forward), StreamDirection(backward)
        self._directions = (outgoing, incoming)
        self.origin_end = StreamEnd(self, outgoing, incoming)
        self.target_end = StreamEnd(self, incoming, outgoing)
        self._on_closed = on_closed

    async def connect(self, source_host: str) -> None:
        """Connect to the target, from that host unless it is "". On failure the origin receives a reset."""
        loop = asyncio.get_running_loop()
        local_address = (source_host, 0) if source_host else None
        try:
            await loop.create_connection(
                lambda: self.target_end,
                self.address.target_host,
                self.address.target_port,
                local_addr=local_address,
            )
        except OSError:
            self.reset()

    def reset(self) -> None:
        """Reset both connections."""
        self.origin_end.reset()
        self.target_end.reset()
        self._on_closed(self)

    def deliver(self) -> None:
        """Deliver the data that has arrived in both directions; called after faults have changed."""
        for direction in self._directions:
            direction.deliver()

    def end_closed(self) -> None:
        """Called when one of the two connections is closed."""
        if self.origin_end.transport is None and self.target_end.transport is None:
            self._on_closed(self)
