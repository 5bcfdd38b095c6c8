"""The log in memory: what one message may carry."""

import msgspec

from ploverspoke.consensus.log import Entry, EntryKind, Log
from ploverspoke.consensus.replication import MAX_BYTES_PER_MESSAGE, MAX_ENTRIES_PER_MESSAGE


def test_entries_of_one_message_fit_its_limit_also_if_their_commands_are_lists() -> None:
    # Guards against a store that stopped answering when a follower was back: a list counted as 64 bytes, so
    # 512 answers of 24 KB went into one message, which exceeded the limit of a frame.
    log = Log()
    log.append(
        [Entry(index, 1, EntryKind.DATA, ["answer", f"r{index}", "x" * 24_000]) for index in range(1, 513)]
    )
    entries = log.entries_after(0, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE)
    assert len(entries) > 1 and len(msgspec.msgpack.encode(entries)) <= MAX_BYTES_PER_MESSAGE
    larger_than_limit = Entry(1, 1, EntryKind.DATA, ["x" * (2 * MAX_BYTES_PER_MESSAGE)])
    log.append([larger_than_limit])
    assert log.entries_after(512, 512, MAX_BYTES_PER_MESSAGE) == [larger_than_limit]
