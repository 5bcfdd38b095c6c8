"""A process that can be paused and resumed (SIGSTOP, SIGCONT)."""

from collections.abc import Callable
from functools import update_wrapper
from typing import Concatenate, ParamSpec, TypeVar

_Parameters = ParamSpec("_Parameters")
_Process = TypeVar("_Process", bound="PausableProcess")


class PausableProcess:
    """Defers calls made while it is paused, and makes them in order when it resumes."""

    def __init__(self) -> None:
        """Start without a pause."""
        self.pause_count = 0  # pauses that have not ended; they may overlap
        self.deferred: list[Callable[[], None]] = []

    def pause(self) -> None:
        """Defer calls from now on."""
        self.pause_count += 1

    def resume(self) -> None:
        """Make the deferred calls, unless another pause has not ended."""
        self.pause_count -= 1
        while self.deferred and not self.pause_count:
            self.deferred.pop(0)()


def deferred_while_paused(
    method: Callable[Concatenate[_Process, _Parameters], None],
) -> Callable[Concatenate[_Process, _Parameters], None]:
    """Defer calls of the method while its process is paused."""

    def call_or_defer(self: _Process, /, *args: _Parameters.args, **kwargs: _Parameters.kwargs) -> None:
        if self.pause_count:
            self.deferred.append(lambda: method(self, *args, **kwargs))
        else:
            method(self, *args, **kwargs)

    update_wrapper(call_or_defer, method)
    return call_or_defer
