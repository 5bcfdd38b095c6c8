"""Histories of runs."""

from pathlib import Path

from ploverspoke.testbed.experiment_files.durations import MILLISECOND
from ploverspoke.testbed.processes.history import History, events_around, read_history


def test_history_is_read_up_to_its_last_complete_line(tmp_path: Path) -> None:
    path = tmp_path / "a.history"
    history = History(path, "a")
    for number in range(50):
        history.add("step", number, at=number * MILLISECOND)
    with path.open("ab") as file:
        file.write(b'[51,"a"')
    events = list(read_history(path))
    assert [event.detail for event in events] == list(range(50))
    assert events_around(events, 10 * MILLISECOND, 3)[0].startswith("    -1.000 ms  a  step  9")
