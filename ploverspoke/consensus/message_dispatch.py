"""Hands each message of another replica to the handler of its type."""

from collections.abc import Callable
from typing import TypeVar, cast

from .wire_messages import Message, RaftMessage

MessageT = TypeVar("MessageT", bound=RaftMessage)


class MessageDispatcher:
    """The handlers of messages, by message type."""

    def __init__(self) -> None:
        """Begin without handlers."""
        self._handlers: dict[type[RaftMessage], Callable[[str, Message], None]] = {}

    def register(self, message_type: type[MessageT], handler: Callable[[str, MessageT], None]) -> None:
        """Have `handler` called with the sender's replica id and each message of exactly that type."""
        self._handlers[message_type] = cast(Callable[[str, Message], None], handler)

    def dispatch(self, sender: str, message: Message) -> None:
        """Call the handler of the message's type. Raises KeyError where none is registered."""
        self._handlers[type(message)](sender, message)
