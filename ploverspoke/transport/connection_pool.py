"""A pool of connections to workers (or discovery), kept open between requests and reused."""

import asyncio
import errno
from bisect import insort
from collections import defaultdict, deque
from operator import attrgetter
from typing import NamedTuple, Protocol

from .connections import Connection, ConnectionUser
from .deadlines import Deadline, Deadlines
from .outcomes import ExchangeOutcome
from .rate_limited_log import log_line
from .slot_table import SlotTable
from .units import MILLISECOND, SECOND

# Of the time after which the other side closes an idle connection: a request that crosses the close is lost.
MAX_IDLE_FRACTION = 0.7
MAX_BREAKS_KEPT = 16  # of connections that broke when they were reused
MIN_BREAKS_FOR_LIMIT = 4  # recent ones, from which a safe idle time can be estimated
BREAK_IS_RECENT = 10 * SECOND
MIN_CLEANUP_INTERVAL = 250 * MILLISECOND
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


def max_idle_time_for(idle_limit: int) -> int:
    """Return how long (ns) a connection may be idle where the other side closes it after `idle_limit` ns."""
    return int(idle_limit * MAX_IDLE_FRACTION)


class PoolUser(ConnectionUser, Protocol):
    """A user that may have to wait for its connection."""

    def on_connected(self, connection: Connection) -> None:
        """The connection is the user's from now on, until it is released."""

    def on_connect_failed(self, outcome: ExchangeOutcome) -> None:
        """There is no connection; called instead of `on_connected`."""


class IdleSlot(NamedTuple):
    """One idle connection of an address."""

    number: int  # of the connection, in the pool's table
    since: int  # ns


class ReuseBreak(NamedTuple):
    """A connection that broke, without a response, under the first request after an idle time."""

    at: int  # ns
    idle_time: int  # ns


class IdleConnection:
    """The user of a connection while it is idle: any data or end makes it useless."""

    def __init__(self, connection: Connection) -> None:
        """Watch over `connection`."""
        self.connection = connection

    def on_data_available(self) -> None:
        """Discard the connection: nothing was asked on it."""
        # After a plain abort it could be acquired until the event loop reports its end.
        self.connection.discard()

    def on_disconnected(self) -> None:
        """Do nothing: the number in the pool's list is stale now."""

    def on_write_drained(self) -> None:
        """Do nothing."""


