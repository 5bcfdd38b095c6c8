"""The door to clients: takes their connections, reads one request after the other, gives the answers."""

import asyncio
import traceback
from collections import deque

from ploverspoke.protocol import clients
from ploverspoke.protocol.errors import HttpSyntaxError, MessageTooLongError
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadline, Deadlines
from ploverspoke.transport.listener import FIRST_BYTES_WITHIN, Listener
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.slot_table import SlotTable
from ploverspoke.transport.units import MILLISECOND, SECOND

from .answers import FinalAnswer
from .requests import Request
from .router import Router

SLOW_REQUEST = 2500 * MILLISECOND  # for one to come whole, the first from the connecting on
SLOW_READER = 10 * SECOND  # for an answer to be read
LINGER = SECOND  # for a client to read why it was turned away
NO_LEADER = 200 * MILLISECOND  # when to come back where no replica leads
# What a client sends ahead of its answer is read, since its leaving comes behind it.
FREE_AHEAD = 64 * 1024  # bytes that are not weighed
MOST_AHEAD = 256 * 1024  # that are kept; who sends more is closed with the answer that it waits for
MOST_THROWN_AWAY = 8 * 1024 * 1024  # of those beyond; then it has to wait

ANSWERS = {  # status and body of those that carry no result
    FinalAnswer.REJECTED: (503, b"nacked"),
    FinalAnswer.FAILED: (504, b"abandoned"),
    FinalAnswer.INVALID_REQUEST: (400, b"no worker can use it"),
}


