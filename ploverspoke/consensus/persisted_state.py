"""The state that a replica keeps across restarts (Raft paper, figure 2), and the batches that change it."""

from dataclasses import dataclass, field

from .log import Entry, Log, Snapshot
from .membership import Members
from .wire_messages import Message


@dataclass
class PersistedState:
    """The state that the storage returns at start."""

    members: Members = field(default_factory=dict)  # of the snapshot, or the initial ones
    current_term: int = 0
    voted_for: str = ""  # "": no vote in the current term
    log: Log = field(default_factory=Log)
    snapshot_data: bytes = b""
    # Identifies the storage. A replaced one has lost the votes and entries that this one acknowledged.
    storage_id: str = ""


class WriteBatch:
    """The changes to write in one synced step, and the messages to send after it."""

    def __init__(self) -> None:
        """Create an empty batch."""
        self.vote: tuple[int, str] | None = None  # the term, and the replica voted for
        self.snapshot: Snapshot | None = None  # received from a leader; replaces all stored entries
        self.truncate_from = 0  # delete stored entries from this index on before adding `entries`; 0: none
        self.entries: list[Entry] = []
        self.messages: list[tuple[str, Message]] = []  # with the receiver's id

    def has_writes(self) -> bool:
        """Whether there are changes to write, so that the messages have to wait for a sync."""
        return self.vote is not None or self.snapshot is not None or bool(self.truncate_from or self.entries)

    def is_empty(self) -> bool:
        """Whether there is nothing to write and nothing to send."""
        return not self.messages and not self.has_writes()