class PendingConnection:
    """A connection that is being established for a user."""

    def __init__(self, pool: "ConnectionPool", address: str, user: PoolUser, timeout: int) -> None:
        """Begin to connect to `address`, for at most `timeout` ns."""
        self.pool = pool
        self.connection = Connection(pool.connections, address=address)
        self.user: PoolUser | None = user
        self.deadline = pool.deadlines.schedule(pool.deadlines.now() + timeout, self.on_timeout)
        self.task = pool.loop.create_task(self._connect(address))

    async def _connect(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        outcome = ExchangeOutcome.SEND_INCOMPLETE
        try:
            await self.pool.loop.create_connection(lambda: self.connection, host.strip("[]"), int(port))
        except ConnectionRefusedError:
            outcome = ExchangeOutcome.CONNECTION_REFUSED
        except OSError as error:
            if error.errno in OUT_OF_RESOURCES:
                outcome = ExchangeOutcome.NO_DESCRIPTOR
            elif error.errno != errno.ECONNRESET:
                outcome = ExchangeOutcome.CONNECT_FAILED
        except ValueError:
            outcome = ExchangeOutcome.CONNECT_FAILED
            log_line(f"invalid address of a worker: {address!r}")
        self.pool.deadlines.cancel(self.deadline)
        if not self.connection.is_open:
            self._fail(outcome)
        elif self.user is None:
            self.connection.abort()
        else:
            user, self.user = self.user, None
            self.pool.pending_count -= 1
            self.connection.user = user
            user.on_connected(self.connection)

    def on_timeout(self) -> None:
        """Give up and report it to the user."""
        self._stop()
        self._fail(ExchangeOutcome.CONNECT_FAILED)

    def cancel(self) -> None:
        """Give up; the user no longer waits and is not called."""
        self.pool.deadlines.cancel(self.deadline)
        self._stop()
        if self.user is not None:
            self.user = None
            self.pool.pending_count -= 1

    def _stop(self) -> None:
        self.task.cancel()
        self.connection.discard()

    def _fail(self, outcome: ExchangeOutcome) -> None:
        user, self.user = self.user, None
        if user is not None:
            self.pool.pending_count -= 1
            user.on_connect_failed(outcome)


class ConnectionPool:
    """Owner of all connections that are idle or being established; the others belong to their users."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        capacity: int,
        idle_limit: int,
        connect_timeout: int,
    ) -> None:
        """`capacity` is in connections.

        `idle_limit` is the time in ns after which the other side closes an idle connection, and
        `connect_timeout` is in ns, too.
        """
        self.loop = loop
        self.deadlines = deadlines
        self.capacity = capacity
        self.max_idle_time = max_idle_time_for(idle_limit)
        self.connect_timeout = connect_timeout
        self.connections: SlotTable[Connection] = SlotTable()
        self.pending_count = 0
        self.idle: dict[str, list[IdleSlot]] = defaultdict(list)  # by address, longest idle first
        self.cleanup: Deadline | None = None
        self.breaks: deque[ReuseBreak] = deque(maxlen=MAX_BREAKS_KEPT)

    def resize(self, capacity: int) -> None:
        """Change the capacity: idle connections beyond it are closed now, used ones after their use."""
        self.capacity = capacity
        while self.connection_count() > capacity and self._close_longest_idle():
            pass

    def acquire(
        self, address: str, user: PoolUser, max_idle_time: int | None = None
    ) -> PendingConnection | None:
        """Connect the user to the address.

        A connection that was idle for less than `max_idle_time` ns (None: any time) is reused, and
        `on_connected` is called before this returns None. Else a new one is established and returned while
        pending, or `on_connect_failed` is called where the pool is full.
        """
        now = self.deadlines.now()
        idle = self.idle.get(address)
        while idle and (max_idle_time is None or now - idle[-1].since < max_idle_time):
            number, since = idle.pop()  # the latest used
            connection = self.connections.get(number)
            # Unread data is the other side's end, or would be taken for the response to the next request.
            if (
                connection is not None
                and now - since < self.max_idle_time
                and not connection.has_unread_data()
            ):
                connection.user = user
                connection.idle_time = now - since
                user.on_connected(connection)
                return None
            self._close(number)
        if self.connection_count() >= self.capacity and not self._close_longest_idle():
            user.on_connect_failed(ExchangeOutcome.NO_DESCRIPTOR)
            return None
        self.pending_count += 1
        return PendingConnection(self, address, user, self.connect_timeout)

    def record_break(self, connection: Connection) -> None:
        """Note that the connection broke under a request, without a response."""
        if connection.idle_time is not None:
            self.breaks.append(ReuseBreak(self.deadlines.now(), connection.idle_time))

    def safe_idle_time(self) -> int | None:
        """Return how long (ns) a connection may be idle before a request that must not be lost; None: any.

        Workers, or proxies before them, may drop idle connections silently, long before the idle limit of
        the settings: half of the lower quartile of the idle times that broke lately is taken as safe.
        """
        recent_from = self.deadlines.now() - BREAK_IS_RECENT
        idle_times = sorted(idle_time for at, idle_time in self.breaks if at > recent_from)
        return idle_times[len(idle_times) // 4] // 2 if len(idle_times) >= MIN_BREAKS_FOR_LIMIT else None

    def connection_count(self) -> int:
        """Return the number of sockets that are open or being established."""
        return len(self.connections) + self.pending_count

    def release(self, connection: Connection, unused: bool = False) -> None:
        """Take a connection back that can carry another request; an unused one was idle all the time."""
        since = self.deadlines.now() - (connection.idle_time or 0 if unused else 0)
        if not connection.is_open:
            return
        if connection.is_retired:
            self._close(connection.number)
            return
        connection.user = IdleConnection(connection)
        idle = self.idle[connection.address]
        slot = IdleSlot(connection.number, since)
        if idle and since < idle[-1].since:
            insort(idle, slot, key=attrgetter("since"))
        else:
            idle.append(slot)
        if self.cleanup is None:
            self.cleanup = self.deadlines.schedule(since + self.max_idle_time, self._close_expired)

    def retire_address(self, address: str) -> None:
        """Close the connections to an address that is no longer used, those in use after their use."""
        for number, _ in self.idle.pop(address, []):
            self._close(number)
        for connection in self.connections:
            connection.is_retired = connection.is_retired or connection.address == address

    def _close(self, number: int) -> None:
        """Close a connection, unless the other side has done so: then its number is stale."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.user = None
            connection.abort()

    def _close_longest_idle(self) -> bool:
        """Close one idle connection of the address that was not used for the longest time, if any."""
        while address := self._longest_idle_address():
            number, _ = self.idle[address].pop(0)
            if self.connections.get(number) is not None:
                self._close(number)
                return True
        return False

    def _longest_idle_address(self) -> str | None:
        addresses = (address for address, idle in self.idle.items() if idle)
        return min(addresses, key=self._idle_since, default=None)

    def _idle_since(self, address: str) -> int:
        return self.idle[address][0].since

    def _close_expired(self) -> None:
        """Close the connections that the other side would soon close."""
        now = self.deadlines.now()
        for idle in self.idle.values():
            while idle and now - idle[0].since >= self.max_idle_time:
                self._close(idle.pop(0).number)
        self.cleanup = None
        address = self._longest_idle_address()
        if address is not None:
            when = max(self._idle_since(address) + self.max_idle_time, now + MIN_CLEANUP_INTERVAL)
            self.cleanup = self.deadlines.schedule(when, self._close_expired)
