"""Connections take turns, and one connection is not read from without end."""

import asyncio
import socket
import time
from functools import partial

import uvloop

from ploverspoke.transport.connections import READS_PER_TURN, Connection
from ploverspoke.transport.slot_table import SlotTable
from ploverspoke.transport.turn_queue import MAX_TURN, TurnQueue
from ploverspoke.transport.units import SECOND


class Steps:
    """A user with a number of steps, which it records."""

    def __init__(self, name: str, count: int, record: list[str], step_time: float = 0.0) -> None:
        self.name, self.left, self.record, self.step_time = name, count, record, step_time

    def take_turn(self) -> bool:
        time.sleep(self.step_time)
        self.left -= 1
        self.record.append(self.name)
        if self.left < 0:
            raise ValueError(self.name)
        return self.left > 0

    def on_turn_failed(self) -> None:
        self.record.append("failed")


def test_users_take_turns_and_a_failing_one_does_not_end_them(loop: asyncio.AbstractEventLoop) -> None:
    turns, record = TurnQueue(loop), list[str]()
    for name, count in (("a", 3), ("b", 1), ("c", 0), ("d", 2)):
        turns.add(Steps(name, count, record))
    loop.run_until_complete(asyncio.sleep(0.02))
    assert record == ["a", "b", "c", "failed", "d", "a", "d", "a"]


def test_timers_and_sockets_are_served_between_long_steps(loop: asyncio.AbstractEventLoop) -> None:
    turns, record = TurnQueue(loop), list[str]()
    for number in range(8):
        turns.add(Steps(str(number), 1, record, 2 * MAX_TURN / SECOND))
    loop.call_soon(lambda: loop.call_soon(record.append, "other"))
    loop.run_until_complete(asyncio.sleep(0.3))
    assert record.index("other") <= 2 and len(record) == 9


class RecordingUser:
    """Drops what its connection receives, and records whose turn it was."""

    def __init__(self, connection: Connection, name: str, reads: list[str]) -> None:
        self.connection, self.name, self.reads = connection, name, reads
        self.received = 0

    def on_data_available(self) -> None:
        self.reads.append(self.name)
        self.received += len(self.connection.buffer)
        self.connection.buffer.consume(len(self.connection.buffer))

    def on_disconnected(self) -> None:
        """Do nothing."""

    def on_write_drained(self) -> None:
        """Do nothing."""


def test_a_connection_lets_others_go_first_after_a_few_reads() -> None:
    reads: list[str] = []
    size = 100_000

    async def run() -> None:
        loop, table = asyncio.get_running_loop(), SlotTable[Connection]()
        pairs = [socket.socketpair() for _ in "ab"]
        users = []
        for name, (_, served) in zip("ab", pairs, strict=True):
            connection = Connection(table)
            await loop.create_connection(partial(_return, connection), sock=served)
            connection.user = user = RecordingUser(connection, name, reads)
            users.append(user)
        for client, _ in pairs:
            client.setblocking(False)
            client.send(b"x" * size)
        while min(user.received for user in users) < size:
            await asyncio.sleep(0.001)
        for client, _ in pairs:
            client.close()

    uvloop.run(run())
    both = "".join(reads).strip("a").strip("b")
    assert "a" * (2 * READS_PER_TURN + 1) not in both and "b" * (2 * READS_PER_TURN + 1) not in both
    assert len(both) > 4 * READS_PER_TURN


def _return(connection: Connection) -> Connection:
    return connection
