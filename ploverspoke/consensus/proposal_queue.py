"""Collects the commands that are proposed in one iteration of the event loop, to propose them together."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from ploverspoke.transport.rate_limited_log import log_line

from .command_checks import CommandRejectedError, check_command
from .log import PlainValue

CommitCallback = Callable[[bool], None]
Command = msgspec.Struct | bytes | list[PlainValue]


class Proposal(NamedTuple):
    """A command that waits for the next batch."""

    command: PlainValue
    on_result: CommitCallback


class ProposalQueue:
    """The proposals that wait for the next batch."""

    def __init__(self, propose_batch: Callable[[list[PlainValue], CommitCallback], None]) -> None:
        """`propose_batch` is called with the commands of a batch, and with the callback for their result.

        It must call that callback; calls after the first one are ignored.
        """
        self._propose_batch = propose_batch
        self._proposals: list[Proposal] = []

    def add(self, command: Command, on_result: CommitCallback) -> None:
        """Add a command to the batch; `on_result` is called later, with whether it was committed.

        A command that cannot be encoded, or is too large for a message, is logged and not proposed.
        """
        loop = asyncio.get_running_loop()
        plain = to_plain_value(command)
        try:
            check_command(plain)
        except CommandRejectedError as error:
            log_line(f"store: a command is not proposed: {error}")
            loop.call_soon(on_result, False)
            return
        if not self._proposals:
            loop.call_soon(self._flush)
        self._proposals.append(Proposal(plain, on_result))

    def _flush(self) -> None:
        proposals, self._proposals = self._proposals, []
        unreported = [proposal.on_result for proposal in proposals]
        loop = asyncio.get_running_loop()

        def on_result(committed: bool) -> None:
            """Report to each proposal, once and never within the call that proposes."""
            callbacks = unreported[:]
            unreported.clear()
            for callback in callbacks:
                loop.call_soon(callback, committed)

        self._propose_batch([proposal.command for proposal in proposals], on_result)


def to_plain_value(command: Command) -> PlainValue:
    """Return a command as the log contains it: a struct becomes a plain value."""
    if isinstance(command, msgspec.Struct):
        return msgspec.to_builtins(command, builtin_types=(bytes,))
    return command
