"""The event loop of one simulated dispatcher: the shared one, but for its address, signals and end."""

import asyncio
from collections.abc import Callable
from typing import Any


class CancelledTimer:
    """In place of a timer that a killed dispatcher sets."""

    def cancel(self) -> None:
        """Do nothing."""


class DispatcherLoop:
    """Delegates to the shared loop, except for connections, signal handlers and callbacks after a kill.

    Connections leave from the dispatcher's own address. Signal handlers are kept here, to be called in place
    of a signal, since the signals of a process are for all that it holds.
    """

    def __init__(self, shared: asyncio.AbstractEventLoop, address: str) -> None:
        """`address` is the host that connections leave from."""
        self.shared = shared
        self.address = address
        self.signal_handlers: dict[int, Callable[[], None]] = {}
        self.connecting: set[asyncio.Task[Any]] = set()
        self.is_dead = False
        # Bound here so that a call costs what it costs on the shared loop.
        self.call_later: Callable[..., Any] = shared.call_later
        self.call_at: Callable[..., Any] = shared.call_at
        self.add_reader: Callable[..., Any] = shared.add_reader
        self.remove_reader: Callable[..., Any] = shared.remove_reader
        self.create_task: Callable[..., Any] = shared.create_task
        self.connect_accepted_socket: Callable[..., Any] = shared.connect_accepted_socket

    def __getattr__(self, name: str) -> Any:
        """Return what is not defined here from the shared loop."""
        return getattr(self.shared, name)

    def add_signal_handler(self, number: int, callback: Callable[[], None]) -> None:
        """Keep the handler; the process's own signals are not touched."""
        self.signal_handlers[number] = callback

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> Any:
        """Schedule a callback, which is dropped if the dispatcher is killed before."""
        return self.shared.call_soon(self._call, callback, *args)

    def _call(self, callback: Callable[..., Any], *args: Any) -> None:
        if not self.is_dead:
            callback(*args)

    async def create_connection(self, factory: Any, host: Any, port: Any) -> Any:
        """Connect from the dispatcher's own address."""
        task = asyncio.current_task()
        assert task is not None
        self.connecting.add(task)
        try:
            return await self.shared.create_connection(factory, host, port, local_addr=(self.address, 0))
        finally:
            self.connecting.discard(task)

    async def create_datagram_endpoint(self, factory: Any, local_addr: Any, **options: Any) -> Any:
        """Open a socket for datagrams at the dispatcher's own address."""
        own_address = (self.address, *local_addr[1:])
        return await self.shared.create_datagram_endpoint(factory, local_addr=own_address, **options)

    def kill(self) -> None:
        """Drop all that was scheduled, and schedule nothing more."""
        self.is_dead = True
        for task in list(self.connecting):
            task.cancel()
        self.call_later = self.call_at = lambda *_: CancelledTimer()
        self.add_reader = lambda *_: None
