"""The operators' door: its callers, and the answers, read from the state itself when asked."""

import asyncio
import traceback
from collections.abc import Callable, Iterator

from ploverspoke.protocol import admin
from ploverspoke.protocol.errors import AdminCommandError
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.listener import FIRST_BYTES_WITHIN, Listener
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.slot_table import SlotTable
from ploverspoke.transport.units import SECOND

from .client_server import ClientServer
from .router import Router

MOST_CALLERS = 16  # of the descriptors that transport/resource_limits.py keeps back
CALL_WITHIN = 2 * SECOND  # for the line to come whole, and for the answer to be read


class AdminConnection:
    """One connection of the door: one line, one answer, the end."""

    def __init__(self, door: "AdminServer", connection: Connection) -> None:
        self.door = door
        self.connection = connection
        self.reader = admin.AdminCommandReader()
        self.since = door.deadlines.now()
        self.answered = False
        self.late = door.deadlines.schedule(self.since + CALL_WITHIN, self._too_slow)
        connection.user = self
        door.callers[connection.number] = self

    def on_data_available(self) -> None:
        if self.answered:
            self.connection.buffer.consume(len(self.connection.buffer))
            return
        data = self.connection.buffer.unread()
        try:
            call = self.reader.feed(data)
        except AdminCommandError as error:
            self._answer(admin.error_reply(str(error)))
            return
        finally:
            self.connection.buffer.consume(len(data))
            data.release()
        if call is not None:
            self._answer(self.door.answer(call))

    def _answer(self, said: bytes) -> None:
        self.answered = True
        self.connection.write(said)
        self.connection.close()

    def _too_slow(self) -> None:
        if self.answered:
            self.connection.abort()
        else:
            self._answer(admin.error_reply("no whole line came"))
            self.late = self.door.deadlines.schedule(self.door.deadlines.now() + CALL_WITHIN, self._too_slow)

    def on_disconnected(self) -> None:
        self.door.deadlines.cancel(self.late)
        self.door.callers.pop(self.connection.number, None)

    def on_write_drained(self) -> None:
        pass


class AdminServer:
    def __init__(
        self, loop: asyncio.AbstractEventLoop, deadlines: Deadlines, door: ClientServer, router: Router
    ) -> None:
        self.deadlines = deadlines
        self.door = door
        self.router = router
        self.calls: dict[str, Callable[[], bytes]] = {
            "check": self._check,
            "vars": lambda: admin.counters_reply(self._figures()),
        }
        self.connections: SlotTable[Connection] = SlotTable()
        self.callers: dict[int, AdminConnection] = {}  # by their connection's number, oldest first
        self.listener = Listener(
            loop, deadlines, lambda: Connection(self.connections, self._came), self._has_room
        )

    def answer(self, call: str) -> bytes:
        answer = self.calls.get(call)
        if answer is None:
            return admin.error_reply("expected one of " + ", ".join(self.calls))
        try:
            return answer()
        except Exception:
            log_line(f"a call at the operators' door failed: {traceback.format_exc()}")
            return admin.error_reply("a fault of ours")

    def _check(self) -> bytes:
        if self.door.leaving:
            return admin.error_reply("leaving")
        if self.door.listener.socket is None:
            return admin.error_reply("not listening yet")
        if not self.router.dispatcher.listed_workers():
            return admin.error_reply("no list of workers")
        return admin.ok_reply("ready")

    def _figures(self) -> Iterator[str]:
        dispatcher, counters = self.router.dispatcher, self.router.counters
        listed = dispatcher.listed_workers()
        yield from counters.operations()
        yield admin.counter_line("open_requests", self.router.open_now())
        yield admin.counter_line("registry_entries", len(listed))
        yield admin.counter_line("out_of_rotation", sum(dispatcher.is_out_of_rotation(w) for w in listed))
        yield admin.counter_line("cfg_accepted", counters.configs_accepted)
        yield admin.counter_line("cfg_invalid", counters.configs_invalid)

    def _came(self, connection: Connection) -> None:
        AdminConnection(self, connection)

    def _has_room(self, coming: int) -> bool:
        """Who has said nothing for a while makes way first; nobody's answer waits for the silent ones."""
        if len(self.callers) + coming < MOST_CALLERS:
            return True
        oldest = next((c for c in self.callers.values() if not c.answered), None)
        if oldest is None or self.deadlines.now() - oldest.since < FIRST_BYTES_WITHIN:
            return False
        del self.callers[oldest.connection.number]
        oldest.connection.abort()
        return True
