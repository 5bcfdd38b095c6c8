"""The errors of this package; each has attributes for the details of its message."""

from collections.abc import Sequence


class LeaseError(Exception):
    """Base of the errors of this package."""


class LeaseMessageError(LeaseError):
    """A malformed message was received over a connection."""

    def __init__(self, sender: str, reason: str) -> None:
        """`sender` is the kind of process that sent it."""
        super().__init__(f"malformed message from a {sender}: {reason}")
        self.sender = sender
        self.reason = reason


class HolderIdError(LeaseError):
    """The greeting of a client has no valid holder id."""

    def __init__(self, holder: object) -> None:
        """`holder` is the invalid value, None if there was none."""
        super().__init__("the greeting has no valid holder id")
        self.holder = holder


class NoLeaderError(LeaseError):
    """No lease server answered as the leader."""

    def __init__(self, reasons: Sequence[str]) -> None:
        """`reasons` has one sentence for each lease server that was asked."""
        super().__init__(f"no lease server leads: {'; '.join(reasons)}")
        self.reasons = list(reasons)


class NoReplyError(LeaseError):
    """The admin address of a dispatcher did not reply, or replied with an error."""

    def __init__(self, address: str, reason: str) -> None:
        """`reason` is the connection error, or the first line of the reply."""
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason


class LeaseLostError(LeaseError):
    """A lease was lost, or had too little time left, before the work under it could begin."""

    def __init__(self, name: str) -> None:
        """`name` is the name of the lease."""
        super().__init__("the lease did not last")
        self.name = name
