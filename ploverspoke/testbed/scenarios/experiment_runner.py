"""Runs an experiment: each policy with each seed, several at once on virtual time, one after the
other on sockets.
"""

import gc
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from contextlib import contextmanager
from multiprocessing import get_context
from os import sched_getaffinity
from pathlib import Path
from statistics import fmean
from typing import Any, Literal

import msgspec

from ..checkers.request_audit import SOCKETS_TOLERANCE, VIRTUAL_TOLERANCE, audit_requests
from ..experiment_files.experiment import Experiment, ExperimentError
from ..models.event_records import write_records
from ..reports.scores import RunScore, as_json, score

Driver = Literal["virtual", "sockets"]
FORMAT = 1  # of result.json


class Result(msgspec.Struct):
    """What result.json holds."""

    format: int
    driver: Driver
    experiment: dict[str, Any]
    runs: list[RunScore]
    held: list[str]
    failed: list[str]

    def of(self, policy: str) -> list[RunScore]:
        return [r for r in self.runs if r.policy == policy]

    def policies(self) -> list[str]:
        return list(dict.fromkeys(r.policy for r in self.runs))


def run_virtual(e: Experiment, seed: int, policy: str, keep: Path | None = None) -> RunScore:
    """One run on virtual time; its events are written to `keep` where that is given."""
    from ..models.virtual_run import run_virtual_time

    began = time.perf_counter()
    with _without_collector():
        events = run_virtual_time(e, seed, policy)
    took = time.perf_counter() - began
    if keep is not None:
        write_records(events, keep)
    found = score(e, policy, seed, events, audit_requests(e, events, VIRTUAL_TOLERANCE))
    found.ran_for_s = took
    return found


@contextmanager
def _without_collector() -> Iterator[None]:
    """A run's records stay: to look through them again and again takes a fifth of its time."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()


def run_sockets(
    e: Experiment, seed: int, keep: Path | None, told: Callable[[Any], None] | None = None
) -> RunScore:
    """One run of the real program on loopback sockets; `told` hears what happens, some times a second."""
    from .socket_run import run_on_sockets

    played = run_on_sockets(e, seed, told)
    if keep is not None:
        write_records(played.events, keep)
    found = score(
        e, "ours", seed, played.events, audit_requests(e, played.events, SOCKETS_TOLERANCE), played.void
    )
    found.ran_for_s = played.took_s
    return found


def runs(e: Experiment, driver: Driver, out: Path | None) -> Iterator[RunScore]:
    """All runs, each as soon as it is over."""

    def kept(policy: str, seed: int) -> Path | None:
        return None if out is None else out / f"events-{policy.replace(' ', '-')}-{seed}.jsonl"

    if driver == "sockets":
        for seed in e.seeds:
            yield run_sockets(e, seed, kept("ours", seed))
        return
    tasks = [(seed, policy) for policy in e.policies for seed in e.seeds]
    cores = min(len(sched_getaffinity(0)), len(tasks))
    if cores == 1:
        for seed, policy in tasks:
            yield run_virtual(e, seed, policy, kept(policy, seed))
        return
    # Fresh processes: a fork would share this one's threads and locks.
    with ProcessPoolExecutor(cores, mp_context=get_context("spawn")) as pool:
        waits = [pool.submit(run_virtual, e, seed, policy, kept(policy, seed)) for seed, policy in tasks]
        for wait in as_completed(waits):
            yield wait.result()


def run_experiment(
    e: Experiment, driver: Driver, out: Path | None = None, told: Callable[[RunScore], None] | None = None
) -> Result:
    from ..models.baseline_policies import POLICIES

    for policy in e.policies:
        if policy not in POLICIES:
            raise ExperimentError(f"policies: {policy!r} is none of {', '.join(POLICIES)}")
    if driver == "sockets" and "ours" not in e.policies:
        raise ExperimentError("policies: on sockets only 'ours' is played")
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
    done = []
    for run in runs(e, driver, out):
        done.append(run)
        if told is not None:
            told(run)
    done.sort(key=lambda r: (e.policies.index(r.policy), e.seeds.index(r.seed)))
    held, failed = what_held(e, done)
    result = Result(FORMAT, driver, msgspec.to_builtins(e, enc_hook=int), done, held, failed)
    if out is not None:
        (out / "result.json").write_bytes(as_json(result))
    return result


def what_held(e: Experiment, done: list[RunScore]) -> tuple[list[str], list[str]]:
    """The demands of the file on our own policy, each with the figure; a void run fails them all."""
    ours = [r for r in done if r.policy == "ours"]
    held: list[str] = []
    failed: list[str] = []

    def demand(holds: bool, text: str) -> None:
        (held if holds else failed).append(text)

    for run in ours:
        if run.void:
            failed.append(f"seed {run.seed} is void: {run.void}")
    if not ours:
        return held, failed
    must = e.must_hold
    if must.rules:
        broken = sum(r.broken_rules for r in ours)
        demand(not broken, f"no broken rule ({broken} found)")
    service = fmean(r.service for r in ours)
    if must.service:
        demand(service >= must.service, f"service {service:.4f} of {must.service} or more")
    for grade, least in must.service_of_grade.items():
        found = fmean(r.grades[grade].service for r in ours)
        demand(found >= least, f"service of {grade} {found:.4f} of {least} or more")
    for policy, by in must.over.items():
        others = [r.service for r in done if r.policy == policy]
        if others:
            ahead = service - fmean(others)
            demand(ahead >= by, f"{ahead:+.4f} over {policy}, {by:+} or more wanted")
    return held, failed


def read_result(path: Path) -> Result:
    """Raises ExperimentError where there is no result of this format."""
    file = path / "result.json" if path.is_dir() else path
    try:
        result: Result = msgspec.json.decode(file.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise ExperimentError(f"{file}: no result: {error}") from None
    if result.format != FORMAT:
        raise ExperimentError(f"{file}: format {result.format}, this version reads {FORMAT}")
    return result
