"""The event loop of one simulated dispatcher, which wraps the shared loop."""

import asyncio
from collections.abc import Callable
from typing import Any


class CancelledTimer:
    """A replacement for the timers of a killed dispatcher."""

    def cancel(self) -> None:
        """Do nothing."""


class DispatcherLoop:
    """Delegates to the shared loop, except for connections, signal handlers and callbacks after a kill.

    Connections use the dispatcher's own source address. Signal handlers are stored here and called in place
    of a signal, since a real signal would reach all dispatchers of the process.
    """

    def __init__(self, shared: asyncio.AbstractEventLoop, address: str) -> None:
        """`address` is the source host of connections."""
        self.shared = shared
        self.address = address
        self.signal_handlers: dict[int, Callable[[], None]] = {}
        self.connecting: set[asyncio.Task[Any]] = set()
        self.is_killed = False
        # Bound here so that a call costs the same as on the shared loop.
        self.call_later: Callable[..., Any] = shared.call_later
        self.call_at: Callable[..., Any] = shared.call_at
        self.add_reader: Callable[..., Any] = shared.add_reader
        self.remove_reader: Callable[..., Any] = shared.remove_reader
        self.create_task: Callable[..., Any] = shared.create_task
        self.connect_accepted_socket: Callable[..., Any] = shared.connect_accepted_socket

    def __getattr__(self, name: str) -> Any:
        """Look up all other attributes on the shared loop."""
        return getattr(self.shared, name)

    def add_signal_handler(self, number: int, callback: Callable[[], None]) -> None:
        """Store the handler without changing the signal handlers of the process."""
        self.signal_handlers[number] = callback

    def call_soon(self, callback: Callable[..., Any], *args: Any) -> Any:
        """Schedule a callback, which is dropped if the dispatcher is killed first."""
        return self.shared.call_soon(self._call_if_alive, callback, *args)

    def _call_if_alive(self, callback: Callable[..., Any], *args: Any) -> None:
        if not self.is_killed:
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
        """Open a datagram socket at the dispatcher's own address."""
        own_address = (self.address, *local_addr[1:])
        return await self.shared.create_datagram_endpoint(factory, local_addr=own_address, **options)

    def kill(self) -> None:
        """Drop scheduled callbacks and pending connects, and ignore further timers and readers."""
        self.is_killed = True
        for task in list(self.connecting):
            task.cancel()
        self.call_later = self.call_at = lambda *_: CancelledTimer()
        self.add_reader = lambda *_: None
