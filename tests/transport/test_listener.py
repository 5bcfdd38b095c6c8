"""The listening socket while system calls fail for a moment."""

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Any, cast

import pytest
import uvloop

from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.listener import Listener
from ploverspoke.transport.slot_table import SlotTable

CLIENTS = 3


class FailingOnce:
    """Stands before an object: the second call of one method fails."""

    def __init__(self, inner: Any, method: str, number: int) -> None:
        self.inner, self.method, self.number, self.calls = inner, method, number, 0

    def __getattr__(self, name: str) -> Any:
        return self.call if name == self.method else getattr(self.inner, name)

    def call(self, *args: Any) -> Any:
        self.calls += 1
        if self.calls == 2:
            raise OSError(self.number, "for a moment")
        return getattr(self.inner, self.method)(*args)


def play(spoil: Callable[[Listener], None]) -> int:
    """Clients connect and wait; the listener takes them all in and closes. Returns how many were kept."""

    async def run() -> int:
        loop = asyncio.get_running_loop()
        table: SlotTable[Connection] = SlotTable()
        listener = Listener(loop, Deadlines(loop), lambda: Connection(table), lambda pending: True)
        listener.open("127.0.0.1", 0)
        assert listener.socket is not None
        address = listener.socket.getsockname()
        clients = [socket.create_connection(address) for _ in range(CLIENTS)]
        spoil(listener)
        listener.finish()
        async with asyncio.timeout(5):
            while listener.socket is not None or listener.setup_tasks:
                await asyncio.sleep(0.005)
        kept = len(table)
        for client in clients:
            client.close()
        return kept

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


@pytest.mark.parametrize(
    "number", [errno.ECONNABORTED, errno.EINTR, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EPROTO]
)
def test_connections_that_wait_are_accepted_before_the_socket_is_closed(number: int) -> None:
    def spoil(listener: Listener) -> None:
        listener.socket = cast(socket.socket, FailingOnce(listener.socket, "accept", number))

    assert play(spoil) == CLIENTS


@pytest.mark.parametrize("number", [errno.ENOBUFS, errno.ENOMEM, errno.EINTR])
def test_accepted_connection_survives_a_failure_to_set_it_up(number: int) -> None:
    def spoil(listener: Listener) -> None:
        failing = FailingOnce(listener.loop, "connect_accepted_socket", number)
        listener.loop = cast(asyncio.AbstractEventLoop, failing)

    assert play(spoil) == CLIENTS
