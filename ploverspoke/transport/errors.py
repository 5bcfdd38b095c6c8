"""Errors of this package; socket errors are raised as OSError."""


class TransportError(Exception):
    """Base of the errors below."""


class SlotTableFullError(TransportError):
    """All `capacity` slots of a table are in use."""

    def __init__(self, capacity: int) -> None:
        """Store the number of slots."""
        super().__init__(f"all {capacity} slots are in use")
        self.capacity = capacity
