"""Errors of the replicated store."""


class StoreError(Exception):
    """Base class of the errors that `ploverspoke.store` raises."""


class MalformedCommandError(StoreError):
    """A command of the log has a known verb and is not followed by the fields of that verb."""

    def __init__(self, verb: str, reason: str) -> None:
        """Keep the verb as it is stored, and what is wrong with the fields."""
        super().__init__(f"the command {verb!r} cannot be read: {reason}")
        self.verb = verb
        self.reason = reason


class MalformedSnapshotError(StoreError):
    """A snapshot of the state cannot be read."""

    def __init__(self, reason: str) -> None:
        """Keep what is wrong with it."""
        super().__init__(f"the snapshot cannot be read: {reason}")
        self.reason = reason
