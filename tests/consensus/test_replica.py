"""A replica without I/O: what it does with committed entries."""

from ploverspoke.consensus.log import Entry, EntryKind, MalformedEntryError, PlainValue
from ploverspoke.consensus.membership import Member
from ploverspoke.consensus.persisted_state import PersistedState
from ploverspoke.consensus.replica import Replica, Runtime


class ListOfCommands:
    """A state machine that cannot read the command "unreadable"."""

    def __init__(self) -> None:
        self.applied: list[PlainValue] = []

    def apply(self, index: int, command: PlainValue) -> None:
        if command == "unreadable":
            raise MalformedEntryError("of a later version")
        self.applied.append(command)

    def take_snapshot(self) -> bytes:
        return b""

    def restore_snapshot(self, data: bytes) -> None:
        self.applied.clear()


def test_an_unreadable_entry_is_skipped_and_logged_and_the_next_one_is_applied() -> None:
    # Guards against replicas that all stop for good at one entry, and against one that stops in silence.
    lines: list[str] = []
    state = ListOfCommands()
    runtime = Runtime(lambda: 0, lambda: 0.0, lambda to, message: None, lines.append)
    persisted = PersistedState(members={"r0": Member("r0", "127.0.0.1:1", "127.0.0.1:2", votes=True)})
    replica = Replica("r0", persisted, state, runtime)
    for index, command in enumerate(("one", "unreadable", "two"), start=1):
        replica.on_entry_committed(Entry(index, 1, EntryKind.DATA, command))
    assert state.applied == ["one", "two"] and replica.applied_index == 3
    assert lines == ["store: entry 2 is skipped: of a later version"]
