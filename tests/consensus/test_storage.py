"""The disk, the frames, the ledger and what is recovered: each failure that they are built for."""

import sqlite3
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ploverspoke.consensus.clock import ReplicatedClock
from ploverspoke.consensus.framing import LONGEST, FrameCodec, FrameError
from ploverspoke.consensus.log import Entry
from ploverspoke.consensus.membership import Members, differ_by_one, fingerprint
from ploverspoke.consensus.replica import WriteBatch
from ploverspoke.consensus.storage import ClusterMismatchError, CorruptionError, ReplicaStorage, StorageError
from ploverspoke.store import state_machine as ledger_module
from ploverspoke.store.recovery import Fate, answer_when_over, fate
from ploverspoke.store.state_machine import ANSWER, CONFIGURE, INTEND, OUTCOME, TAKE, RequestStateMachine

MEMBERS: Members = {"a.1": ["a", "", "", True], "b.1": ["b", "", "", True], "c.1": ["c", "", "", True]}
SECRET = b"sixteen bytes it has"


def disk_at(folder: Path) -> ReplicaStorage:
    disk = ReplicaStorage(folder)
    disk.open()
    if not disk.me:
        disk.begin("a.1", "mark", MEMBERS)
    return disk


def batch(first: int, count: int, size: int = 10, **more: Any) -> WriteBatch:
    made = WriteBatch()
    made.entries = [Entry(first + n, 1, "data", [f"e{first + n}", "x" * size]) for n in range(count)]
    for key, value in more.items():
        setattr(made, key, value)
    return made


def test_what_was_written_is_there_after_a_restart(tmp_path: Path) -> None:
    disk = disk_at(tmp_path)
    disk.write(batch(1, 5, vote=(3, "b.1")))
    disk.write(batch(4, 3, cut_from=4))
    name = disk.disk
    disk.close()
    again = disk_at(tmp_path)
    assert (again.term, again.vote, again.log.last_index(), again.disk) == (3, "b.1", 6, name)
    again.keep_snapshot(5, 1, MEMBERS, b"state")
    again.close()
    last = disk_at(tmp_path)
    assert (last.log.snapshot_index, last.log.last_index(), last.state) == (5, 6, b"state")
    assert last.members == MEMBERS


