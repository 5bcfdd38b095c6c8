"""Connections to workers, kept and used again."""

import asyncio
import errno
from bisect import insort
from collections import defaultdict, deque
from operator import itemgetter
from typing import Protocol

from .connections import Connection, ConnectionUser
from .deadlines import Deadline, Deadlines
from .outcomes import ExchangeOutcome
from .rate_limited_log import log_line
from .slot_table import SlotTable
from .units import MILLISECOND, SECOND

KEPT_SHARE = 0.7  # of the time after which workers close an idle connection: a late use would be reset
BREAKS_KEPT, BREAKS_TOLD = 16, 4  # of kept connections; so many of late say how long a rest is safe
LATE_BREAK = 10 * SECOND
DROPPED_LATE_BY = 250 * MILLISECOND  # looks for idle ones are no more frequent


def kept_for(idle_limit: int) -> int:
    """How long a connection may rest, in ns, where workers close it after so long."""
    return int(idle_limit * KEPT_SHARE)


class PoolUser(ConnectionUser, Protocol):
    """Who asks for a connection."""

    def connected(self, connection: Connection) -> None: ...

    def not_connected(self, end: ExchangeOutcome) -> None: ...


class IdleConnection:
    """Who has a connection while it rests: a word from the other side then means no good."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def bytes_came(self) -> None:
        # Aborted only, it would be there for the next caller until the loop tells its end.
        self.connection.discard()

    def connection_ended(self) -> None:
        pass

    def all_written(self) -> None:
        pass


class Opening:
    """A connection on its way up."""

    def __init__(self, pool: "Pool", address: str, caller: PoolUser, time_out: int) -> None:
        self.pool = pool
        self.connection = pool.make(address)
        self.caller: PoolUser | None = caller
        self.late = pool.deadlines.at(pool.deadlines.now() + time_out, self.too_late)
        self.task = pool.loop.create_task(self.open(address))

    async def open(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        end = ExchangeOutcome.UNSENT
        try:
            await self.pool.loop.create_connection(lambda: self.connection, host.strip("[]"), int(port))
        except ConnectionRefusedError:
            end = ExchangeOutcome.REFUSED
        except OSError as error:
            if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                end = ExchangeOutcome.NO_SOCKET
            elif error.errno != errno.ECONNRESET:
                end = ExchangeOutcome.NEVER_UP
        except ValueError:
            end = ExchangeOutcome.NEVER_UP
            log_line(f"a worker's address is none: {address!r}")
        self.pool.deadlines.call_off(self.late)
        if not self.connection.open:
            self._fail(end)
        elif self.caller is None:
            self.connection.abort()
        else:
            caller, self.caller = self.caller, None
            self.pool.opening -= 1
            self.connection.user = caller
            caller.connected(self.connection)

    def too_late(self) -> None:
        self._call_off()
        self._fail(ExchangeOutcome.NEVER_UP)

    def give_up(self) -> None:
        """Nobody waits for it any more."""
        self.pool.deadlines.call_off(self.late)
        self._call_off()
        if self.caller is not None:
            self.caller = None
            self.pool.opening -= 1

    def _call_off(self) -> None:
        self.task.cancel()
        self.connection.discard()

    def _fail(self, end: ExchangeOutcome) -> None:
        caller, self.caller = self.caller, None
        if caller is not None:
            self.pool.opening -= 1
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
        self.keep_for = kept_for(idle_limit)
        self.connect_time_out = connect_time_out
        self.connections: SlotTable[Connection] = SlotTable()
        self.opening = 0
        self.resting: dict[str, list[tuple[int, int]]] = defaultdict(list)  # number and since, by address
        self.sweep: Deadline | None = None
        self.breaks: deque[tuple[int, int]] = deque(maxlen=BREAKS_KEPT)  # when, and after how long a rest

    def make(self, address: str) -> Connection:
        return Connection(self.connections, address=address)

    def hold_at_most(self, most_open: int) -> None:
        """Another share from now on; those at rest make way at once, those in use with their end."""
        self.most_open = most_open
        while self.held() > most_open and self._close_longest_at_rest():
            pass

    def call(self, address: str, caller: PoolUser, longest_rest: int | None = None) -> Opening | None:
        """Give the caller a connection there: one that rested, for no longer than it may, or a new one."""
        now = self.deadlines.now()
        resting = self.resting.get(address)
        while resting and (longest_rest is None or now - resting[-1][1] < longest_rest):
            number, since = resting.pop()  # the latest used
            connection = self.connections.get(number)
            # What lies unread there is its end, or an answer that would be taken for the next request's.
            if connection is not None and now - since < self.keep_for and not connection.has_unread():
                connection.user = caller
                connection.rested = now - since
                caller.connected(connection)
                return None
            self._close(number)
        if self.held() >= self.most_open and not self._close_longest_at_rest():
            caller.not_connected(ExchangeOutcome.NO_SOCKET)
            return None
        self.opening += 1
        return Opening(self, address, caller, self.connect_time_out)

    def broke(self, connection: Connection) -> None:
        """It broke under a request, unanswered."""
        if connection.rested is not None:
            self.breaks.append((self.deadlines.now(), connection.rested))

    def safe_rest(self) -> int | None:
        """How long a connection may have rested for what must not be lost with it; None: as long as any.

        Workers, or what stands between, may drop resting ones unseen, long before the limit that we are told.
        """
        late = self.deadlines.now() - LATE_BREAK
        rests = sorted(rested for when, rested in self.breaks if when > late)
        return rests[len(rests) // 4] // 2 if len(rests) >= BREAKS_TOLD else None

    def held(self) -> int:
        """Sockets that are open or on their way up."""
        return len(self.connections) + self.opening

    def rest(self, connection: Connection, unused: bool = False) -> None:
        """A caller is done with it, and it can carry another request; unused, it was idle all the time."""
        since = self.deadlines.now() - (connection.rested or 0 if unused else 0)
        if not connection.open:
            return
        if connection.unwanted:
            self._close(connection.number)
            return
        connection.user = IdleConnection(connection)
        insort(self.resting[connection.address], (connection.number, since), key=itemgetter(1))
        if self.sweep is None:
            self.sweep = self.deadlines.at(since + self.keep_for, self._drop_stale)

    def drop(self, address: str) -> None:
        """Nobody is called there any more; what is in use there ends with its use."""
        for number, _ in self.resting.pop(address, []):
            self._close(number)
        for connection in self.connections:
            connection.unwanted = connection.unwanted or connection.address == address

    def _close(self, number: int) -> None:
        """Close it, unless the other side has done so: then its number is stale."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.user = None
            connection.abort()

    def _close_longest_at_rest(self) -> bool:
        while oldest := self._oldest():
            number, _ = self.resting[oldest].pop(0)
            if self.connections.get(number) is not None:
                self._close(number)
                return True
        return False

    def _oldest(self) -> str | None:
        """The address that was not called for the longest time, of those where a connection rests."""
        return min((a for a, resting in self.resting.items() if resting), key=self._since, default=None)

    def _since(self, address: str) -> int:
        return self.resting[address][0][1]

    def _drop_stale(self) -> None:
        """Drop those that the other side would soon close by itself."""
        now = self.deadlines.now()
        for resting in self.resting.values():
            while resting and now - resting[0][1] >= self.keep_for:
                self._close(resting.pop(0)[0])
        self.sweep = None
        oldest = self._oldest()
        if oldest is not None:
            when = max(self._since(oldest) + self.keep_for, now + DROPPED_LATE_BY)
            self.sweep = self.deadlines.at(when, self._drop_stale)
