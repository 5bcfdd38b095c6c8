"""Log lines of many dispatchers in one process: each has a bound of its own, as in a process of its own."""

import sys
from contextvars import ContextVar

from ploverspoke.transport import log_lines


class Said(log_lines.LogLines):
    """One dispatcher's lines, with its name before them."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.count = 0  # asked to be said, held back ones too

    def say(self, line: str) -> None:
        self.count += 1
        super().say(f"{self.name}: {line}")


WHOSE: ContextVar[Said] = ContextVar("whose log lines")
_nobody = Said("nobody")


def say(line: str) -> None:
    """The loop calls everything in the context in which it was asked for: so it is known whose line it is."""
    WHOSE.get(_nobody).say(line)


def install() -> None:
    """Before the program is imported: what is imported later takes this one."""
    if any(name.startswith("ploverspoke.program") for name in sys.modules):
        raise RuntimeError("the program was imported before its log lines could be told apart")
    log_lines.say = say
