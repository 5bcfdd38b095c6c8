"""The context that all models of one run share."""

from typing import NamedTuple

from ..experiment_files.experiment import Experiment
from .event_records import EventLog
from .random_streams import RandomStreams
from .virtual_clock import Clock


class RunContext(NamedTuple):
    """One run of one experiment."""

    experiment: Experiment
    seed: int
    clock: Clock
    event_log: EventLog

    def streams(self) -> RandomStreams:
        """Return the random streams of the run's seed."""
        return RandomStreams(self.seed)
