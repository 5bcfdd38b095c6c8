"""Log lines of many dispatchers in one process: each has a bound of its own, as in a process of its own."""

import sys
from contextvars import ContextVar

from ploverspoke.transport import rate_limited_log


class DispatcherLog(rate_limited_log.RateLimitedLog):
    """One dispatcher's lines, with its name before them."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.count = 0  # asked to be said, held back ones too

    def write(self, line: str) -> None:
        self.count += 1
        super().write(f"{self.name}: {line}")


CURRENT_LOG: ContextVar[DispatcherLog] = ContextVar("whose log lines")
_nobody = DispatcherLog("nobody")


def log_line(line: str) -> None:
    """The loop calls everything in the context in which it was asked for: so it is known whose line it is."""
    CURRENT_LOG.get(_nobody).write(line)


def install() -> None:
    """Before the program is imported: what is imported later takes this one."""
    if any(name.startswith("ploverspoke.service") for name in sys.modules):
        raise RuntimeError("the program was imported before its log lines could be told apart")
    rate_limited_log.log_line = log_line
