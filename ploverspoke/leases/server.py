"""Where holders come to a keeper: frames as among replicas, one connection for each holder."""

from typing import Any

from ploverspoke.consensus.framed_server import FramedConnection, FramedServer
from ploverspoke.consensus.framing import FrameError

from .manager import Message
from .server_node import LeaseServerNode

LONGEST_ID = 128


class MessageError(ValueError):
    """A holder's message has not the form that it should have."""


def checked(message: Any) -> Message:
    """A holder's message, as `LeaseManager.asked` takes it. Raises MessageError."""
    if not isinstance(message, dict) or not _whole(message.get("n")):
        raise MessageError("no message")
    want, release = message.get("want"), message.get("release")
    if not isinstance(want, list) or not isinstance(release, list):
        raise MessageError("neither wants nor releases")
    for row in want:
        if not (
            isinstance(row, list) and len(row) == 4 and isinstance(row[0], str) and all(map(_whole, row[1:]))
        ):
            raise MessageError("a want that is none")
    for row in release:
        if not (
            isinstance(row, list)
            and len(row) == 3
            and isinstance(row[0], str)
            and _whole(row[1])
            and isinstance(row[2], str)
        ):
            raise MessageError("a release that is none")
    return message


def _whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 1 << 62


class LeaseServer(FramedServer):
    """Serves the holders of leases; those that come to a follower are sent to the leader."""

    client_errors = (FrameError, MessageError)
    log_name = "lease server"

    def __init__(self, node: LeaseServerNode) -> None:
        """The node's manager answers through this server from now on."""
        super().__init__(node.config.secret)
        self.node = node
        node.tell_holder = self.tell

    async def open(self) -> None:
        """Listens at the address for clients in the node's configuration. Raises OSError."""
        await self.listen(self.node.config.replicas[self.node.config.name].client)

    def greeting(self) -> dict[str, str]:
        """Names this replica; its clients need not know the cluster."""
        return {"id": self.node.replica_id, "store": ""}

    def handle_message(self, connection: FramedConnection, message: object) -> None:
        """Takes in what a holder wants. Raises MessageError."""
        if not connection.registered:
            connection.client_name = _holder_id(connection)
            self.register(connection)
        request = checked(message)
        if not self.node.keeper.leading:
            connection.write({"elsewhere": self.node.leader_client_address()})
        elif self.is_current(connection):
            self.node.keeper.asked(connection.client_name, request)

    def tell(self, holder: str, message: Message) -> None:
        """Sends to a holder; dropped where it is not connected."""
        self.send(holder, message)

    def on_disconnected(self, client_name: str) -> None:
        """Takes a holder out of the queues; what it holds it may still act under."""
        self.node.keeper.gone(client_name)


def _holder_id(connection: FramedConnection) -> str:
    """The id from the greeting. Raises MessageError."""
    greeting = connection.frames.peer_greeting or {}
    holder = greeting.get("id")
    if not isinstance(holder, str) or not 0 < len(holder) <= LONGEST_ID:
        raise MessageError("no holder's id")
    return holder
