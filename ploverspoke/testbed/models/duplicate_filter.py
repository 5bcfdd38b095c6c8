"""Duplicate detection by idempotency key, shared by a group of workers."""

from typing import NamedTuple

from .execution import Execution
from .virtual_clock import Clock


class _RememberedExecution(NamedTuple):
    """An execution, and when it was remembered."""

    remembered_at: int  # ns from the start of the run
    execution: Execution


class DuplicateFilter:
    """Remembers the latest execution of each idempotency key."""

    def __init__(self, clock: Clock) -> None:
        """Start without remembered executions."""
        self.clock = clock
        self._remembered: dict[str, _RememberedExecution] = {}  # by idempotency key

    def find_original(self, key: str, window: int) -> Execution | None:
        """Return the execution that was remembered for the key less than `window` ns ago."""
        remembered = self._remembered.get(key)
        if remembered is None or self.clock.now() - remembered.remembered_at >= window:
            return None
        return remembered.execution

    def remember(self, execution: Execution) -> None:
        """Treat later executions with the same key as duplicates of this one."""
        self._remembered[execution.idempotency_key] = _RememberedExecution(self.clock.now(), execution)

    def forget(self, execution: Execution) -> None:
        """Forget an execution that ended without an effect."""
        remembered = self._remembered.get(execution.idempotency_key)
        if remembered is not None and remembered.execution is execution:
            del self._remembered[execution.idempotency_key]