class ClientSession:
    """One client's connection."""

    def __init__(self, door: "ClientServer", connection: Connection) -> None:
        self.door = door
        self.connection = connection
        self.reader = clients.RequestReader(self)
        self.waiting: deque[clients.HttpRequest] = deque()
        self.submission: Request | None = None
        self.answering = False  # a request is being handled
        self.keep = True
        self.closing = False
        self.failure: HttpSyntaxError | None = None  # of the reader; told when all before it is answered
        self.thrown_away = 0  # bytes beyond what may be sent ahead
        self.held = 0  # bytes of requests, read and not yet taken
        self.served = False  # a submission of its was taken
        self.unwelcome = False  # beyond what we have room for
        self.idle_since = door.deadlines.now()
        self.late: Deadline | None = None
        door.sessions[connection.number] = self
        door.unserved[connection.number] = self
        connection.user = self
        self._watch_pace()

    def is_idle(self) -> bool:
        busy = self.answering or self.waiting or self.closing or self.reader.in_message
        return not busy and not len(self.connection.buffer) and not self.connection.has_unsent_data

    # ---- The connection ----

    def on_data_available(self) -> None:
        if self.closing:
            buffer = self.connection.buffer
            buffer.consume(len(buffer))
        elif self.answering or self.connection.has_unsent_data:
            self._keep_ahead()
        else:
            self._read_on()

    def on_disconnected(self) -> None:
        self.door.forget(self)
        self.door.held -= self.held
        self.held = 0
        self.door.deadlines.cancel(self.late)
        self.closing = True
        self.waiting.clear()
        submission, self.submission = self.submission, None
        if submission is not None:
            self.door.router.client_disconnected(submission, self)

    def _keep_ahead(self) -> None:
        self._weigh()
        buffer = self.connection.buffer
        ahead = len(buffer)
        most = FREE_AHEAD if self.door.is_full() else MOST_AHEAD
        if self.thrown_away or ahead > most:
            buffer.consume(ahead)
            self.thrown_away += ahead
            self._weigh()
            if self.thrown_away > MOST_THROWN_AWAY:
                self.connection.set_reading_paused(True)

    def on_write_drained(self) -> None:
        if not self.answering and not self.closing:
            self._read_on()

    # ---- Requests ----

    def on_request(self, request: clients.HttpRequest) -> None:
        self.waiting.append(request)

    def on_request_head(self, method: str, target: str, headers: dict[str, str]) -> None:
        if not target.startswith("/-/"):
            self.door.router.check(method, target, headers)

    def on_continue_expected(self) -> None:
        if not self.answering and not self.waiting:
            self.connection.write(clients.CONTINUE_RESPONSE)

    def _read_on(self) -> None:
        """Read and handle requests until one has to be waited for or nothing is left."""
        self.connection.set_reading_paused(False)
        while not self.answering and not self.closing and not self.connection.has_unsent_data:
            if self.thrown_away:
                self._close()  # what came next is gone
            elif self.waiting:
                self.answering = True
                self._handle(*self.waiting.popleft())
            elif self.failure is not None:
                self._answer(self.failure.status, str(self.failure).encode())
            elif len(self.connection.buffer):
                self._feed()
            else:
                break
        self._watch_pace()

    def _feed(self) -> None:
        try:
            self.connection.feed(self.reader)
        except HttpSyntaxError as error:
            self.failure = error
        self._weigh()
        if self.door.is_full():
            for request in self.waiting:
                self.door.router.turned_away(request.target)
            if self.reader.in_message and not self.reader.in_head:
                self.door.router.turned_away(self.reader.target.decode("latin-1"))
            self.waiting.clear()
            self.keep = False
            self.answer(FinalAnswer.REJECTED)

    def _weigh(self) -> None:
        held = len(self.reader.body) if self.reader.in_message else 0
        held += sum(len(request.body) for request in self.waiting)
        held += max(0, len(self.connection.buffer) - FREE_AHEAD)
        self.door.held += held - self.held
        self.held = held

    def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes, keep_alive: bool
    ) -> None:
        self.keep = keep_alive and not self.unwelcome
        self._weigh()
        if target.startswith("/-/"):
            self._answer_about_us(method, target)
            return
        elsewhere = self.door.router.elsewhere()
        if elsewhere is not None:
            self._send_on(elsewhere, target)
            return
        try:
            if self.unwelcome:
                self.door.router.turned_away(target)
                submission = None
            else:
                submission = self.door.router.take(self, method, target, headers, body)
            if submission is None:
                self.answer(FinalAnswer.REJECTED)
            else:
                # Who only asks whether we are ready is not served: hundreds did, and pushed others out.
                self.served = True
                self.door.unserved.pop(self.connection.number, None)
                if self.answering:
                    self.submission = submission
        except HttpSyntaxError as error:
            self._answer(error.status, str(error).encode())
        except Exception:
            log_line(f"a request could not be taken: {traceback.format_exc()}")
            self._answer(500, b"a fault of ours")

    def _send_on(self, address: str, target: str) -> None:
        """Another replica leads; where none is known to, it soon will be."""
        if address:
            self._answer(307, b"another replica leads", location=f"http://{address}{target}")
        else:
            self._answer(503, b"no replica leads", NO_LEADER)

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

    def answer(self, answer: FinalAnswer, result: str = "", retry_after: int = 0) -> None:
        """Write the final answer of the request in hand."""
        if answer is FinalAnswer.SUCCEEDED:
            self._answer(200, result.encode("utf-8", "surrogatepass"))
        else:
            status, body = ANSWERS[answer]
            self._answer(status, body, retry_after)

    def has_disconnected(self) -> bool:
        left = self.connection.is_closed_by_peer()
        if left:
            # Where reading is held, or the loop has not come round, its end would be heard too late or never.
            self.connection.abort()
        return left

    def disconnect(self) -> None:
        self.answering = False
        self.submission = None
        self.hang_up()

    def _answer(self, status: int, body: bytes, come_back_after: int = 0, location: str = "") -> None:
        self.answering = False
        self.submission = None
        # Who sends what cannot be used is done with: else the same comes again, as fast as it can be sent.
        refused = 400 <= status < 500
        ending = self.door.is_shut or self.door.handing_over or self.thrown_away > 0
        keep = self.keep and not refused and not ending
        self.connection.write(clients.encode_response(status, body, keep, come_back_after, location))
        self.idle_since = self.door.deadlines.now()
        if not keep:
            self._close()
        else:
            # What the client has sent in the meantime is read in a turn of its own.
            self.door.loop.call_soon(self._read_on_later)
        self._watch_pace()

    def _read_on_later(self) -> None:
        if not self.answering and not self.closing and self.connection.is_open:
            self._read_on()

    def _close(self) -> None:
        """Close it so that the answer arrives even if more was sent than we have read."""
        self.closing = True
        self.waiting.clear()
        buffer = self.connection.buffer
        buffer.consume(len(buffer))
        if isinstance(self.failure, MessageTooLongError):
            self.connection.set_reading_paused(True)  # it may have much more to send
        self.connection.shut_down_writing()
        self.door.deadlines.cancel(self.late)
        self.late = self.door.deadlines.schedule(self.door.deadlines.now() + LINGER, self.connection.abort)

    def leave(self) -> None:
        """Close it between two requests; one that waits in the kernel is read first, and answered."""
        if self.is_idle() and not self.connection.has_unread_data():
            self.hang_up()

    def hang_up(self) -> None:
        self.closing = True
        self.connection.close()

    def _watch_pace(self) -> None:
        """A client that neither sends its request whole nor reads its answer is not waited for forever."""
        if self.closing:
            return
        awaited = (self.reader.in_message or not self.served) and not self.answering
        if not awaited and not self.connection.has_unsent_data:
            self.door.deadlines.cancel(self.late)
            self.late = None
        elif self.late is None:
            # Set once: what comes in drips renews nothing.
            span = SLOW_REQUEST if awaited else SLOW_READER
            self.late = self.door.deadlines.schedule(self.door.deadlines.now() + span, self._too_slow)

    def _too_slow(self) -> None:
        if self.connection.has_unsent_data or not self.reader.in_message:
            self.connection.abort()
        elif not self.answering:
            self._answer(408, b"the request did not come whole")


