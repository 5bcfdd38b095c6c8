"""The listener for watchers of a config server: authenticated frames, one connection per watcher."""

from collections.abc import Mapping

from ploverspoke.consensus.framed_server import FramedConnection, FramedServer, RegistrationLimits
from ploverspoke.consensus.framing import FrameError
from ploverspoke.transport.rate_limited_log import log_line

from .errors import MessageRejectedError
from .messages import (
    WatchElsewhere,
    WatchRejected,
    WatchStatus,
    read_watch_status,
    read_watcher_greeting,
)
from .server_node import ConfigServerNode

STATUS_TIMEOUT_S = 5.0  # from the connection to the watcher's first status
MAX_CONNECTIONS_WITHOUT_STATUS = 1024


class ConfigServer(FramedServer):
    """Serves the watchers of one config server; a watcher is registered with its first status."""

    client_errors = (MessageRejectedError, FrameError, KeyError, TypeError, ValueError)
    log_name = "config"

    def __init__(self, node: ConfigServerNode) -> None:
        """`node` decides what is sent to the watchers; it sends over the connections of this server."""
        limits = RegistrationLimits(STATUS_TIMEOUT_S, MAX_CONNECTIONS_WITHOUT_STATUS)
        super().__init__(node.config.secret, limits)
        self.node = node
        node.watcher_connections = self

    async def open(self) -> None:
        """Accept watchers until `close`. Raises OSError."""
        config = self.node.config
        await self.listen(config.replicas[config.name].client)

    # ---- Events of connections ----

    def greeting(self) -> Mapping[str, str | int]:
        """Return the greeting, the first message that a watcher receives."""
        return {"id": self.node.replica_id, "store": ""}

    def handle_greeting(self, connection: FramedConnection, greeting: Mapping[str, object]) -> None:
        """Read the watcher's name, and send the first heartbeat. Raises MessageRejectedError."""
        connection.client_name = read_watcher_greeting(greeting, self.node.config.cluster)
        connection.write(self.node.broadcaster.heartbeat())

    def handle_message(self, connection: FramedConnection, message: object) -> None:
        """Handle a watcher's status; the first one registers it. Raises MessageRejectedError."""
        status = read_watch_status(message)
        if not connection.registered and not self._register_watcher(connection):
            return
        if self.is_current(connection):
            self._report_status(connection.client_name, status)

    def _register_watcher(self, connection: FramedConnection) -> bool:
        name = connection.client_name
        if not self.node.broadcaster.has_capacity_for(name):
            connection.write(WatchElsewhere())
            connection.close()
            return False
        if self.register(connection) is not None:
            self.node.broadcaster.on_disconnected(name)
            log_line(f"config: {name} connected again, its older connection is closed")
        return True

    def _report_status(self, name: str, status: WatchStatus) -> None:
        self.node.broadcaster.on_watch_status(name, status)
        self.node.schedule_tick()

    def handle_client_error(self, connection: FramedConnection, error: Exception) -> None:
        """Log a protocol error and close the connection, if possible after sending the reason."""
        log_line(f"config: message rejected: {error}")
        if isinstance(error, MessageRejectedError):
            connection.write(WatchRejected(error.reason))
            connection.close()
        else:
            connection.abort()

    def on_disconnected(self, client_name: str) -> None:
        """Handle the loss of a watcher's current connection."""
        self.node.broadcaster.on_disconnected(client_name)

    # ---- Used by the node ----

    def disconnect(self, client_name: str, reason: str) -> None:
        """Close a watcher's connection, without a call of `on_disconnected`."""
        connection = self.clients.pop(client_name, None)
        if connection is not None:
            log_line(f"config: {client_name} is disconnected: {reason}")
            connection.abort()
