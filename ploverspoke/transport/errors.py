"""Errors of this package; socket errors are raised as OSError."""


class TransportError(Exception):
    """Base of the errors below."""


class ShortTransferError(OSError):
    """Fewer bytes than wanted were read from or written to a storage."""

    def __init__(self, offset: int, wanted: int, done: int) -> None:
        """Store the offset and the numbers of bytes."""
        super().__init__(f"{done} of {wanted} bytes at offset {offset}")
        self.offset, self.wanted, self.done = offset, wanted, done


class StorageBusyError(OSError):
    """Another process has locked a storage for too long."""


class SlotTableFullError(TransportError):
    """All `capacity` slots of a table are in use."""

    def __init__(self, capacity: int) -> None:
        """Store the number of slots."""
        super().__init__(f"all {capacity} slots are in use")
        self.capacity = capacity
