"""A pool of connections to workers or to discovery, which are kept open between requests and reused."""

import asyncio
import errno
from bisect import insort
from collections import defaultdict, deque
from operator import attrgetter
from typing import NamedTuple, Protocol

from .connections import Connection, ConnectionMonitor, ConnectionUser
from .deadlines import Deadline, Deadlines
from .loop_meter import ConnectionKind
from .memory_account import MemoryAccount
from .outcomes import ExchangeOutcome
from .rate_limited_log import log_line
from .slot_table import SlotTable
from .units import MILLISECOND, SECOND

# An idle connection is closed at this fraction of the other side's idle limit: a request that is sent while
# the other side closes the connection is lost.
MAX_IDLE_FRACTION = 0.7
MAX_BREAKS_KEPT = 16  # latest breaks of reused connections that are remembered
MIN_BREAKS_FOR_LIMIT = 4  # recent breaks needed to estimate a safe idle time
BREAK_MAX_AGE = 10 * SECOND  # older breaks are not counted as recent
MIN_CLEANUP_INTERVAL = 250 * MILLISECOND
OUT_OF_RESOURCES_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


def max_idle_time_for(idle_limit: int) -> int:
    """Return how long a connection may be idle, in ns, if the other side closes it after `idle_limit` ns."""
    return int(idle_limit * MAX_IDLE_FRACTION)


class PoolUser(ConnectionUser, Protocol):
    """A user of pooled connections, which may have to wait until one is established."""

    def on_connected(self, connection: Connection) -> None:
        """The user owns the connection from now on, until it releases it."""

    def on_connect_failed(self, outcome: ExchangeOutcome) -> None:
        """No connection could be provided; called instead of `on_connected`."""


class IdleEntry(NamedTuple):
    """One idle connection of an address."""

    number: int  # number of the connection in the pool's table
    since: int  # ns; when the connection became idle


class ReuseBreak(NamedTuple):
    """A connection that broke without a response during the first request after an idle time."""

    at: int  # ns; when it broke
    idle_time: int  # ns; before that request


class IdleConnectionUser:
    """The user of a connection while it is idle; unexpected data or a close makes the connection unusable."""

    def __init__(self, connection: Connection) -> None:
        """Watch the idle `connection`."""
        self.connection = connection

    def on_data_available(self) -> None:
        """Discard the connection, since no request on it is waiting for this data."""
        # After an abort alone, it could still be acquired until the event loop reports its end.
        self.connection.discard()

    def on_disconnected(self) -> None:
        """Do nothing: the number in the pool's list has become stale."""

    def on_write_drained(self) -> None:
        """Do nothing."""


