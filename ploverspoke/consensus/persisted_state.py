"""What a replica must keep across restarts (Raft paper, figure 2), and what is written of it in one step."""

from dataclasses import dataclass, field

from .log import Entry, Log, Snapshot
from .membership import Members
from .wire_messages import Message


@dataclass
class PersistedState:
    """What a storage gives back at start."""

    members: Members = field(default_factory=dict)  # of the snapshot, or those that the cluster began with
    current_term: int = 0
    voted_for: str = ""  # "": no vote in this term
    log: Log = field(default_factory=Log)
    snapshot_data: bytes = b""
    storage_id: str = ""  # the identity of the disk: another one has forgotten what this one promised


class WriteBatch:
    """What is to be written in one synced step, and the messages that may be sent after it."""

    def __init__(self) -> None:
        """Begin an empty batch."""
        self.vote: tuple[int, str] | None = None  # term, and for whom
        self.snapshot: Snapshot | None = None  # received from a leader: takes the place of all entries
        self.truncate_from = 0  # drop the entries from there on before those below are added; 0: none
        self.entries: list[Entry] = []
        self.messages: list[tuple[str, Message]] = []  # with the id of the receiver

    def has_writes(self) -> bool:
        """Whether anything is to be written, so that the messages have to wait for a sync."""
        return self.vote is not None or self.snapshot is not None or bool(self.truncate_from or self.entries)

    def is_empty(self) -> bool:
        """Whether there is neither anything to write nor anything to send."""
        return not self.messages and not self.has_writes()
