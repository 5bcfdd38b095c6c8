"""The workers that each fault of an experiment affects."""

from ..experiment_files.experiment import Experiment
from ..experiment_files.fault_tables import Fault
from .random_streams import RandomStreams


def fault_targets(experiment: Experiment, seed: int) -> list[list[str]]:
    """Return the names of each fault's workers; a share of workers is drawn from the seed."""
    return [_workers_of(experiment, fault, number, seed) for number, fault in enumerate(experiment.faults)]


def _workers_of(experiment: Experiment, fault: Fault, number: int, seed: int) -> list[str]:
    if fault.workers or not fault.affects_workers:
        return list(fault.workers)
    groups = [group for group in experiment.workers for _ in range(group.count)]
    candidates = [
        name
        for name, group in zip(experiment.worker_names(), groups, strict=True)
        if fault.zone in ("", group.zone) and fault.machine_kind in ("", group.machine_kind)
    ]
    if not fault.share:
        return candidates
    count = max(1, round(fault.share * len(candidates)))
    generator = RandomStreams(seed).generator(f"trouble {number}")
    chosen = generator.choice(len(candidates), count, replace=False)
    return [candidates[index] for index in sorted(chosen)]
