"""Tests of fault timelines: the checks of their rows, and randomly drawn timelines."""

from typing import Any

import msgspec
import pytest

from ploverspoke.testbed.experiment_files.durations import MILLISECOND, SECOND, Duration
from ploverspoke.testbed.experiment_files.fault_timeline import FaultStep, TimelineError, check_timeline
from ploverspoke.testbed.processes.drawn_timeline import FaultWeight, draw_timeline


@pytest.mark.parametrize(
    ("row", "key"),
    [
        ({"what": "melt"}, "timeline[0].what"),
        ({"what": "kill"}, "timeline[0].who"),
        ({"what": "kill", "who": ["z"]}, "timeline[0].who"),
        ({"what": "cut", "to": ["z"]}, "timeline[0].to"),
        ({"what": "pause", "who": ["a"]}, "timeline[0].lasts"),
        ({"what": "slow"}, "timeline[0].rate"),
        ({"what": "loss", "share": 1.5}, "timeline[0].share"),
        ({"what": "delay"}, "timeline[0].delay"),
    ],
)
def test_invalid_row_is_rejected_with_its_key(row: dict[str, Any], key: str) -> None:
    step = msgspec.convert({"at": 0, **row}, FaultStep, dec_hook=lambda kind, value: kind(value))
    with pytest.raises(TimelineError) as caught:
        check_timeline([step], ["a"])
    assert str(caught.value).startswith(key)


def test_drawn_timeline_depends_on_its_seed_alone_and_ends_without_faults() -> None:
    names = ["a", "b", "c"]
    weights = [
        FaultWeight(
            kind=kind,
            processes=names,
            interval=Duration(SECOND),
            durations=[Duration(100 * MILLISECOND), Duration(9 * SECOND)],
        )
        for kind in ("kill", "pause", "cut", "rough", "wall jumps", "slow", "delay", "double")
    ]
    steps = draw_timeline(weights, 60 * SECOND, 1, calm=10 * SECOND)
    assert steps == draw_timeline(weights, 60 * SECOND, 1, calm=10 * SECOND)
    assert steps != draw_timeline(weights, 60 * SECOND, 2)
    assert draw_timeline(weights, 60 * SECOND, 1, calm=10 * SECOND) != draw_timeline(weights, 60 * SECOND, 2)
    assert check_timeline(steps, names) == steps
    assert len(steps) > 200 and all(step.start + step.duration <= 50 * SECOND for step in steps)
