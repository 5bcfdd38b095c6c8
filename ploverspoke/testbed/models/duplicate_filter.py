"""Duplicate detection by idempotency key, shared by a group of workers."""

from typing import NamedTuple

from .execution import Execution
from .virtual_clock import Clock


class _KnownExecution(NamedTuple):
    """An execution and since when its key is known."""

    since: int
    execution: Execution


class DuplicateFilter:
    """Remembers the execution of each idempotency key for a while."""

    def __init__(self, clock: Clock) -> None:
        """Start without any."""
        self.clock = clock
        self._known: dict[str, _KnownExecution] = {}  # by idempotency key

    def find_original(self, key: str, window: int) -> Execution | None:
        """Return the execution that was remembered for the key less than `window` ns ago."""
        known = self._known.get(key)
        if known is None or self.clock.now() - known.since >= window:
            return None
        return known.execution

    def remember(self, execution: Execution) -> None:
        """Take later executions of its key for duplicates."""
        self._known[execution.idempotency_key] = _KnownExecution(self.clock.now(), execution)

    def forget(self, execution: Execution) -> None:
        """The execution ended before it had an effect."""
        known = self._known.get(execution.idempotency_key)
        if known is not None and known.execution is execution:
            del self._known[execution.idempotency_key]
