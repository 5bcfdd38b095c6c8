"""A small experiment, which the tests of the testbed change as they need."""

from typing import Any

from ploverspoke.testbed.experiment_files.experiment import Experiment
from ploverspoke.testbed.experiment_files.reader import parse_experiment

SMALL_EXPERIMENT: dict[str, Any] = {
    "name": "small",
    "lasts": "6s",
    "grades": [
        {"name": "look", "expected_time": "300ms", "abandon_time": "1s", "overdue_benefit": 0.2},
        {
            "name": "book",
            "repeat": "irreversible",
            "expected_time": "400ms",
            "abandon_time": "1s",
            "benefit": 3.0,
        },
    ],
    "workers": [{"count": 4}],
    "traffic": [{"rate": 60.0}],
}


def small_experiment(**changes: Any) -> Experiment:
    """Parse SMALL_EXPERIMENT (4 workers, 60 requests/s for 6 s) with the given top-level keys changed."""
    return parse_experiment({**SMALL_EXPERIMENT, **changes})