def test_a_batch_that_was_torn_off_is_not_there_in_part(tmp_path: Path) -> None:
    disk = disk_at(tmp_path)
    disk.write(batch(1, 3))
    disk.write(batch(4, 200, size=500))
    wal = tmp_path / "store.db-wal"
    kept = wal.read_bytes()
    base = (tmp_path / "store.db").read_bytes()
    disk.close()
    found = set()
    for cut in (len(kept), len(kept) - 1, len(kept) - 5000, len(kept) // 2, 0):
        folder = tmp_path / f"cut{cut}"
        folder.mkdir()
        (folder / "store.db").write_bytes(base)
        (folder / "store.db-wal").write_bytes(kept[:cut])
        try:
            torn = ReplicaStorage(folder)
            torn.open()
            found.add(torn.log.last_index())
            torn.close()
        except (CorruptionError, StorageError):
            found.add(0)
    assert found <= {203, 3, 0} and 203 in found and 3 in found


@pytest.mark.parametrize(
    "what", ["update entries set body = x'00' where at = 2", "delete from entries where at = 2"]
)
def test_damage_is_found_at_start(what: str, tmp_path: Path) -> None:
    disk = disk_at(tmp_path)
    disk.write(batch(1, 3))
    disk.close()
    with sqlite3.connect(tmp_path / "store.db") as db:
        db.execute(what)
    with pytest.raises(CorruptionError):
        ReplicaStorage(tmp_path).open()


def test_a_full_disk_acknowledges_nothing_and_serves_again_when_there_is_room(tmp_path: Path) -> None:
    disk = disk_at(tmp_path)
    disk.most_pages = 40
    disk.reopen()
    written = 0
    with pytest.raises(StorageError):
        while True:
            disk.write(batch(written + 1, 10, size=2000))
            written += 10
    disk.most_pages = 0
    disk.reopen()
    assert disk.log.last_index() == written > 0
    disk.write(batch(written + 1, 10))
    assert disk_last(disk, tmp_path) == written + 10


def disk_last(disk: ReplicaStorage, folder: Path) -> int:
    disk.close()
    return disk_at(folder).log.last_index()


def test_another_replicas_folder_is_refused(tmp_path: Path) -> None:
    disk = disk_at(tmp_path)
    with pytest.raises(ClusterMismatchError):
        disk.begin("b.1", "mark", MEMBERS)


# ---- FrameCodec ----


def pair(other_secret: bytes = SECRET) -> tuple[FrameCodec, FrameCodec]:
    one, other = (
        FrameCodec(SECRET, {"id": "a.1", "store": "s"}),
        FrameCodec(other_secret, {"id": "b.1", "store": "s"}),
    )
    other.decode(one.greeting_frame())
    one.decode(other.greeting_frame())
    return one, other


def test_frames_arrive_whole_however_they_are_cut() -> None:
    one, other = pair()
    sent = [{"n": n, "d": b"x" * n} for n in range(40)]
    data = b"".join(one.encode(message) for message in sent)
    assert [m for at in range(0, len(data), 7) for m in other.decode(data[at : at + 7])] == sent
    assert other.peer_greeting is not None and other.peer_greeting["id"] == "a.1"


def test_forged_changed_repeated_and_left_out_frames_are_refused() -> None:
    with pytest.raises(FrameError):
        pair(b"another secret, as long")
    one, other = pair()
    first, second = one.encode([1]), one.encode([2])
    for data in (first[:-1] + b"\xff", second, (LONGEST + 1).to_bytes(4, "big") + bytes(40)):
        _, fresh = pair()
        with pytest.raises(FrameError):
            fresh.decode(data)
    other.decode(first)
    with pytest.raises(FrameError):
        other.decode(first)
    mirror = FrameCodec(SECRET, {"id": "a.1", "store": "s"})
    with pytest.raises(FrameError):
        mirror.decode(mirror.greeting_frame())


# ---- Members, ledger, recovery ----


def test_only_one_voter_may_change_at_a_time() -> None:
    learner: Members = {**MEMBERS, "d.1": ["d", "", "", False]}
    assert differ_by_one(MEMBERS, learner) and differ_by_one(learner, {**learner, "d.1": ["d", "", "", True]})
    assert not differ_by_one(MEMBERS, {"a.1": MEMBERS["a.1"]})
    assert fingerprint("x", MEMBERS) != fingerprint("x", {"a.1": MEMBERS["a.1"], "b.1": MEMBERS["b.1"]})


def filled(*commands: list[Any]) -> RequestStateMachine:
    ledger = RequestStateMachine()
    for at, command in enumerate(commands):
        ledger.apply(at, command)
    return ledger


def test_the_first_answer_stands_and_survives_a_snapshot() -> None:
    ledger = filled(
        [TAKE, "r1", 1, b"d", 100, 1],
        [ANSWER, "r1", "satisfied", "yes", b"d", 2],
        [ANSWER, "r1", "abandoned", "", b"d", 3],
        [TAKE, "r1", 1, b"d", 100, 4],
        [CONFIGURE, "{}", "me", 5],
        ["a verb of a later version", 1, 2],
    )
    again = RequestStateMachine()
    again.load(ledger.dump())
    assert (again.answered["r1"].how, again.open, again.configurations[-1].version) == ("satisfied", {}, 1)
    assert msgspec.msgpack.encode(ledger.answered["r1"]) == msgspec.msgpack.encode(again.answered["r1"])


def test_answers_are_bounded_and_open_ones_never_dropped() -> None:
    ledger = RequestStateMachine(most_answers=10, most_bytes=100)
    ledger.apply(0, [TAKE, "open", 0, b"", 1 << 60, 0])
    for n in range(30):
        ledger.apply(n, [ANSWER, f"r{n}", "satisfied", "x" * 20, b"", n])
    assert len(ledger.answered) <= 10 and ledger.result_bytes <= 100 and "open" in ledger.open
    late = 30 + ledger_module.KEPT_FOR + 1
    ledger.apply(31, [ANSWER, "last", "nacked", "", b"", late])
    assert list(ledger.answered) == ["last"]


def test_the_stores_time_goes_on_with_each_replica_and_never_jumps() -> None:
    here = [1_000, 5]
    clocks = [ReplicatedClock(lambda n=n: here[n]) for n in range(2)]  # type: ignore[misc]
    ledgers = [RequestStateMachine(), RequestStateMachine()]
    for ledger, clock in zip(ledgers, clocks, strict=True):
        ledger.on_time = clock.seen
    here[0] += 40  # the leader has run for longer
    for ledger in ledgers:
        ledger.apply(1, [TAKE, "r", 0, b"", clocks[0].now() + 100, clocks[0].now()])
        ledger.apply(2, [INTEND, "r", "w", 0, clocks[0].now(), 777])
    assert [clock.now() for clock in clocks] == [40, 40]
    here[1] += 10  # nobody leads for a while; then the other does, behind nothing that was written
    assert clocks[1].now() == 50 and clocks[0].now() == 40
    ledgers[0].apply(3, [ANSWER, "r", "abandoned", "", b"", clocks[1].now()])
    assert clocks[0].now() == 50
    again, late = RequestStateMachine(), ReplicatedClock(lambda: 0)
    again.on_time = late.seen
    again.load(ledgers[0].dump())
    assert late.now() == 50


CASES = [
    ("irreversible", [], Fate.FREE, "nacked"),
    ("irreversible", [["w0", ""]], Fate.LOST, "abandoned"),
    ("irreversible", [["w0", "full"]], Fate.FREE, "nacked"),
    ("irreversible", [["w0", "unreachable"], ["w1", ""]], Fate.LOST, "abandoned"),
    ("labelled", [["w0", "timed_out"], ["w1", ""]], Fate.BOUND, "nacked"),
    ("redoable", [["w0", ""]], Fate.FREE, "nacked"),
]


@pytest.mark.parametrize(("repeat", "hand_offs", "wanted", "answer"), CASES)
def test_what_was_left_open_is_judged_by_its_intents(
    repeat: str, hand_offs: list[list[str]], wanted: Fate, answer: str
) -> None:
    ledger = filled([TAKE, "r", 0, b"", 100, 1])
    for index, (worker, outcome) in enumerate(hand_offs):
        ledger.apply(0, [INTEND, "r", worker, index, 5])
        if outcome:
            ledger.apply(0, [OUTCOME, "r", index, outcome])
    found = fate(ledger.open["r"], repeat)
    assert (found.fate, found.hand_offs) == (wanted, len(hand_offs))
    assert answer_when_over(ledger.open["r"], repeat, True) == answer
    if wanted is Fate.BOUND:
        assert answer_when_over(ledger.open["r"], repeat, False) == "abandoned"
    if hand_offs == [["w0", "full"]]:
        assert fate(ledger.open["r"], repeat, full_may_have_run=True).fate is Fate.LOST
        assert answer_when_over(ledger.open["r"], repeat, True, full_may_have_run=True) == "abandoned"
