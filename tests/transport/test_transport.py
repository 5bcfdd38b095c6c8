"""Slots, deadlines, buffers and pools."""

import asyncio
import random
from collections.abc import Iterator
from typing import Any

import pytest

from ploverspoke.transport.buffers import INITIAL_SIZE, MIN_WRITABLE, ReadBuffer
from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadline, Deadlines
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.slot_table import SlotTable

MS = 1_000_000


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    loop = asyncio.new_event_loop()
    yield loop
    loop.close()


@pytest.mark.parametrize("seed", range(5))
def test_a_stale_number_finds_nobody(seed: int) -> None:
    chance, table = random.Random(seed), SlotTable[str]()
    seated: dict[int, str] = {}
    gone: list[int] = []
    for step in range(500):
        if seated and chance.random() < 0.5:
            number = chance.choice(list(seated))
            assert table.remove(number) == seated.pop(number)
            gone.append(number)
        else:
            number = table.add(str(step))
            assert number not in seated and number not in gone
            seated[number] = str(step)
        assert all(table.get(number) == item for number, item in seated.items())
        assert all(table.get(number) is None and table.remove(number) is None for number in gone[-20:])
        assert len(table) == len(seated) and sorted(table) == sorted(seated.values())


@pytest.mark.parametrize("seed", range(3))
def test_deadlines_are_met_in_order_and_not_when_called_off(
    seed: int, loop: asyncio.AbstractEventLoop
) -> None:
    chance, deadlines = random.Random(seed), Deadlines(loop)
    met: list[int] = []
    start = deadlines.now()
    hung: list[tuple[int, Deadline]] = []
    for number in range(600):
        when = chance.randrange(-5, 30)
        hung.append((when, deadlines.schedule(start + when * MS, lambda n=number: met.append(n))))  # type: ignore[misc]
    off = set(chance.sample(range(600), 400))
    for number in off:
        deadlines.cancel(hung[number][1])
    loop.run_until_complete(asyncio.sleep(0.1))
    assert set(met) == set(range(600)) - off
    assert [hung[number][0] for number in met] == sorted(hung[number][0] for number in met)


@pytest.mark.parametrize("seed", range(5))
def test_a_buffer_loses_nothing_and_shrinks_again(seed: int) -> None:
    chance, buffer, held = random.Random(seed), ReadBuffer(), b""
    most = 0  # held since it was last empty
    for _ in range(400):
        part = chance.randbytes(chance.choice([1, 100, 3000]))
        space = buffer.writable_space()
        part = part[: len(space)]
        assert part
        space[: len(part)] = part
        space.release()
        buffer.commit(len(part))
        most = max(most, len(held) + len(part)) if held else len(part)
        held += part
        assert len(buffer.data) <= max(INITIAL_SIZE, 2 * (most + MIN_WRITABLE))
        done = chance.choice([0, len(held) // 2, len(held)])
        with buffer.unread() as unread:
            assert unread == held
        buffer.consume(done)
        held = held[done:]
    buffer.consume(len(buffer))
    buffer.writable_space().release()
    assert len(buffer.data) == INITIAL_SIZE


class PoolUser:
    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.outcome: ExchangeOutcome | None = None

    def on_connected(self, connection: Connection) -> None:
        self.connection = connection

    def on_connect_failed(self, outcome: ExchangeOutcome) -> None:
        self.outcome = outcome

    def on_data_available(self) -> None:
        pass

    def on_disconnected(self) -> None:
        pass

    def on_write_drained(self) -> None:
        pass


def test_a_pool_uses_again_drops_in_time_and_stays_within_its_number(
    loop: asyncio.AbstractEventLoop,
) -> None:
    async def script() -> None:
        served: list[Any] = []

        async def hold(reader: Any, writer: Any) -> None:
            served.append(writer)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ConnectionPool(loop, Deadlines(loop), 2, 300 * MS, 500 * MS)

        async def call(where: str) -> PoolUser:
            caller = PoolUser()
            pool.acquire(where, caller)
            while caller.connection is None and caller.outcome is None:
                await asyncio.sleep(0.001)
            return caller

        first, second = await call(address), await call(address)
        assert first.connection is not None and second.connection is not None
        assert (await call(address)).outcome is ExchangeOutcome.NO_DESCRIPTOR
        pool.release(first.connection)
        assert (await call(address)).connection is first.connection and len(served) == 2
        pool.release(first.connection)
        assert (
            await call("127.0.0.1:1")
        ).outcome is ExchangeOutcome.CONNECTION_REFUSED  # the one at rest made way
        pool.release(second.connection)
        await asyncio.sleep(1)
        # Dropped before the other side's limit: a request that crosses its close would be a reset.
        assert not second.connection.is_open and pool.connection_count() == 0
        server.close()

    loop.run_until_complete(script())


def test_what_must_not_be_lost_goes_over_no_connection_that_rested_too_long(
    loop: asyncio.AbstractEventLoop,
) -> None:
    # Workers dropped resting connections long before the limit in the settings, and the job with them.
    pool = ConnectionPool(loop, Deadlines(loop), 9, 30_000 * MS, 500 * MS)
    dropped = Connection(pool.connections)
    for rested in (None, 200 * MS, 300 * MS, 400 * MS):
        dropped.idle_time = rested
        pool.record_break(dropped)
    assert pool.safe_idle_time() is None, "three breaks may be chance"
    dropped.idle_time = 500 * MS
    pool.record_break(dropped)
    assert pool.safe_idle_time() == 150 * MS

    async def script() -> None:
        async def hold(reader: Any, writer: Any) -> None:
            await reader.read()
            writer.close()

        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

        async def call(longest_rest: int | None) -> Connection:
            caller = PoolUser()
            pool.acquire(address, caller, longest_rest)
            while caller.connection is None:
                await asyncio.sleep(0.001)
            return caller.connection

        first = await call(None)
        pool.release(first)
        assert await call(pool.safe_idle_time()) is first
        pool.release(first)
        await asyncio.sleep(0.2)
        assert await call(pool.safe_idle_time()) is not first and await call(None) is first
        pool.release(first, unused=True)
        assert await call(pool.safe_idle_time()) is not first, (
            "to the other side it has been idle all the time"
        )
        for connection in pool.connections:
            connection.abort()
        server.close()
        await asyncio.sleep(0.01)

    loop.run_until_complete(script())
