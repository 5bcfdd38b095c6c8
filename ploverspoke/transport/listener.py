"""Accepts connections at one address, a few in each turn of the event loop."""

import asyncio
import socket
from collections.abc import Callable

from .connections import Connection
from .deadlines import Deadlines
from .rate_limited_log import log_line
from .units import MILLISECOND

BACKLOG = 512
ACCEPTS_PER_TURN = 8  # their first bytes are read before more are accepted: a flood would evict its own
FIRST_BYTES_WITHIN = 20 * MILLISECOND  # a new connection that sent nothing for so long may be evicted
RETRY_AFTER = 10 * MILLISECOND  # when there is no room for one more


class Listener:
    """Owner of a listening socket."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        make_connection: Callable[[], Connection],
        has_room: Callable[[int], bool],
    ) -> None:
        """`has_room` is given the number of accepted connections that are not set up yet."""
        self.loop = loop
        self.deadlines = deadlines
        self.make_connection = make_connection
        self.has_room = has_room
        self.socket: socket.socket | None = None
        self.setup_tasks: set[asyncio.Task[None]] = set()

    def open(self, host: str, port: int) -> None:
        """Listen at an address. Raises OSError where that is not possible."""
        listening = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.setblocking(False)
            listening.bind((host, port))
            listening.listen(BACKLOG)
        except OSError:
            listening.close()
            raise
        self.adopt(listening)

    def adopt(self, listening: socket.socket) -> None:
        """Accept from a socket that listens already; other processes may accept from it too."""
        self.socket = listening
        self.loop.add_reader(listening, self._accept_some)

    def close(self) -> None:
        """Close the listening socket; accepted connections stay open."""
        listening, self.socket = self.socket, None
        if listening is not None:
            self.loop.remove_reader(listening)
            listening.close()

    def accept_backlog(self) -> None:
        """Accept what waits in the kernel's queue: `close` would reset it."""
        self._accept_some(BACKLOG)

    def _accept_some(self, limit: int = ACCEPTS_PER_TURN) -> None:
        for _ in range(limit):
            if self.socket is None:
                return
            if not self.has_room(len(self.setup_tasks)):
                self._pause(self.socket)
                return
            try:
                accepted, _ = self.socket.accept()
            except ConnectionAbortedError:
                continue
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                log_line(f"a connection could not be accepted: {error.strerror}")
                self._pause(self.socket)
                return
            task = self.loop.create_task(self._set_up(accepted))
            self.setup_tasks.add(task)
            task.add_done_callback(self.setup_tasks.discard)

    async def _set_up(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.make_connection, accepted)
        except OSError:
            # The client has gone already: there is nobody to report it to.
            accepted.close()

    def _pause(self, listening: socket.socket) -> None:
        """Leave new connections in the kernel's queue for a while."""
        self.loop.remove_reader(listening)
        self.deadlines.schedule(self.deadlines.now() + RETRY_AFTER, self._resume)

    def _resume(self) -> None:
        if self.socket is not None:
            self.loop.add_reader(self.socket, self._accept_some)
