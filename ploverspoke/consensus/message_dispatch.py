"""Passes each message from another replica to the handler for its type."""

from collections.abc import Callable
from typing import TypeVar, cast

from .wire_messages import Message, RaftMessage

MessageT = TypeVar("MessageT", bound=RaftMessage)


class MessageDispatcher:
    """The message handlers, by message type."""

    def __init__(self) -> None:
        """Start without handlers."""
        self._handlers: dict[type[RaftMessage], Callable[[str, Message], None]] = {}

    def register(self, message_type: type[MessageT], handler: Callable[[str, MessageT], None]) -> None:
        """Call `handler` with the sender's replica id and each message of exactly this type."""
        self._handlers[message_type] = cast(Callable[[str, Message], None], handler)

    def dispatch(self, sender: str, message: Message) -> None:
        """Call the handler for the message's type. Raises KeyError if none is registered."""
        self._handlers[type(message)](sender, message)
