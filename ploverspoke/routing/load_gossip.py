"""The UDP socket for load gossip with the other dispatchers."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Sequence

from ploverspoke.decisions.interface import LoadGossip
from ploverspoke.protocol.errors import GossipSyntaxError
from ploverspoke.protocol.gossip_messages import GossipMessage, GossipReader, encode_gossip

Address = tuple[str, int]  # host and port, as in the socket API


class GossipSocket(asyncio.DatagramProtocol):
    """Owns the UDP socket. Messages are hints: lost, late, repeated or malformed messages do no harm."""

    def __init__(
        self,
        addresses: Sequence[Address],
        own_index: int,
        known_workers: Callable[[], Collection[str]],
        on_gossip: Callable[[int, LoadGossip], None],
    ) -> None:
        """`addresses` holds the address of each dispatcher by its number, `own_index` is that of this one.

        `on_gossip` is called with the sender's number and its message.
        """
        self.addresses = addresses
        self.peer_numbers = {address: number for number, address in enumerate(addresses)}
        self.own_index = own_index
        self.known_workers = known_workers
        self.on_gossip = on_gossip
        self.reader = GossipReader()
        self.transport: asyncio.DatagramTransport | None = None

    async def open(self, loop: asyncio.AbstractEventLoop) -> None:
        """Bind the socket to this dispatcher's address. Raises OSError if that fails.

        Other processes of the same dispatcher may bind the address too, since a successor could not start
        otherwise; while there are two processes, each receives a part of the messages.
        """
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=self.addresses[self.own_index], reuse_port=True
        )

    def close(self) -> None:
        """Close the socket; messages are no longer sent or received."""
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.close()

    def send(self, peers: Iterable[int] | None, gossip: LoadGossip) -> None:
        """Send to the dispatchers with these numbers (None: to all others), if the socket is open."""
        if self.transport is None:
            return
        data = encode_gossip(
            GossipMessage(gossip.zone, gossip.sequence, gossip.lateness, list(gossip.workers))
        )
        for peer in range(len(self.addresses)) if peers is None else peers:
            if peer != self.own_index and peer < len(self.addresses):
                self.transport.sendto(data, self.addresses[peer])

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Report a message; messages from unknown addresses and malformed ones are dropped."""
        sender = self.peer_numbers.get((str(addr[0]), int(addr[1])))
        if sender is None or sender == self.own_index:
            return
        try:
            message = self.reader.read(data, self.known_workers())
        except GossipSyntaxError:
            # Not logged: any process can send such datagrams, and they would flood the log.
            return
        self.on_gossip(sender, LoadGossip(message.zone, message.sequence, message.lateness, message.workers))

    def error_received(self, exc: Exception) -> None:
        """Do nothing: a dispatcher that is down receives a later message."""
