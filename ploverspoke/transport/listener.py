"""Accepts connections at one address, a few in each turn of the event loop."""

import asyncio
import errno
import socket
from collections.abc import Callable
from functools import partial

from .connections import Connection
from .deadlines import Deadlines
from .rate_limited_log import log_line
from .units import MILLISECOND, SECOND

BACKLOG = 512
ACCEPTS_PER_TURN = 8  # their first bytes are read before more are accepted: a flood would evict its own
FIRST_BYTES_WITHIN = 20 * MILLISECOND  # a new connection that sent nothing for so long may be evicted
RETRY_AFTER = 10 * MILLISECOND  # when there is no capacity for one more
FINISH_TRIES = 20  # to accept what waits before the socket is closed
SETUP_TRIES = 5  # to hand a connection to the event loop
MOMENTARY_ERRORS = frozenset(
    {errno.EINTR, errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)


class Listener:
    """Owner of a listening socket."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        make_connection: Callable[[], Connection],
        has_capacity: Callable[[int], bool],
    ) -> None:
        """`has_capacity` is given the number of accepted connections that are not set up yet."""
        self.loop = loop
        self.deadlines = deadlines
        self.make_connection = make_connection
        self.has_capacity = has_capacity
        self.socket: socket.socket | None = None
        self.is_finishing = False
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

    def finish(self) -> None:
        """Accept what waits in the kernel's queue, which a close would reset, then close."""
        if self.socket is not None and not self.is_finishing:
            self.is_finishing = True
            self._accept_rest(FINISH_TRIES)

    def _accept_rest(self, tries_left: int) -> None:
        """Accept until nothing waits; what keeps that from happening may last a moment only."""
        if self._accept_some(BACKLOG) or not tries_left:
            self.is_finishing = False
            self.close()
            return
        retry_at = self.deadlines.now() + RETRY_AFTER
        self.deadlines.schedule(retry_at, partial(self._accept_rest, tries_left - 1))

    def _accept_some(self, limit: int = ACCEPTS_PER_TURN) -> bool:
        """Accept so many connections; returns whether none waits any more."""
        for _ in range(limit):
            if self.socket is None:
                return True
            if not self.has_capacity(len(self.setup_tasks)):
                self._pause(self.socket)
                return False
            try:
                accepted, _ = self.socket.accept()
            except (ConnectionAbortedError, InterruptedError):
                continue
            except BlockingIOError:
                return True
            except OSError as error:
                log_line(f"a connection could not be accepted: {error.strerror}")
                self._pause(self.socket)
                return False
            task = self.loop.create_task(self._set_up(accepted))
            self.setup_tasks.add(task)
            task.add_done_callback(self.setup_tasks.discard)
        return False

    async def _set_up(self, accepted: socket.socket) -> None:
        """Set up an accepted connection on the event loop; it may hold a request already."""
        failure: OSError | None = None
        for _ in range(SETUP_TRIES):
            try:
                await self.loop.connect_accepted_socket(self.make_connection, accepted)
            except OSError as error:
                failure = error
                if error.errno not in MOMENTARY_ERRORS:
                    break
                await asyncio.sleep(RETRY_AFTER / SECOND)
            else:
                return
        # In most cases the client has gone already, and there is nobody to report it to.
        log_line(f"an accepted connection is closed: {failure.strerror if failure else ''}")
        accepted.close()

    def _pause(self, listening: socket.socket) -> None:
        """Leave new connections in the kernel's queue for a while."""
        self.loop.remove_reader(listening)
        self.deadlines.schedule(self.deadlines.now() + RETRY_AFTER, self._resume)

    def _resume(self) -> None:
        if self.socket is not None:
            self.loop.add_reader(self.socket, self._accept_some)
