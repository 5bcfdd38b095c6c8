"""Errors of the replicated store."""

from ploverspoke.consensus.log import MalformedEntryError


class StoreError(Exception):
    """Base class of the errors that `ploverspoke.store` raises."""


class MalformedCommandError(StoreError, MalformedEntryError):
    """A command in the log has a known verb, but its fields are not those of that verb."""

    def __init__(self, verb: str, reason: str) -> None:
        """`verb` is the stored verb; `reason` says why the fields are invalid."""
        super().__init__(f"the command {verb!r} cannot be read: {reason}")
        self.verb = verb
        self.reason = reason


class MalformedSnapshotError(StoreError):
    """A snapshot of the state cannot be read."""

    def __init__(self, reason: str) -> None:
        """`reason` says why it cannot be read."""
        super().__init__(f"the snapshot cannot be read: {reason}")
        self.reason = reason
