"""Errors of this package: the input violates the simulator's protocol. Each of them ends the adapter."""


class CodecError(Exception):
    """Base of the errors below; `reason` does not include the line number."""

    def __init__(self, reason: str) -> None:
        """Store the reason."""
        super().__init__(reason)
        self.reason = reason


class LineSyntaxError(CodecError):
    """A line is not a valid message."""


class MissingFieldError(CodecError):
    """A message lacks a required field."""

    def __init__(self, field: str) -> None:
        """Store the name of the field."""
        super().__init__(f"required field {field} is missing")
        self.field = field


class FieldValueError(CodecError):
    """The value of a field has the wrong type, or is not one of the allowed values."""

    def __init__(self, field: str, reason: str) -> None:
        """Store the name of the field and the reason."""
        super().__init__(reason)
        self.field = field


class SettingsError(CodecError):
    """The settings of a dispatcher are invalid."""


class UnknownMessageError(CodecError):
    """There is no message with this name."""

    def __init__(self, name: str) -> None:
        """Store the name."""
        super().__init__(f"unknown message {name}")
        self.name = name


class UnexpectedMessageError(CodecError):
    """Another message was expected."""

    def __init__(self, expected: str, name: str) -> None:
        """Store the names of the expected and of the received message."""
        super().__init__(f"expected {expected}, got {name}")
        self.expected = expected
        self.name = name


class UnknownDispatcherError(CodecError):
    """A message is addressed to a dispatcher that was not started, or was stopped."""

    def __init__(self, name: str, dispatcher: int) -> None:
        """Store the name of the message and the number of the dispatcher."""
        super().__init__(f"{name} for dispatcher {dispatcher}, which is not up")
        self.name = name
        self.dispatcher = dispatcher


class UnknownTableError(CodecError):
    """A message refers to an endpoint table that was not sent."""

    def __init__(self, number: int) -> None:
        """Store the number of the table."""
        super().__init__(f"endpoint table {number} was not sent")
        self.number = number


class UnexpectedEndError(CodecError):
    """The input ends inside a batch."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__("the input ends inside a batch")
