"""Gives each of many dispatchers in one process its own rate-limited log, as if it ran in its own process."""

import sys
from contextvars import ContextVar

from ploverspoke.transport import rate_limited_log


class DispatcherLog(rate_limited_log.RateLimitedLog):
    """The log of one dispatcher; its name precedes each line."""

    def __init__(self, name: str) -> None:
        """Start an empty log."""
        super().__init__()
        self.name = name
        self.count = 0  # lines, including those that the rate limit dropped

    def write(self, line: str) -> None:
        """Count the line and write it if the rate limit allows."""
        self.count += 1
        super().write(f"{self.name}: {line}")


class ImportOrderError(RuntimeError):
    """The product was imported before its log was replaced."""

    def __init__(self) -> None:
        """Build the text."""
        super().__init__("the product was imported before its log function was replaced")


# Callbacks run in the context in which they were scheduled, which identifies the dispatcher of a line.
CURRENT_LOG: ContextVar[DispatcherLog] = ContextVar("log of the current dispatcher")
_unassigned_log = DispatcherLog("nobody")


def log_line(line: str) -> None:
    """Write a line to the log of the dispatcher in whose context this runs."""
    CURRENT_LOG.get(_unassigned_log).write(line)


def install() -> None:
    """Replace the product's `log_line`. Raises ImportOrderError if the product was imported before."""
    if any(name.startswith("ploverspoke.service") for name in sys.modules):
        raise ImportOrderError
    rate_limited_log.log_line = log_line
