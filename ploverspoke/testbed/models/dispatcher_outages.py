"""Outages of dispatchers in an experiment; random outages are drawn from the seed."""

from enum import StrEnum
from typing import NamedTuple

from ..experiment_files.experiment import Experiment
from ..experiment_files.fault_tables import (
    DispatcherKilled,
    DispatcherPaused,
    DispatcherReplaced,
    DispatcherRestarted,
    Fault,
    NamedDispatcherFault,
    RandomDispatcherOutages,
)
from .random_streams import RandomDraws, RandomStreams


class OutageKind(StrEnum):
    """The kind of outage of a dispatcher process."""

    KILLED = "killed"
    PAUSED = "paused"
    RESTARTED = "restarted"
    REPLACED = "replaced"


class DispatcherOutage(NamedTuple):
    """One outage of one dispatcher; times are in ns from the start of the run."""

    start: int
    end: int
    dispatcher: int
    kind: OutageKind


OUTAGE_KINDS: dict[type[Fault], OutageKind] = {
    DispatcherKilled: OutageKind.KILLED,
    DispatcherPaused: OutageKind.PAUSED,
    DispatcherRestarted: OutageKind.RESTARTED,
    DispatcherReplaced: OutageKind.REPLACED,
}


def dispatcher_outages(experiment: Experiment, seed: int) -> list[DispatcherOutage]:
    """Return all outages of dispatchers, sorted by their start."""
    outages: list[DispatcherOutage] = []
    for number, fault in enumerate(experiment.faults):
        if isinstance(fault, NamedDispatcherFault):
            end, kind = fault.start + fault.duration, OUTAGE_KINDS[type(fault)]
            outages += [
                DispatcherOutage(fault.start, end, dispatcher, kind) for dispatcher in fault.dispatchers
            ]
        elif isinstance(fault, RandomDispatcherOutages):
            outages += _draw_outages(experiment, fault, RandomStreams(seed).draws(f"outages {number}"))
    return sorted(outages)


def _draw_outages(
    experiment: Experiment, fault: RandomDispatcherOutages, draws: RandomDraws
) -> list[DispatcherOutage]:
    outages = []
    interval_start: int = fault.start
    while interval_start + fault.downtime <= fault.start + fault.duration:
        dispatcher = draws.below(experiment.dispatchers.count)
        start = interval_start + int(draws.fraction() * (fault.interval - fault.downtime))
        kind = OutageKind.PAUSED if draws.happens(fault.pause_share) else OutageKind.KILLED
        outages.append(DispatcherOutage(start, start + fault.downtime, dispatcher, kind))
        interval_start += fault.interval
    return outages
