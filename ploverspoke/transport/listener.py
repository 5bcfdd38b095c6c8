"""Accepts connections at one address, a few in each iteration of the event loop."""

import asyncio
import errno
import socket
from collections.abc import Callable
from functools import partial

from .connections import Connection
from .deadlines import Deadlines
from .rate_limited_log import log_line
from .units import MILLISECOND, SECOND

BACKLOG = 512  # connections in the kernel's queue
# After this number of accepted connections, their first bytes are read before more are accepted. Otherwise
# the new connections of a flood would evict each other before their requests are read.
ACCEPTS_PER_ITERATION = 8
EVICTION_MIN_AGE = 20 * MILLISECOND  # a new connection that sends nothing for this time may be evicted
RETRY_DELAY = 10 * MILLISECOND  # after an accept or setup failed, or while there is no capacity
FINISH_ATTEMPTS = 20  # attempts to accept all pending connections before the socket is closed
SETUP_ATTEMPTS = 5  # attempts to hand an accepted connection to the event loop
TRANSIENT_ERRORS = frozenset(
    {errno.EINTR, errno.EAGAIN, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)


class Listener:
    """Owns a listening socket."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        make_connection: Callable[[], Connection],
        has_capacity: Callable[[int], bool],
    ) -> None:
        """`has_capacity` says if one more connection may be accepted.

        Its argument is the number of accepted connections that are not set up yet.
        """
        self.loop = loop
        self.deadlines = deadlines
        self.make_connection = make_connection
        self.has_capacity = has_capacity
        self.socket: socket.socket | None = None
        self.is_finishing = False
        self.setup_tasks: set[asyncio.Task[None]] = set()

    def open(self, host: str, port: int) -> None:
        """Listen at an address. Raises OSError if that is not possible."""
        listening_socket = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening_socket.setblocking(False)
            listening_socket.bind((host, port))
            listening_socket.listen(BACKLOG)
        except OSError:
            listening_socket.close()
            raise
        self.adopt(listening_socket)

    def adopt(self, listening_socket: socket.socket) -> None:
        """Accept from a socket that is already listening, and may be shared with other processes."""
        self.socket = listening_socket
        self.loop.add_reader(listening_socket, self._accept_some)

    def close(self) -> None:
        """Close the listening socket; accepted connections stay open."""
        listening_socket, self.socket = self.socket, None
        if listening_socket is not None:
            self.loop.remove_reader(listening_socket)
            listening_socket.close()

    def finish(self) -> None:
        """Accept the connections in the kernel's queue, which a close would reset, then close the socket."""
        if self.socket is not None and not self.is_finishing:
            self.is_finishing = True
            self._accept_pending(FINISH_ATTEMPTS)

    def _accept_pending(self, attempts_left: int) -> None:
        """Accept until the kernel's queue is empty; retries, since a failure to accept may be transient."""
        if self._accept_some(BACKLOG) or not attempts_left:
            self.is_finishing = False
            self.close()
            return
        retry_at = self.deadlines.now() + RETRY_DELAY
        self.deadlines.schedule(retry_at, partial(self._accept_pending, attempts_left - 1))

    def _accept_some(self, limit: int = ACCEPTS_PER_ITERATION) -> bool:
        """Accept up to `limit` connections; returns whether the kernel's queue is empty."""
        for _ in range(limit):
            if self.socket is None:
                return True
            if not self.has_capacity(len(self.setup_tasks)):
                self._pause(self.socket)
                return False
            try:
                accepted_socket, _ = self.socket.accept()
            except (ConnectionAbortedError, InterruptedError):
                continue
            except BlockingIOError:
                return True
            except OSError as error:
                log_line(f"a connection could not be accepted: {error.strerror}")
                self._pause(self.socket)
                return False
            task = self.loop.create_task(self._set_up(accepted_socket))
            self.setup_tasks.add(task)
            task.add_done_callback(self.setup_tasks.discard)
        return False

    async def _set_up(self, accepted_socket: socket.socket) -> None:
        """Hand an accepted connection to the event loop.

        Transient errors are retried, because the connection may already contain a request.
        """
        failure: OSError | None = None
        for _ in range(SETUP_ATTEMPTS):
            try:
                await self.loop.connect_accepted_socket(self.make_connection, accepted_socket)
            except OSError as error:
                failure = error
                if error.errno not in TRANSIENT_ERRORS:
                    break
                await asyncio.sleep(RETRY_DELAY / SECOND)
            else:
                return
        # In most cases the client has already disconnected, so that no error can be sent to it.
        log_line(f"an accepted connection is closed: {failure.strerror if failure else ''}")
        accepted_socket.close()

    def _pause(self, listening_socket: socket.socket) -> None:
        """Leave new connections in the kernel's queue for a while."""
        self.loop.remove_reader(listening_socket)
        self.deadlines.schedule(self.deadlines.now() + RETRY_DELAY, self._resume)

    def _resume(self) -> None:
        if self.socket is not None:
            self.loop.add_reader(self.socket, self._accept_some)
