"""Runs an experiment: each policy with each seed, in parallel on virtual time, in turn on sockets."""

import gc
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import contextmanager
from multiprocessing import get_context
from os import sched_getaffinity
from pathlib import Path
from statistics import fmean
from typing import Any, NamedTuple

import msgspec

from ..checkers.request_audit import SOCKETS_TOLERANCE, VIRTUAL_TOLERANCE, audit_requests
from ..experiment_files.errors import ExperimentError
from ..experiment_files.experiment import Experiment
from ..models.event_records import write_events
from ..reports.experiment_result import FORMAT, OWN_POLICY, Driver, Result
from ..reports.scores import RunScore, encode_json, score_run


def run_virtual(experiment: Experiment, seed: int, policy: str, events_path: Path | None = None) -> RunScore:
    """Run once on virtual time, and write the events to `events_path` if it is given."""
    from ..models.virtual_run import run_virtual_time

    began_at = time.perf_counter()
    with _without_garbage_collection():
        events = run_virtual_time(experiment, seed, policy)
    elapsed = time.perf_counter() - began_at
    if events_path is not None:
        write_events(events, events_path)
    findings = audit_requests(experiment, events, VIRTUAL_TOLERANCE)
    score = score_run(experiment, policy, seed, events, findings)
    score.ran_for_s = elapsed
    return score


@contextmanager
def _without_garbage_collection() -> Iterator[None]:
    """Disable the cyclic garbage collector: all records of a run stay in use, and scanning them is slow."""
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def run_sockets(
    experiment: Experiment,
    seed: int,
    events_path: Path | None,
    on_report: Callable[[Any], None] | None = None,
) -> RunScore:
    """Run the real program once on loopback sockets; `on_report` gets the fakes' reports as they come."""
    from .socket_run import run_on_sockets

    run = run_on_sockets(experiment, seed, on_report)
    if events_path is not None:
        write_events(run.events, events_path)
    findings = audit_requests(experiment, run.events, SOCKETS_TOLERANCE)
    score = score_run(experiment, OWN_POLICY, seed, run.events, findings, run.void)
    score.ran_for_s = run.elapsed_s
    return score


def run_all(experiment: Experiment, driver: Driver, folder: Path | None) -> Iterator[RunScore]:
    """Yield the score of each run as soon as it ends; events are written to `folder` if it is given."""

    def events_path(policy: str, seed: int) -> Path | None:
        return None if folder is None else folder / f"events-{policy.replace(' ', '-')}-{seed}.jsonl"

    if driver == "sockets":
        for seed in experiment.seeds:
            yield run_sockets(experiment, seed, events_path(OWN_POLICY, seed))
        return
    tasks = [(seed, policy) for policy in experiment.policies for seed in experiment.seeds]
    processes = min(len(sched_getaffinity(0)), len(tasks))
    if processes == 1:
        for seed, policy in tasks:
            yield run_virtual(experiment, seed, policy, events_path(policy, seed))
        return
    # Processes are spawned, since a fork would inherit this process's locks without its threads.
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        futures = [
            pool.submit(run_virtual, experiment, seed, policy, events_path(policy, seed))
            for seed, policy in tasks
        ]
        for future in as_completed(futures):
            yield future.result()


def run_experiment(
    experiment: Experiment,
    driver: Driver,
    folder: Path | None = None,
    on_run: Callable[[RunScore], None] | None = None,
) -> Result:
    """Run all policies and seeds; if `folder` is given, `result.json` and the events are written there.

    Raises:
        ExperimentError: a policy is unknown, or cannot run with this driver.
    """
    _check_policies(experiment, driver)
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    runs = []
    for run in run_all(experiment, driver, folder):
        runs.append(run)
        if on_run is not None:
            on_run(run)
    runs.sort(key=lambda run: (experiment.policies.index(run.policy), experiment.seeds.index(run.seed)))
    result = make_result(experiment, driver, runs)
    if folder is not None:
        (folder / "result.json").write_bytes(encode_json(result))
    return result


def _check_policies(experiment: Experiment, driver: Driver) -> None:
    from ..models.baseline_policies import POLICIES

    for policy in experiment.policies:
        if policy not in POLICIES:
            reason = f"{policy!r} is none of {', '.join(POLICIES)}"
            raise ExperimentError(reason, location="policies")
    if driver == "sockets" and OWN_POLICY not in experiment.policies:
        raise ExperimentError(reason="on sockets only the policy 'ours' can run", location="policies")


def make_result(experiment: Experiment, driver: Driver, runs: list[RunScore]) -> Result:
    """Check the demands of the experiment, and return the result with the runs and the checks."""
    demands = check_demands(experiment, runs)
    builtins = msgspec.to_builtins(experiment, enc_hook=int)
    return Result(FORMAT, driver, builtins, runs, demands.met, demands.failed)


class CheckedDemands(NamedTuple):
    """The demands of an experiment file on the policy `ours`, each as one line with its metric."""

    met: list[str]
    failed: list[str]

    def add(self, is_met: bool, text: str) -> None:
        """Add one demand."""
        (self.met if is_met else self.failed).append(text)


def check_demands(experiment: Experiment, runs: list[RunScore]) -> CheckedDemands:
    """Check the demands of the table `[must_hold]` on means over the seeds.

    Each void run counts as a failed demand.
    """
    demands = CheckedDemands([], [])
    own_runs = [run for run in runs if run.policy == OWN_POLICY]
    for run in own_runs:
        if run.void:
            demands.failed.append(f"seed {run.seed} is void: {run.void}")
    if not own_runs:
        return demands
    must_hold = experiment.acceptance
    if must_hold.rules_hold:
        broken = sum(run.broken_rules for run in own_runs)
        demands.add(not broken, f"no broken rule ({broken} found)")
    service = fmean(run.service for run in own_runs)
    if must_hold.min_service:
        demands.add(
            service >= must_hold.min_service, f"service {service:.4f} of {must_hold.min_service} or more"
        )
    for name, minimum in must_hold.min_service_by_class.items():
        class_service = fmean(run.request_classes[name].service for run in own_runs)
        demands.add(class_service >= minimum, f"service of {name} {class_service:.4f} of {minimum} or more")
    for policy, margin in must_hold.min_margin_over.items():
        other_services = [run.service for run in runs if run.policy == policy]
        if other_services:
            difference = service - fmean(other_services)
            demands.add(difference >= margin, f"{difference:+.4f} over {policy}, {margin:+} or more wanted")
    return demands
