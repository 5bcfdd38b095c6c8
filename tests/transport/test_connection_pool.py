"""The connection pool on loopback sockets."""

import asyncio

from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND

from .recording_pool_user import RecordingPoolUser


class SilentServer:
    """Accepts connections, sends nothing and keeps them open until the other side closes them."""

    def __init__(self) -> None:
        self.accepted: list[asyncio.StreamWriter] = []
        self.address = ""
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._keep_open, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _keep_open(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted.append(writer)
        await reader.read()
        writer.close()

    def close(self) -> None:
        assert self.server is not None
        self.server.close()


async def acquire(pool: ConnectionPool, address: str, max_idle_time: int | None = None) -> RecordingPoolUser:
    user = RecordingPoolUser()
    pool.acquire(address, user, max_idle_time)
    while user.connection is None and user.outcome is None:
        await asyncio.sleep(0.001)
    return user


def test_a_pool_reuses_connections_closes_idle_ones_in_time_and_keeps_its_capacity(
    loop: asyncio.AbstractEventLoop,
) -> None:
    async def script() -> None:
        server = SilentServer()
        await server.open()
        pool = ConnectionPool(loop, Deadlines(loop), 2, 300 * MILLISECOND, 500 * MILLISECOND)
        first, second = await acquire(pool, server.address), await acquire(pool, server.address)
        assert first.connection is not None and second.connection is not None
        assert (await acquire(pool, server.address)).outcome is ExchangeOutcome.NO_DESCRIPTOR
        pool.release(first.connection)
        assert (await acquire(pool, server.address)).connection is first.connection
        assert len(server.accepted) == 2
        pool.release(first.connection)
        # The idle connection is closed to make room for a new one.
        assert (await acquire(pool, "127.0.0.1:1")).outcome is ExchangeOutcome.CONNECTION_REFUSED
        pool.release(second.connection)
        await asyncio.sleep(1)
        # The idle connection was closed before the other side's limit: a request that is sent while the other
        # side closes the connection would be reset.
        assert not second.connection.is_open and pool.connection_count() == 0
        assert not pool.idle, "addresses without connections are forgotten"
        server.close()

    loop.run_until_complete(script())


def test_after_breaks_a_request_that_must_not_be_lost_gets_no_connection_that_was_idle_too_long(
    loop: asyncio.AbstractEventLoop,
) -> None:
    # Guards against lost requests: workers dropped idle connections long before the limit in the settings, so
    # that the next request on such a connection was lost.
    pool = ConnectionPool(loop, Deadlines(loop), 9, 30_000 * MILLISECOND, 500 * MILLISECOND)
    broken = Connection(pool.connections)
    for idle_time in (None, 200 * MILLISECOND, 300 * MILLISECOND, 400 * MILLISECOND):
        broken.idle_time = idle_time
        pool.record_break(broken)
    assert pool.safe_idle_time() is None, "three breaks may be chance"
    broken.idle_time = 500 * MILLISECOND
    pool.record_break(broken)
    assert pool.safe_idle_time() == 150 * MILLISECOND

    async def connected(address: str, max_idle_time: int | None) -> Connection:
        user = await acquire(pool, address, max_idle_time)
        assert user.connection is not None
        return user.connection

    async def script() -> None:
        server = SilentServer()
        await server.open()
        first = await connected(server.address, None)
        pool.release(first)
        assert await connected(server.address, pool.safe_idle_time()) is first
        pool.release(first)
        await asyncio.sleep(0.2)
        assert await connected(server.address, pool.safe_idle_time()) is not first
        assert await connected(server.address, None) is first
        pool.release(first, unused=True)
        # Nothing was sent on the connection: for the other side it has been idle all the time.
        assert await connected(server.address, pool.safe_idle_time()) is not first
        for connection in pool.connections:
            connection.abort()
        server.close()
        await asyncio.sleep(0.01)

    loop.run_until_complete(script())
