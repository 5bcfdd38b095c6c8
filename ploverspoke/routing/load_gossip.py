"""The other dispatchers on sockets: datagrams to listed addresses and from them, and from nobody else."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Sequence

from ploverspoke.protocol.errors import GossipSyntaxError
from ploverspoke.protocol.gossip_messages import GossipMessage, GossipReader, encode_gossip

Address = tuple[str, int]
Hear = Callable[[int, int, int, float, list[str]], None]


class GossipSocket(asyncio.DatagramProtocol):
    """A telling may be lost, late, doubled or spoilt; what cannot be read is no word of anybody's."""

    def __init__(
        self, addresses: Sequence[Address], own: int, workers: Callable[[], Collection[str]], hear: Hear
    ) -> None:
        self.addresses = addresses
        self.numbers = {address: number for number, address in enumerate(addresses)}
        self.own = own
        self.workers = workers
        self.hear = hear
        self.reader = GossipReader()
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, loop: asyncio.AbstractEventLoop) -> None:
        """Raises OSError where the address cannot be had.

        It is shared with other processes of the same dispatcher: one that replaces another could not start
        else. Each hears a part while both are there.
        """
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.addresses[self.own], reuse_port=True
        )

    def close(self) -> None:
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.close()

    def send(
        self, to: Iterable[int] | None, zone: int, number: int, lateness: float, held: Iterable[str]
    ) -> None:
        if self.transport is None:
            return
        octets = encode_gossip(GossipMessage(zone, number, lateness, list(held)))
        for peer in range(len(self.addresses)) if to is None else to:
            if peer != self.own and peer < len(self.addresses):
                self.transport.sendto(octets, self.addresses[peer])

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        teller = self.numbers.get((str(addr[0]), int(addr[1])))
        if teller is None or teller == self.own:
            return
        try:
            message = self.reader.read(data, self.workers())
        except GossipSyntaxError:
            return
        self.hear(teller, message.zone, message.sequence, message.lateness, message.workers)

    def error_received(self, exc: Exception) -> None:
        """One that is down is told again with the next news."""
