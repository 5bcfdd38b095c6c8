"""One operator's connection, which is closed after one command and its reply."""

from typing import Protocol

from ploverspoke.protocol import admin
from ploverspoke.protocol.errors import AdminCommandError
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.units import SECOND

COMMAND_TIMEOUT_NS = 2 * SECOND  # to receive the command, and again for the operator to read the reply


class AdminConnectionOwner(Protocol):
    """The part of the admin server that a connection uses."""

    deadlines: Deadlines

    def execute(self, command: str) -> bytes:
        """Return the reply to a command, which is an error reply if the command failed."""

    def remove_session(self, session: "AdminConnection") -> None:
        """Remove the session, whose connection has ended."""


class AdminConnection:
    """Owns one operator's connection."""

    def __init__(self, server: AdminConnectionOwner, connection: Connection) -> None:
        """Start to read; the server is notified when the connection has ended."""
        self.server = server
        self.connection = connection
        self.reader = admin.AdminCommandReader()
        self.began_at = server.deadlines.now()
        self.is_answered = False
        self.deadline = server.deadlines.schedule(self.began_at + COMMAND_TIMEOUT_NS, self._on_timeout)
        connection.user = self

    def abort(self) -> None:
        """Close the connection at once."""
        self.connection.abort()

    # ---- Events of the connection ----

    def on_data_available(self) -> None:
        """Read the command, and reply once it is complete; bytes after it are discarded."""
        if self.is_answered:
            self.connection.buffer.consume(len(self.connection.buffer))
            return
        data = self.connection.buffer.unread()
        try:
            command = self.reader.feed(data)
        except AdminCommandError as error:
            self._reply(admin.error_reply(error.reason))
            return
        finally:
            self.connection.buffer.consume(len(data))
            data.release()
        if command is not None:
            self._reply(self.server.execute(command))

    def on_disconnected(self) -> None:
        """End the session."""
        self.server.deadlines.cancel(self.deadline)
        self.server.remove_session(self)

    def on_write_drained(self) -> None:
        """Do nothing: the connection closes when the reply is sent."""

    def _reply(self, reply: bytes) -> None:
        self.is_answered = True
        self.connection.write(reply)
        self.connection.close()

    def _on_timeout(self) -> None:
        if self.is_answered:
            self.connection.abort()
        else:
            self._reply(admin.error_reply("no whole line came"))
            now = self.server.deadlines.now()
            self.deadline = self.server.deadlines.schedule(now + COMMAND_TIMEOUT_NS, self._on_timeout)