class ClientServer:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        router: Router,
        most_sessions: int,
        most_buffered: int,
    ) -> None:
        self.loop = loop
        self.deadlines = deadlines
        self.router = router
        self.most_sessions = most_sessions
        self.most_buffered = most_buffered
        self.held = 0  # bytes of requests that are not yet taken
        self.connections: SlotTable[Connection] = SlotTable()
        self.sessions: dict[int, ClientSession] = {}  # by their connection's number
        self.unserved: dict[int, ClientSession] = {}  # those that nothing good came from yet, oldest first
        self.leaving = False
        self.handing_over = False  # other processes take what comes next
        self.is_shut = False
        self.listener = Listener(
            loop, deadlines, lambda: Connection(self.connections, self._came), self._has_room
        )

    def _has_room(self, coming: int) -> bool:
        """Room to take one more, be it to tell it that there is none; else it waits to be taken."""
        held = len(self.sessions) + coming
        if held < self.most_sessions or self._make_room():
            return True
        return self._oldest_unserved() is None and held < self.most_sessions * 8 // 7

    def _oldest_unserved(self) -> ClientSession | None:
        return next((s for s in self.unserved.values() if not s.answering), None)

    def _make_room(self) -> bool:
        """Those that said nothing for a while make way first, the oldest before others; then idle ones."""
        found = self._oldest_unserved()
        if found is None:
            idle = sorted(
                (s for s in self.sessions.values() if s.served and s.is_idle()), key=lambda s: s.idle_since
            )
            found = next((s for s in idle if not s.connection.has_unread_data()), None)
        elif (
            self.deadlines.now() - found.idle_since < FIRST_BYTES_WITHIN or found.connection.has_unread_data()
        ):
            return False  # what it said may be unread where the loop was busy
        if found is None:
            return False
        self.forget(found)
        found.hang_up()
        return True

    def forget(self, session: ClientSession) -> None:
        self.sessions.pop(session.connection.number, None)
        self.unserved.pop(session.connection.number, None)

    def is_full(self) -> bool:
        return self.held + self.router.body_bytes > self.most_buffered

    def _came(self, connection: Connection) -> None:
        newest = ClientSession(self, connection)
        if len(self.sessions) > self.most_sessions:
            log_line(f"{len(self.sessions)} client connections and none idle: turning the newest away")
            newest.unwelcome = True

    def leave(self, handing_over: bool = False) -> None:
        """Say that we are not ready for new clients; what comes is still taken, if not by another process.

        Then the socket is closed here and goes on there, and each answer sends its client over.
        """
        self.leaving = True
        if handing_over:
            self.handing_over = True
            self.listener.close()

    def shut(self) -> None:
        """Take no more connections, and close each as soon as it stands between requests."""
        if self.is_shut:
            return
        self.is_shut = True
        self.listener.accept_backlog()
        self.listener.close()
        for session in self.sessions.values():
            session.leave()

    def is_empty(self) -> bool:
        return not self.sessions and not self.listener.setup_tasks
