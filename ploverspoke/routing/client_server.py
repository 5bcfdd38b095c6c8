"""The server for clients: accepts their connections, and evicts idle ones at the connection limit."""

import asyncio
from collections import OrderedDict

from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.listener import EVICTION_MIN_AGE, Listener
from ploverspoke.transport.loop_meter import ConnectionKind
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.slot_table import SlotTable
from ploverspoke.transport.turn_queue import TurnQueue

from .client_session import ClientSession
from .close_reasons import CloseReason
from .router import Router

# Beyond the limit on sessions, one more is accepted for every seven, only to reject its request.
SESSIONS_WITH_EXCESS, SESSIONS_WITHOUT_EXCESS = 8, 7
MAX_LOOKS_PER_ACCEPT = 32  # at sessions that might be idle


class ClientServer:
    """Owns the listening socket for clients and their sessions."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        router: Router,
        max_sessions: int,
    ) -> None:
        """`max_sessions` limits the connections whose requests are not rejected."""
        self.loop = loop
        self.deadlines = deadlines
        self.router = router
        self.max_sessions = max_sessions
        self.turns = TurnQueue(loop)
        self.monitor = router.connection_monitor._replace(kind=ConnectionKind.CLIENT)
        self.holding: OrderedDict[ClientSession, None] = OrderedDict()  # memory; for the longest time first
        self.connections: SlotTable[Connection] = SlotTable()
        self.sessions: dict[int, ClientSession] = {}  # by connection number, oldest first
        self.unserved: dict[int, ClientSession] = {}  # sessions without an admitted request, oldest first
        self.answered: OrderedDict[int, ClientSession] = OrderedDict()  # latest answer last; may be busy
        self.is_making_room = False  # in memory
        self.is_marked_not_ready = False  # not ready for new clients
        self.is_handing_over = False  # other processes accept new connections
        self.is_accepting_stopped = False  # no more connections are accepted
        self.listener = Listener(loop, deadlines, self._make_connection, self._may_accept)

    def is_empty(self) -> bool:
        """Whether there is no session and none is being set up."""
        return not self.sessions and not self.listener.setup_tasks and not self.listener.is_finishing

    def remove_session(self, session: ClientSession) -> None:
        """Remove a session that has ended or is about to end."""
        self.sessions.pop(session.connection.number, None)
        self.unserved.pop(session.connection.number, None)
        self.answered.pop(session.connection.number, None)
        if session.is_closing:
            self.turns.remove(session)
            self.holding.pop(session, None)

    # ---- Memory ----

    def note_memory(self, session: ClientSession, is_holding: bool) -> None:
        """Record whether the session holds memory, and make room if there is no more for clients."""
        if is_holding:
            self.holding.setdefault(session)
        else:
            self.holding.pop(session, None)
        self.make_room()

    def make_room(self) -> None:
        """Let the sessions that have held memory longest give it up, while the limit is reached."""
        if self.is_making_room:
            return  # a session that gives up its memory notes that, too
        self.is_making_room = True
        while self.holding and self.monitor.memory.is_full_for_clients():
            # A usual client's request comes whole within milliseconds: the oldest belongs to a slow client.
            oldest, _ = self.holding.popitem(last=False)
            oldest.give_up_memory()
        self.is_making_room = False

    # ---- Shutdown ----

    def mark_not_ready(self, hand_over: bool = False) -> None:
        """Report that this process is not ready for new clients; further requests are still served.

        With `hand_over`, another process shares the listening socket: it is closed here, and each connection
        is closed after its next response, so that the client reconnects to the other process.
        """
        self.is_marked_not_ready = True
        if hand_over:
            self.is_handing_over = True
            self.listener.close()

    def stop_accepting(self) -> None:
        """Accept no more connections, and close each existing one once it is between two requests."""
        if self.is_accepting_stopped:
            return
        self.is_accepting_stopped = True
        self.listener.finish()
        for session in self.sessions.values():
            session.close_if_idle()

    # ---- Limit on connections ----

    def _make_connection(self) -> Connection:
        return Connection(self.connections, self._on_accepted, monitor=self.monitor)

    def _on_accepted(self, connection: Connection) -> None:
        session = ClientSession(self, connection)
        self.sessions[connection.number] = self.unserved[connection.number] = session
        if len(self.sessions) > self.max_sessions:
            log_line(f"{len(self.sessions)} client connections and none idle: rejecting the newest")
            session.is_excess = True
        self.make_room()

    def _may_accept(self, pending_count: int) -> bool:
        """Whether to accept one more connection, even if only to reject its request; else it must wait."""
        session_count = len(self.sessions) + pending_count
        if session_count < self.max_sessions or self._evict_one():
            return True
        return (
            self._oldest_unserved() is None
            and session_count < self.max_sessions * SESSIONS_WITH_EXCESS // SESSIONS_WITHOUT_EXCESS
        )

    def _evict_one(self) -> bool:
        """Close the oldest session that has sent no request for a while, or else the longest idle one.

        Returns whether a session was closed.
        """
        session = self._oldest_unserved()
        if session is None:
            session = self._longest_idle()
        elif not self._may_evict_unserved(session):
            return False
        if session is None:
            return False
        self.remove_session(session)
        session.close_when_sent(CloseReason.EVICTED)
        return True

    def _oldest_unserved(self) -> ClientSession | None:
        return next((session for session in self.unserved.values() if not session.is_answering), None)

    def _may_evict_unserved(self, session: ClientSession) -> bool:
        """Whether the client had time to send a request; on a busy event loop one may still be unread."""
        age = self.deadlines.now() - session.idle_since
        has_input = session.input.has_work() or session.connection.has_unread_data()
        return age >= EVICTION_MIN_AGE and not has_input

    def note_answered(self, session: ClientSession) -> None:
        """Record that the client has received all that it asked for, so that the session may be idle."""
        if session.connection.number in self.sessions:
            self.answered[session.connection.number] = session
            self.answered.move_to_end(session.connection.number)

    def _longest_idle(self) -> ClientSession | None:
        """The idle session with the earliest answer among the first few, None if there is none."""
        for _ in range(min(MAX_LOOKS_PER_ACCEPT, len(self.answered))):
            number, session = next(iter(self.answered.items()))
            self.answered.move_to_end(number)
            if session.was_served and session.is_idle() and not session.connection.has_unread_data():
                return session
        return None
