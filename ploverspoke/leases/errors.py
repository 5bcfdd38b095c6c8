"""The errors of this package; each holds what went wrong in fields beside its sentence."""

from collections.abc import Sequence


class LeaseError(Exception):
    """Base of the errors of this package."""


class LeaseMessageError(LeaseError):
    """The other side of a connection sent a message of another form."""

    def __init__(self, sender: str, reason: str) -> None:
        """`sender` is what kind of process sent it."""
        super().__init__(f"no message of a {sender}: {reason}")
        self.sender = sender
        self.reason = reason


class HolderIdError(LeaseError):
    """A greeting names no holder."""

    def __init__(self, holder: object) -> None:
        """`holder` is what stood in its place."""
        super().__init__("a greeting without the id of a holder")
        self.holder = holder


class NoLeaderError(LeaseError):
    """No lease server answers as the leader."""

    def __init__(self, reasons: Sequence[str]) -> None:
        """`reasons` has one sentence for each lease server that was asked."""
        super().__init__(f"no lease server leads: {'; '.join(reasons)}")
        self.reasons = list(reasons)


class NoReplyError(LeaseError):
    """The admin address of a dispatcher did not answer, or not with success."""

    def __init__(self, address: str, reason: str) -> None:
        """`reason` is the error, or the first line of the answer."""
        super().__init__(f"{address}: {reason}")
        self.address = address
        self.reason = reason


class LeaseLostError(LeaseError):
    """A lease did not last for what was to be done under it."""

    def __init__(self, name: str) -> None:
        """`name` is the lease's."""
        super().__init__("the lease did not last")
        self.name = name
