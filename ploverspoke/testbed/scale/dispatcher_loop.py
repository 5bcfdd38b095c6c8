"""The loop as one dispatcher of many sees it: the real one, but for its address, its signals and its end."""

import asyncio
from collections.abc import Callable
from typing import Any

DEAD = "this dispatcher was killed"


class Never:
    """In place of a timer that a killed dispatcher sets."""

    def cancel(self) -> None: ...


class OwnLoop:
    """Everything that is not here is the real loop's own.

    Calls leave from the dispatcher's own address; signal handlers are kept here, to be called in place of a
    signal, since a process's signals are for all that live in it.
    """

    def __init__(self, real: asyncio.AbstractEventLoop, address: str) -> None:
        self.real = real
        self.address = address
        self.handlers: dict[int, Callable[[], None]] = {}
        self.connecting: set[asyncio.Task[Any]] = set()
        self.dead = False
        # Bound here, these cost what they cost on the real loop.
        self.call_later: Callable[..., Any] = real.call_later
        self.call_at: Callable[..., Any] = real.call_at
        self.add_reader: Callable[..., Any] = real.add_reader
        self.remove_reader: Callable[..., Any] = real.remove_reader
        self.create_task: Callable[..., Any] = real.create_task
        self.connect_accepted_socket: Callable[..., Any] = real.connect_accepted_socket

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)

    def add_signal_handler(self, number: int, call: Callable[[], None]) -> None:
        self.handlers[number] = call

    def call_soon(self, call: Callable[..., Any], *what: Any) -> Any:
        return self.real.call_soon(self._call, call, *what)

    def _call(self, call: Callable[..., Any], *what: Any) -> None:
        if not self.dead:
            call(*what)

    async def create_connection(self, factory: Any, host: Any, port: Any) -> Any:
        task = asyncio.current_task()
        assert task is not None
        self.connecting.add(task)
        try:
            return await self.real.create_connection(factory, host, port, local_addr=(self.address, 0))
        finally:
            self.connecting.discard(task)

    async def create_datagram_endpoint(self, factory: Any, local_addr: Any, **more: Any) -> Any:
        return await self.real.create_datagram_endpoint(
            factory, local_addr=(self.address, *local_addr[1:]), **more
        )

    def die(self) -> None:
        """Nothing that was asked for happens any more, and nothing more is taken."""
        self.dead = True
        for task in list(self.connecting):
            task.cancel()
        self.call_later = self.call_at = lambda *_: Never()
        self.add_reader = lambda *_: None
