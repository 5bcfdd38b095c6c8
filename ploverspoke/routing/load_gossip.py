"""Load gossip on sockets: datagrams to and from the listed addresses of the other dispatchers."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Sequence

from ploverspoke.decisions.interface import LoadGossip
from ploverspoke.protocol.errors import GossipSyntaxError
from ploverspoke.protocol.gossip_messages import GossipMessage, GossipReader, encode_gossip

Address = tuple[str, int]  # host and port, as sockets have them


class GossipSocket(asyncio.DatagramProtocol):
    """Owner of one UDP socket. Messages are hints: lost, late, repeated or broken ones do no harm."""

    def __init__(
        self,
        addresses: Sequence[Address],
        own_index: int,
        known_workers: Callable[[], Collection[str]],
        on_gossip: Callable[[int, LoadGossip], None],
    ) -> None:
        """`addresses` has one for each dispatcher, by number, the own one at `own_index`.

        `on_gossip` is given the sender's number and its message.
        """
        self.addresses = addresses
        self.numbers = {address: number for number, address in enumerate(addresses)}
        self.own_index = own_index
        self.known_workers = known_workers
        self.on_gossip = on_gossip
        self.reader = GossipReader()
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, loop: asyncio.AbstractEventLoop) -> None:
        """Listen at the own address. Raises OSError where that is not possible.

        The address is shared with other processes of the same dispatcher, since a successor could not
        start otherwise; while there are two, each receives a part of the messages.
        """
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.addresses[self.own_index], reuse_port=True
        )

    def close(self) -> None:
        """Close the socket; nothing is sent or received any more."""
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.close()

    def send(self, peers: Iterable[int] | None, gossip: LoadGossip) -> None:
        """Send to these dispatchers, None: to all others; ignored when the socket is closed."""
        if self.transport is None:
            return
        data = encode_gossip(
            GossipMessage(gossip.zone, gossip.sequence, gossip.lateness, list(gossip.workers))
        )
        for peer in range(len(self.addresses)) if peers is None else peers:
            if peer != self.own_index and peer < len(self.addresses):
                self.transport.sendto(data, self.addresses[peer])

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Pass a message on; one from a stranger, or that cannot be read, is dropped."""
        sender = self.numbers.get((str(addr[0]), int(addr[1])))
        if sender is None or sender == self.own_index:
            return
        try:
            message = self.reader.read(data, self.known_workers())
        except GossipSyntaxError:
            # Anybody can send anything: a line in the log for each would drown what matters.
            return
        self.on_gossip(sender, LoadGossip(message.zone, message.sequence, message.lateness, message.workers))

    def error_received(self, exc: Exception) -> None:
        """Do nothing: a dispatcher that is down gets the next message."""
