"""The server for holders: authenticated frames, and one current connection for each holder."""

from ploverspoke.consensus.framed_server import FramedConnection, FramedServer, RegistrationLimits
from ploverspoke.consensus.framing import FrameError

from .errors import HolderIdError, LeaseMessageError
from .messages import LeaderRedirect, LeaseResponse, parse_request
from .server_node import LeaseServerNode

MAX_HOLDER_ID_LENGTH = 128  # characters
GREETING_TIMEOUT_S = 5.0  # from accepting a connection to its greeting; a holder may have no request for long
MAX_WITHOUT_GREETING = 256  # connections


class LeaseServer(FramedServer):
    """Serves the holders of leases; a follower redirects them to the leader."""

    client_errors = (FrameError, HolderIdError, LeaseMessageError)
    log_name = "lease server"

    def __init__(self, node: LeaseServerNode) -> None:
        """Register this server as the one through which the node's manager responds."""
        limits = RegistrationLimits(GREETING_TIMEOUT_S, MAX_WITHOUT_GREETING, until_greeting=True)
        super().__init__(node.config.secret, limits)
        self.node = node
        node.send_to_holder = self.send_response

    async def open(self) -> None:
        """Listen at the client address of the node's configuration. Raises OSError."""
        config = self.node.config
        await self.listen(config.replicas[config.name].client)

    def greeting(self) -> dict[str, str]:
        """Return the id of this replica; holders need not know its cluster."""
        return {"id": self.node.replica_id, "store": ""}

    def handle_message(self, connection: FramedConnection, message: object) -> None:
        """Handle a holder's request. Raises HolderIdError or LeaseMessageError."""
        if not connection.registered:
            connection.client_name = _holder_id(connection)
            self.register(connection)
        request = parse_request(message)
        if not self.node.manager.is_leader:
            connection.write(LeaderRedirect(self.node.leader_client_address()))
        elif self.is_current(connection):
            self.node.manager.handle_request(connection.client_name, request)

    def on_disconnected(self, client_name: str) -> None:
        """Remove the holder from the queues."""
        self.node.manager.forget_holder(client_name)

    def send_response(self, holder: str, response: LeaseResponse) -> None:
        """Send to a holder; the response is dropped if the holder is not connected."""
        self.send(holder, response)


def _holder_id(connection: FramedConnection) -> str:
    """Return the id in the client's greeting. Raises HolderIdError."""
    greeting = connection.frames.peer_greeting or {}
    holder = greeting.get("id")
    if not isinstance(holder, str) or not 0 < len(holder) <= MAX_HOLDER_ID_LENGTH:
        raise HolderIdError(holder)
    return holder
