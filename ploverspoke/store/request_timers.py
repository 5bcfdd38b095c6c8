"""Timers by request id, each of which can be cancelled once it is no longer needed."""

import asyncio
from collections.abc import Callable


class RequestTimers:
    """At most one timer for each request."""

    def __init__(self, on_due: Callable[[str], None]) -> None:
        """`on_due` is called with the id of the request."""
        self._on_due = on_due
        self._handles: dict[str, asyncio.TimerHandle] = {}

    def set(self, request_id: str, delay: float) -> None:
        """Call back after `delay` seconds, which replaces an earlier setting."""
        self.cancel(request_id)
        loop = asyncio.get_running_loop()
        self._handles[request_id] = loop.call_later(max(0.0, delay), self._call, request_id)

    def cancel(self, request_id: str) -> None:
        """Do not call back for this request."""
        handle = self._handles.pop(request_id, None)
        if handle is not None:
            handle.cancel()

    def cancel_all(self) -> None:
        """Do not call back for any request."""
        for request_id in list(self._handles):
            self.cancel(request_id)

    def _call(self, request_id: str) -> None:
        del self._handles[request_id]
        self._on_due(request_id)
