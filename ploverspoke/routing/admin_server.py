"""The admin server: answers operators' commands from the current state of the process."""

import asyncio
import traceback
from collections.abc import Callable, Iterator

from ploverspoke.protocol import admin
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.listener import EVICTION_MIN_AGE, Listener
from ploverspoke.transport.loop_meter import ConnectionKind
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.slot_table import SlotTable

from .admin_connection import AdminConnection
from .client_server import ClientServer
from .resource_metrics import resource_metric_lines
from .router import Router

MAX_SESSIONS = 16  # their file descriptors are reserved in transport/resource_limits.py


class AdminServer:
    """Owns the listening socket for operators and their sessions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        client_server: ClientServer,
        router: Router,
    ) -> None:
        """Commands report on `client_server` and `router`."""
        self.deadlines = deadlines
        self.client_server = client_server
        self.router = router
        self.commands: dict[str, Callable[[], bytes]] = {"check": self._check, "vars": self._vars}
        self.connections: SlotTable[Connection] = SlotTable()
        self.monitor = router.connection_monitor._replace(kind=ConnectionKind.OPERATOR)
        self.sessions: dict[int, AdminConnection] = {}  # by the number of the connection, oldest first
        self.listener = Listener(loop, deadlines, self._make_connection, self._may_accept)

    def execute(self, command: str) -> bytes:
        """Return the reply to a command, which is an error reply if it is unknown or has failed."""
        execute = self.commands.get(command)
        if execute is None:
            return admin.error_reply("expected one of " + ", ".join(self.commands))
        try:
            return execute()
        except Exception:  # an error in a report must not affect the clients' requests
            log_line(f"an admin command failed: {traceback.format_exc()}")
            return admin.error_reply("a fault of ours")

    def remove_session(self, session: AdminConnection) -> None:
        """Remove a session that has ended or is about to be closed."""
        self.sessions.pop(session.connection.number, None)

    # ---- Commands ----

    def _check(self) -> bytes:
        if self.client_server.is_marked_not_ready:
            return admin.error_reply("leaving")
        if self.client_server.listener.socket is None:
            return admin.error_reply("not listening yet")
        if not self.router.dispatcher.listed_workers():
            return admin.error_reply("no list of workers")
        return admin.ok_reply("ready")

    def _vars(self) -> bytes:
        return admin.counters_reply(self._lines())

    def _lines(self) -> Iterator[str]:
        dispatcher, counters = self.router.dispatcher, self.router.counters
        listed = dispatcher.listed_workers()
        out_of_rotation = sum(dispatcher.is_out_of_rotation(worker) for worker in listed)
        yield from counters.operations()
        yield admin.counter_line("open_requests", self.router.requests.open_count())
        yield admin.counter_line("registry_entries", len(listed))
        yield admin.counter_line("out_of_rotation", out_of_rotation)
        yield admin.counter_line("cfg_accepted", counters.configs_accepted)
        yield admin.counter_line("cfg_invalid", counters.configs_invalid)
        yield from self.router.endpoints.journal.metric_lines()
        yield admin.counter_line("endpoint_list_expirations", dispatcher.list_expirations())
        yield from self.router.request_journal.metric_lines()
        yield from resource_metric_lines(self.monitor)

    # ---- Limit on connections ----

    def _make_connection(self) -> Connection:
        return Connection(self.connections, self._on_accepted, monitor=self.monitor)

    def _on_accepted(self, connection: Connection) -> None:
        self.sessions[connection.number] = AdminConnection(self, connection)

    def _may_accept(self, pending_count: int) -> bool:
        """Return whether to accept one more connection.

        At the limit the oldest session without a complete command is closed, unless it is very new.
        """
        if len(self.sessions) + pending_count < MAX_SESSIONS:
            return True
        oldest = next((session for session in self.sessions.values() if not session.is_answered), None)
        if oldest is None or self.deadlines.now() - oldest.began_at < EVICTION_MIN_AGE:
            return False
        self.remove_session(oldest)
        oldest.abort()
        return True
