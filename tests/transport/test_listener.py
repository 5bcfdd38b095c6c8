"""The listener while system calls fail with transient errors."""

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import cast

import pytest
import uvloop

from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.listener import Listener
from ploverspoke.transport.slot_table import SlotTable

CLIENTS = 3


class FailingProxy:
    """Forwards calls to an object, but the second call of one method fails."""

    def __init__(self, inner: object, method: str, error_number: int) -> None:
        self.inner, self.method, self.error_number = inner, method, error_number
        self.calls = 0

    def __getattr__(self, name: str) -> object:
        return self.call if name == self.method else getattr(self.inner, name)

    def call(self, *args: object) -> object:
        self.calls += 1
        if self.calls == 2:
            raise OSError(self.error_number, "transient failure")
        result: object = getattr(self.inner, self.method)(*args)
        return result


def count_accepted(inject_failure: Callable[[Listener], None]) -> int:
    """Connect clients, then let the listener finish; returns how many connections were accepted."""

    async def run() -> int:
        loop = asyncio.get_running_loop()
        table: SlotTable[Connection] = SlotTable()
        listener = Listener(loop, Deadlines(loop), lambda: Connection(table), lambda pending: True)
        listener.open("127.0.0.1", 0)
        assert listener.socket is not None
        address = listener.socket.getsockname()
        clients = [socket.create_connection(address) for _ in range(CLIENTS)]
        inject_failure(listener)
        listener.finish()
        async with asyncio.timeout(5):
            while listener.socket is not None or listener.setup_tasks:
                await asyncio.sleep(0.005)
        accepted = len(table)
        for client in clients:
            client.close()
        return accepted

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


@pytest.mark.parametrize(
    "error_number", [errno.ECONNABORTED, errno.EINTR, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EPROTO]
)
def test_connections_that_wait_are_accepted_before_the_socket_is_closed(error_number: int) -> None:
    def inject_failure(listener: Listener) -> None:
        listener.socket = cast(socket.socket, FailingProxy(listener.socket, "accept", error_number))

    assert count_accepted(inject_failure) == CLIENTS


@pytest.mark.parametrize("error_number", [errno.ENOBUFS, errno.ENOMEM, errno.EINTR])
def test_accepted_connection_survives_a_failure_to_set_it_up(error_number: int) -> None:
    def inject_failure(listener: Listener) -> None:
        failing = FailingProxy(listener.loop, "connect_accepted_socket", error_number)
        listener.loop = cast(asyncio.AbstractEventLoop, failing)

    assert count_accepted(inject_failure) == CLIENTS
