"""Converts the outages of dispatchers in an experiment into steps of a fault timeline."""

from ..experiment_files.durations import Duration
from ..experiment_files.experiment import Experiment
from ..experiment_files.fault_timeline import FaultStep
from ..models.dispatcher_outages import OutageKind, dispatcher_outages

# Replacements of dispatchers have no step: experiments with them run on virtual time only.
STEP_KINDS = {OutageKind.KILLED: "kill", OutageKind.PAUSED: "pause", OutageKind.RESTARTED: "restart"}


def outage_steps(experiment: Experiment, seed: int) -> list[FaultStep]:
    """Return the outages of dispatchers and the other timeline steps of an experiment, ordered by time."""
    outages = [
        FaultStep(
            start=Duration(outage.start),
            kind=STEP_KINDS[outage.kind],
            processes=[f"d{outage.dispatcher}"],
            duration=Duration(outage.end - outage.start),
        )
        for outage in dispatcher_outages(experiment, seed)
    ]
    return sorted([*outages, *experiment.timeline], key=lambda step: step.start)