class PendingConnection:
    """A connection that is being established for a user."""

    def __init__(self, pool: "ConnectionPool", address: str, user: PoolUser, timeout: int) -> None:
        """Start connecting to `address`, with a timeout of `timeout` ns."""
        self.pool = pool
        self.connection = Connection(pool.connections, address=address, monitor=pool.monitor)
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
            if error.errno in OUT_OF_RESOURCES_ERRORS:
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
        """Stop connecting and report the failure to the user."""
        self._stop()
        self._fail(ExchangeOutcome.CONNECT_FAILED)

    def cancel(self) -> None:
        """Stop connecting; the user is not called any more."""
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
    """Owns all connections that are idle or being established; those in use belong to their users."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        capacity: int,
        idle_limit: int,
        connect_timeout: int,
        monitor: ConnectionMonitor | None = None,
    ) -> None:
        """`capacity` is a number of connections, which `monitor` measures.

        `idle_limit` is the time in ns after which the other side closes an idle connection; `connect_timeout`
        is also in ns.
        """
        self.loop = loop
        self.deadlines = deadlines
        self.capacity = capacity
        self.max_idle_time = max_idle_time_for(idle_limit)
        self.connect_timeout = connect_timeout
        self.monitor = monitor or ConnectionMonitor(ConnectionKind.WORKER, MemoryAccount(), deadlines.meter)
        self.connections: SlotTable[Connection] = SlotTable()
        self.pending_count = 0
        self.idle: dict[str, list[IdleEntry]] = defaultdict(list)  # by address, longest idle first
        self.cleanup_deadline: Deadline | None = None
        self.reuse_breaks: deque[ReuseBreak] = deque(maxlen=MAX_BREAKS_KEPT)

    def resize(self, capacity: int) -> None:
        """Change the capacity; idle connections in excess of it are closed now, those in use stay open."""
        self.capacity = capacity
        while self.connection_count() > capacity and self._close_longest_idle():
            pass

    def acquire(
        self, address: str, user: PoolUser, max_idle_time: int | None = None
    ) -> PendingConnection | None:
        """Connect the user to the address.

        A connection that has been idle for less than `max_idle_time` ns (None: any time) is reused, and
        `on_connected` is called before this method returns None. Otherwise the pending new connection is
        returned, or `on_connect_failed` is called if the pool is full.
        """
        now = self.deadlines.now()
        idle = self.idle.get(address)
        while idle and (max_idle_time is None or now - idle[-1].since < max_idle_time):
            number, since = idle.pop()  # the most recently used one
            connection = self.connections.get(number)
            # Unread data is the end of a stream that the other side has closed, or bytes that would be taken
            # for the response to the next request.
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
        """Record that the connection broke during a request, without a response."""
        if connection.idle_time is not None:
            self.reuse_breaks.append(ReuseBreak(self.deadlines.now(), connection.idle_time))

    def safe_idle_time(self) -> int | None:
        """Return how long a connection may have been idle, in ns, to carry a request that must not be lost.

        None means any time. Workers, or proxies in front of them, may drop idle connections silently, long
        before the idle limit in the settings. Half of the lower quartile of the idle times after which
        connections broke recently is considered safe.
        """
        oldest_recent = self.deadlines.now() - BREAK_MAX_AGE
        idle_times = sorted(idle_time for at, idle_time in self.reuse_breaks if at > oldest_recent)
        return idle_times[len(idle_times) // 4] // 2 if len(idle_times) >= MIN_BREAKS_FOR_LIMIT else None

    def connection_count(self) -> int:
        """Return the number of sockets that are open or being established."""
        return len(self.connections) + self.pending_count

    def release(self, connection: Connection, unused: bool = False) -> None:
        """Give back a connection, which must be able to carry another request.

        `unused` says that no request was sent on it, so that its previous idle time continues.
        """
        since = self.deadlines.now() - (connection.idle_time or 0 if unused else 0)
        if not connection.is_open:
            return
        if connection.is_retired:
            self._close(connection.number)
            return
        connection.user = IdleConnectionUser(connection)
        idle = self.idle[connection.address]
        entry = IdleEntry(connection.number, since)
        if idle and since < idle[-1].since:
            insort(idle, entry, key=attrgetter("since"))
        else:
            idle.append(entry)
        if self.cleanup_deadline is None:
            self.cleanup_deadline = self.deadlines.schedule(since + self.max_idle_time, self._close_expired)

    def retire_address(self, address: str) -> None:
        """Close the connections to an address that is no longer used; those in use are closed on release."""
        for number, _ in self.idle.pop(address, []):
            self._close(number)
        for connection in self.connections:
            connection.is_retired = connection.is_retired or connection.address == address

    def _close(self, number: int) -> None:
        """Close a connection, unless its number is stale because the other side has closed it."""
        connection = self.connections.get(number)
        if connection is not None:
            connection.user = None
            connection.abort()

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for the longest time; returns whether there was one."""
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
        """Close the idle connections that the other side would close soon."""
        now = self.deadlines.now()
        for idle in self.idle.values():
            while idle and now - idle[0].since >= self.max_idle_time:
                self._close(idle.pop(0).number)
        for unused_address in [address for address, idle in self.idle.items() if not idle]:
            del self.idle[unused_address]
        self.cleanup_deadline = None
        address = self._longest_idle_address()
        if address is not None:
            when = max(self._idle_since(address) + self.max_idle_time, now + MIN_CLEANUP_INTERVAL)
            self.cleanup_deadline = self.deadlines.schedule(when, self._close_expired)
