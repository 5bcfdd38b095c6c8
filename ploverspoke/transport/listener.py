"""Takes connections at one address, a few in each turn of the loop."""

import asyncio
import socket
from collections.abc import Callable

from .connections import Connection
from .deadlines import Deadlines
from .rate_limited_log import log_line
from .units import MILLISECOND

BACKLOG = 512
AT_ONCE = 8  # what these say is read before more are taken: many at once would push each other out
SPEAKS_WITHIN = 20 * MILLISECOND  # whoever means something, on a new connection
PAUSE = 10 * MILLISECOND  # where there is no room for one more


class Listener:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        make: Callable[[], Connection],
        may_take: Callable[[int], bool],  # given how many are on their way up
    ) -> None:
        self.loop = loop
        self.deadlines = deadlines
        self.make = make
        self.may_take = may_take
        self.socket: socket.socket | None = None
        self.seating: set[asyncio.Task[None]] = set()

    def open(self, host: str, port: int) -> None:
        listening = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setblocking(False)
        listening.bind((host, port))
        listening.listen(BACKLOG)
        self.adopt(listening)

    def adopt(self, listening: socket.socket) -> None:
        """Take connections from a socket that listens already; others may take from it too."""
        self.socket = listening
        self.loop.add_reader(listening, self._take_some)

    def close(self) -> None:
        listening, self.socket = self.socket, None
        if listening is not None:
            self.loop.remove_reader(listening)
            listening.close()

    def take_rest(self) -> None:
        """Before the end: those that still wait in the kernel's queue would be reset with the socket."""
        self._take_some(BACKLOG)

    def _take_some(self, most: int = AT_ONCE) -> None:
        for _ in range(most):
            if self.socket is None:
                return
            if not self.may_take(len(self.seating)):
                self._pause(self.socket)
                return
            try:
                accepted, _ = self.socket.accept()
            except ConnectionAbortedError:
                continue
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                log_line(f"a connection could not be taken: {error.strerror}")
                self._pause(self.socket)
                return
            task = self.loop.create_task(self._seat(accepted))
            self.seating.add(task)
            task.add_done_callback(self.seating.discard)

    async def _seat(self, accepted: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.make, accepted)
        except OSError:
            accepted.close()

    def _pause(self, listening: socket.socket) -> None:
        """The others wait in the kernel's queue."""
        self.loop.remove_reader(listening)
        self.deadlines.at(self.deadlines.now() + PAUSE, self._go_on)

    def _go_on(self) -> None:
        if self.socket is not None:
            self.loop.add_reader(self.socket, self._take_some)
