"""The door to clients: takes their connections, reads one request after the other, gives the answers."""

import asyncio
import traceback
from collections import deque

from ploverspoke.protocol import clients
from ploverspoke.protocol.heads import Garbled
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadline, Deadlines
from ploverspoke.transport.log_lines import say
from ploverspoke.transport.slots import SlotTable
from ploverspoke.transport.units import SECOND

from .router import Router
from .submissions import Submission

SLOW_CLIENT = 10 * SECOND  # for a request to come whole, or an answer to be read
LINGER = SECOND  # for a client to read why it was turned away
MOST_AHEAD = 64 * 1024  # bytes that a client may send ahead of its answer
BACKLOG = 512


class ClientSession:
    """One client's connection."""

    def __init__(self, door: "Door", connection: Connection) -> None:
        self.door = door
        self.connection = connection
        self.reader = clients.RequestReader(self)
        self.waiting: deque[tuple[str, str, dict[str, str], bytes, bool]] = deque()
        self.submission: Submission | None = None
        self.answering = False  # a request is being handled
        self.keep = True
        self.closing = False
        self.failure: Garbled | None = None  # of the reader; told when all before it is answered
        self.idle_since = door.deadlines.now()
        self.late: Deadline | None = None
        door.sessions[connection.number] = self
        connection.user = self

    def is_idle(self) -> bool:
        busy = self.answering or self.waiting or self.closing or self.reader.inside
        return not busy and not len(self.connection.buffer) and not self.connection.unsent

    # ---- The connection ----

    def bytes_came(self) -> None:
        if self.closing:
            buffer = self.connection.buffer
            buffer.read(len(buffer))
        elif self.answering or self.connection.unsent:
            if len(self.connection.buffer) > MOST_AHEAD:
                self.connection.hold_reading(True)
        else:
            self._read_on()

    def connection_ended(self) -> None:
        del self.door.sessions[self.connection.number]
        self.door.deadlines.call_off(self.late)
        self.closing = True
        self.waiting.clear()
        submission, self.submission = self.submission, None
        if submission is not None:
            self.door.router.client_left(submission)

    def all_written(self) -> None:
        if not self.answering and not self.closing:
            self._read_on()

    # ---- Requests ----

    def request_came(
        self, method: str, target: str, headers: dict[str, str], body: bytes, keep_alive: bool
    ) -> None:
        self.waiting.append((method, target, headers, body, keep_alive))

    def body_awaited(self) -> None:
        if not self.answering and not self.waiting:
            self.connection.write(clients.CONTINUE)

    def _read_on(self) -> None:
        """Read and handle requests until one has to be waited for or nothing is left."""
        self.connection.hold_reading(False)
        while not self.answering and not self.closing and not self.connection.unsent:
            if self.waiting:
                self.answering = True
                self._handle(*self.waiting.popleft())
            elif self.failure is not None:
                self.keep = False
                too_long = isinstance(self.failure, clients.TooLong)
                self._answer(413 if too_long else 400, str(self.failure).encode())
            elif len(self.connection.buffer):
                self._feed()
            else:
                break
        self._watch_pace()

    def _feed(self) -> None:
        try:
            self.connection.feed(self.reader)
        except Garbled as error:
            self.failure = error

    def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes, keep_alive: bool
    ) -> None:
        self.keep = keep_alive
        if target.startswith("/-/"):
            self._answer_about_us(method, target)
            return
        try:
            if clients.grade_name(target) not in self.door.router.grades:
                self._answer(404, b"no such service grade")
            elif method != "POST":
                self._answer(405, b"submissions come by POST")
            elif self.door.is_crowded():
                self.nacked(0)
            else:
                submission = self.door.router.take(self, method, target, headers, body)
                if submission is None:
                    self.nacked(0)
                elif submission.client is not None:
                    self.submission = submission
        except Garbled as error:
            self._answer(400, str(error).encode())
        except Exception:
            say(f"a request could not be taken: {traceback.format_exc()}")
            self._answer(500, b"a fault of ours")

    def _answer_about_us(self, method: str, target: str) -> None:
        if target.partition("?")[0] not in ("/-/ready", "/-/healthy"):
            self._answer(404, b"not found")
        elif method != "GET":
            self._answer(405, b"ask by GET")
        elif self.door.leaving:
            self._answer(503, b"leaving")
        else:
            self._answer(200, b"ready")

    # ---- Answers ----

    def satisfied(self, result: str) -> None:
        self._answer(200, result.encode("utf-8", "surrogatepass"))

    def nacked(self, come_back_after: int) -> None:
        self._answer(503, b"nacked", come_back_after)

    def abandoned(self) -> None:
        self._answer(504, b"abandoned")

    def rejected(self) -> None:
        self._answer(400, b"no worker can use it")

    def _answer(self, status: int, body: bytes, come_back_after: int = 0) -> None:
        self.answering = False
        self.submission = None
        # Who sends what cannot be used is done with: else the same comes again, as fast as it can be sent.
        keep = self.keep and not 400 <= status < 500 and not self.door.is_shut and not self.door.is_crowded()
        self.connection.write(clients.answer(status, body, keep, come_back_after))
        self.idle_since = self.door.deadlines.now()
        if not keep:
            self._close()
        else:
            # What the client has sent in the meantime is read in a turn of its own.
            self.door.loop.call_soon(self._read_on_later)
        self._watch_pace()

    def _read_on_later(self) -> None:
        if not self.answering and not self.closing and self.connection.open:
            self._read_on()

    def _close(self) -> None:
        """Close it so that the answer arrives even if more was sent than we have read."""
        self.closing = True
        self.waiting.clear()
        buffer = self.connection.buffer
        buffer.read(len(buffer))
        self.connection.finish()
        self.door.deadlines.call_off(self.late)
        self.late = self.door.deadlines.at(self.door.deadlines.now() + LINGER, self.connection.abort)

    def leave(self) -> None:
        """Close it between two requests."""
        if self.is_idle():
            self.closing = True
            self.connection.close()

    def _watch_pace(self) -> None:
        """A client that neither sends its request whole nor reads its answer is not waited for forever."""
        if self.closing:
            return
        slow = self.connection.unsent or (self.reader.inside and not self.answering)
        if not slow:
            self.door.deadlines.call_off(self.late)
            self.late = None
        elif self.late is None:
            self.late = self.door.deadlines.at(self.door.deadlines.now() + SLOW_CLIENT, self._too_slow)

    def _too_slow(self) -> None:
        if self.connection.unsent:
            self.connection.abort()
        elif not self.answering:
            self.keep = False
            self._answer(408, b"the request did not come whole")


