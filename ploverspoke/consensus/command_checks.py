"""Checks of commands before they are proposed: each must fit into a message and into storage."""

import msgspec

from .errors import ConsensusError
from .framing import MAX_COMMAND_BYTES

_encoder = msgspec.msgpack.Encoder()


class CommandRejectedError(ConsensusError):
    """A command cannot be proposed, as no replica could store or send it."""


class CommandTooLargeError(CommandRejectedError):
    """A command exceeds the size limit."""

    def __init__(self, size: int) -> None:
        """`size` is the encoded size in bytes."""
        super().__init__(f"a command of {size} bytes exceeds the limit of {MAX_COMMAND_BYTES}")
        self.size = size


class CommandEncodeError(CommandRejectedError):
    """A command holds a value that msgpack cannot encode, as half of a surrogate pair."""

    def __init__(self, reason: str) -> None:
        """Keep the reason that the encoder gives."""
        super().__init__(f"a command cannot be encoded: {reason}")
        self.reason = reason


def check_command(command: object) -> None:
    """Check a plain command. Raises CommandTooLargeError or CommandEncodeError."""
    try:
        size = len(_encoder.encode(command))
    except (ValueError, TypeError, OverflowError) as error:
        raise CommandEncodeError(str(error)) from error
    if size > MAX_COMMAND_BYTES:
        raise CommandTooLargeError(size)
