"""Connections to workers, kept and used again."""

import asyncio
import errno
from collections import defaultdict
from typing import Protocol

from .connections import Connection, ConnectionUser
from .deadlines import Deadline, Deadlines
from .ends import End
from .log_lines import say

KEPT_SHARE = 0.7  # of the time after which workers close an idle connection: a late use would be reset
DROPPED_LATE_BY = 250_000_000  # ns; looks for idle ones are no more frequent


class Caller(ConnectionUser, Protocol):
    """Who asks for a connection."""

    def connected(self, connection: Connection) -> None: ...

    def not_connected(self, end: End) -> None: ...


class Idle:
    """A connection at rest; a word from the other side then means no good."""

    def __init__(self, pool: "Pool", address: str, connection: Connection, since: int) -> None:
        self.pool = pool
        self.address = address
        self.connection = connection
        self.since = since

    def bytes_came(self) -> None:
        self.connection.abort()

    def connection_ended(self) -> None:
        self.pool.forget(self)

    def all_written(self) -> None:
        pass


class Opening:
    """A connection on its way up."""

    def __init__(self, pool: "Pool", address: str, caller: Caller, time_out: int) -> None:
        self.pool = pool
        self.caller: Caller | None = caller
        self.late = pool.deadlines.at(pool.deadlines.now() + time_out, self.too_late)
        self.task = pool.loop.create_task(self.open(address))

    async def open(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        connection, end = None, End.NEVER_UP
        try:
            _, connection = await self.pool.loop.create_connection(Connection, host, int(port))
        except ConnectionRefusedError:
            end = End.REFUSED
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                end = End.NO_SOCKET
        except ValueError:
            say(f"a worker's address is none: {address!r}")
        self.pool.deadlines.call_off(self.late)
        if connection is None or not connection.open:
            self._fail(end)
        elif self.caller is None:
            connection.abort()
        else:
            caller, self.caller = self.caller, None
            connection.user = caller
            caller.connected(connection)

    def too_late(self) -> None:
        self.task.cancel()
        self._fail(End.NEVER_UP)

    def give_up(self) -> None:
        """Nobody waits for it any more."""
        self.pool.deadlines.call_off(self.late)
        self.task.cancel()
        if self.caller is not None:
            self.caller = None
            self.pool.closed()

    def _fail(self, end: End) -> None:
        caller, self.caller = self.caller, None
        if caller is not None:
            self.pool.closed()
            caller.not_connected(end)


class Pool:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        most_open: int,
        idle_limit: int,
        connect_time_out: int,
    ) -> None:
        self.loop = loop
        self.deadlines = deadlines
        self.most_open = most_open
        self.keep_for = int(idle_limit * KEPT_SHARE)
        self.connect_time_out = connect_time_out
        self.open_count = 0  # with those on their way up
        self.idle: dict[str, list[Idle]] = defaultdict(list)  # by address, the latest used last
        self.sweep: Deadline | None = None

    def call(self, address: str, caller: Caller) -> Opening | None:
        """Give the caller a connection there: at once where one is idle, else when it is up."""
        resting = self.idle.get(address)
        while resting:
            idle = resting.pop()
            if idle.connection.open and self.deadlines.now() - idle.since < self.keep_for:
                idle.connection.user = caller
                caller.connected(idle.connection)
                return None
            self._close(idle)
        if self.open_count >= self.most_open and not self._close_longest_idle():
            caller.not_connected(End.NO_SOCKET)
            return None
        self.open_count += 1
        return Opening(self, address, caller, self.connect_time_out)

    def rest(self, address: str, connection: Connection) -> None:
        """A caller is done with it, and it can carry another request."""
        if not connection.open:
            self.open_count -= 1
            return
        idle = Idle(self, address, connection, self.deadlines.now())
        connection.user = idle
        self.idle[address].append(idle)
        if self.sweep is None:
            self.sweep = self.deadlines.at(idle.since + self.keep_for, self._drop_stale)

    def closed(self) -> None:
        """A connection that a caller had is gone."""
        self.open_count -= 1

    def forget(self, idle: Idle) -> None:
        """It was closed from the other side."""
        resting = self.idle.get(idle.address, [])
        if idle in resting:
            resting.remove(idle)
            self.open_count -= 1

    def drop(self, address: str) -> None:
        """Nobody is called there any more."""
        for idle in self.idle.pop(address, []):
            self._close(idle)

    def _close(self, idle: Idle) -> None:
        idle.connection.user = None
        idle.connection.close()
        self.open_count -= 1

    def _close_longest_idle(self) -> bool:
        oldest = min((resting[0] for resting in self.idle.values() if resting), key=_since, default=None)
        if oldest is None:
            return False
        self.idle[oldest.address].remove(oldest)
        self._close(oldest)
        return True

    def _drop_stale(self) -> None:
        """Drop those that the other side would soon close by itself."""
        limit = self.deadlines.now() - self.keep_for
        for resting in self.idle.values():
            while resting and resting[0].since <= limit:
                self._close(resting.pop(0))
        oldest = min((resting[0].since for resting in self.idle.values() if resting), default=None)
        self.sweep = None
        if oldest is not None:
            when = max(oldest + self.keep_for, self.deadlines.now() + DROPPED_LATE_BY)
            self.sweep = self.deadlines.at(when, self._drop_stale)


def _since(idle: Idle) -> int:
    return idle.since