class Door:
    def __init__(
        self, loop: asyncio.AbstractEventLoop, deadlines: Deadlines, router: Router, most_sessions: int
    ) -> None:
        self.loop = loop
        self.deadlines = deadlines
        self.router = router
        self.most_sessions = most_sessions
        self.connections: SlotTable[Connection] = SlotTable()
        self.sessions: dict[int, ClientSession] = {}  # by their connection's number
        self.leaving = False
        self.is_shut = False
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        self.server = await self.loop.create_server(
            lambda: Connection(self.connections, self._came), host, port, backlog=BACKLOG, reuse_address=True
        )

    def is_crowded(self) -> bool:
        return len(self.sessions) > self.most_sessions

    def _came(self, connection: Connection) -> None:
        newest = ClientSession(self, connection)
        if self.is_crowded():
            idle = (s for s in self.sessions.values() if s.is_idle() and s is not newest)
            longest = min(idle, key=lambda s: s.idle_since, default=None)
            if longest is None:
                say(f"{len(self.sessions)} client connections and none idle: answering with nacks")
            else:
                longest.leave()

    def leave(self) -> None:
        """Say that we are not ready for new clients; what comes is still taken."""
        self.leaving = True

    def shut(self) -> None:
        """Take no more connections, and close each as soon as it stands between requests."""
        if self.is_shut:
            return
        self.is_shut = True
        if self.server is not None:
            self.server.close()
        for session in self.sessions.values():
            session.leave()

    def is_empty(self) -> bool:
        return not self.sessions
