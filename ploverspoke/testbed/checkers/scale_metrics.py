"""Computes the metrics of one scale run from outside observations, by their names in stored results."""

from collections.abc import Sequence
from statistics import fmean
from typing import NamedTuple

import numpy as np

from ..experiment_files.durations import MILLISECOND, SECOND
from ..experiment_files.experiment import Experiment
from ..models import event_records
from ..models.event_records import Event
from ..reports.scores import RunScore
from ..scale.config_poller import NEVER_APPLIED
from ..scale.scenario_file import ScaleScenario
from ..scale.usage import UsageSample

NEVER_STARTED = -1  # in place of a delay
NETWORK_FAKES = ("workers", "discovery")  # reached over the network; clients are next to their dispatchers
TRAFFIC = ("bytes_in", "bytes_out", "messages_in", "messages_out")
HEALING_TIME = 10 * SECOND  # after a region is back, in which the traffic that waited for it arrives
MEGABYTE = 1e6
URGENT = "urgent"  # the request class whose start delay is limited

Metrics = dict[str, float]


class ScaleObservations(NamedTuple):
    """What was observed of a run."""

    experiment: Experiment
    events: Sequence[Event]
    score: RunScore
    samples: Sequence[UsageSample]
    change_delays: Sequence[Sequence[int]]  # by change: ns until each dispatcher applied it, or NEVER_APPLIED
    log_lines: int


def scale_metrics(observations: ScaleObservations) -> Metrics:
    """Return all metrics of a run."""
    experiment = observations.experiment
    begin, end = experiment.measured_from, experiment.duration
    dispatchers = experiment.dispatchers.count
    measured = [sample for sample in observations.samples if begin <= sample.at <= end]
    metrics = _usage_metrics(measured, dispatchers) if len(measured) >= 2 else {}
    starts = sum(
        event.kind == event_records.ATTEMPT_STARTED and begin <= event.at < end
        for event in observations.events
    )
    metrics["starts_a_second"] = starts / ((end - begin) / SECOND)
    metrics |= _urgent_metrics(observations)
    metrics |= _score_metrics(observations.score)
    metrics["fell_over"] = sum(event.kind == event_records.WORKER_OVERLOADED for event in observations.events)
    metrics["log_lines_a_dispatcher"] = observations.log_lines / dispatchers
    return metrics | _change_metrics(observations.change_delays)


def _score_metrics(score: RunScore) -> Metrics:
    metrics: Metrics = {"service": score.service}
    for name, class_score in score.request_classes.items():
        metrics[f"service_of_{name}"] = class_score.service
        metrics[f"jobs_{name}"] = class_score.requests
        metrics[f"nacks_{name}"] = class_score.rejected
        metrics[f"abandoned_{name}"] = class_score.failed
        metrics[f"broken_{name}"] = class_score.broken
    metrics["broken_rules"] = score.broken_rules
    return metrics


def _usage_metrics(samples: Sequence[UsageSample], dispatchers: int) -> Metrics:
    first, last = samples[0], samples[-1]
    dispatcher_seconds = (last.at - first.at) / SECOND * dispatchers
    growth = _slope_per_second([(sample.at, sample.usage.resident_bytes) for sample in samples])
    metrics: Metrics = {
        "core_share": (last.usage.cpu_ns - first.usage.cpu_ns) / SECOND / dispatcher_seconds,
        "resident_mb_a_dispatcher": last.usage.resident_bytes / dispatchers / MEGABYTE,
        "resident_growth_bytes_a_second": growth / dispatchers,
        "descriptors_most": max(sample.usage.descriptors for sample in samples),
        "tasks_running": fmean(sample.running_tasks for sample in samples),
        "serving_fewest": min(sample.usage.serving for sample in samples),
    }
    for key in last.usage.held_counts:
        largest = max(sample.usage.held_counts.get(key, 0) for sample in samples)
        metrics[f"inside_{key}_most"] = largest / dispatchers
    return metrics | _traffic_metrics(first, last, dispatcher_seconds, dispatchers)


def _traffic_metrics(
    first: UsageSample, last: UsageSample, dispatcher_seconds: float, dispatchers: int
) -> Metrics:
    metrics: Metrics = {}
    for fake, counters in last.traffic.items():
        if fake not in first.traffic:
            continue
        for key, value in counters.items():
            if key == "connections":
                metrics[f"{fake}_{key}"] = value / dispatchers
            else:
                metrics[f"{fake}_{key}"] = (value - first.traffic[fake][key]) / dispatcher_seconds
    for key in TRAFFIC:
        metrics[f"network_{key}"] = sum(metrics.get(f"{fake}_{key}", 0.0) for fake in NETWORK_FAKES)
    metrics["bytes_a_second"] = metrics["network_bytes_in"] + metrics["network_bytes_out"]
    return metrics


def _slope_per_second(points: Sequence[tuple[int, int]]) -> float:
    """Return the slope of the least-squares line through (ns, value) points."""
    times, values = (np.array(column, dtype=float) for column in zip(*points, strict=True))
    return float(np.polyfit((times - times[0]) / SECOND, values, 1)[0])


def urgent_start_delays(experiment: Experiment, events: Sequence[Event]) -> list[int]:
    """Return the start delay (ns) of each urgent request of the measured time, or NEVER_STARTED.

    The delay is from the time at which the request was due until an attempt started.
    """
    names = [request_class.name for request_class in experiment.request_classes]
    urgent = names.index(URGENT) if URGENT in names else -1
    due_at: dict[int, int] = {}  # ns, by job
    started_at: dict[int, int] = {}  # ns, by job
    for event in events:
        if event.kind == event_records.REQUEST_SENT:
            request_class, tries, _, first_sent_at = event.detail
            is_measured = experiment.measured_from <= first_sent_at < experiment.duration
            if request_class == urgent and tries == 0 and is_measured:
                due_at[event.job] = first_sent_at
        elif event.kind == event_records.ATTEMPT_STARTED and event.job in due_at:
            started_at.setdefault(event.job, event.at)
    return [started_at[job] - at if job in started_at else NEVER_STARTED for job, at in due_at.items()]


def _urgent_metrics(observations: ScaleObservations) -> Metrics:
    delays = urgent_start_delays(observations.experiment, observations.events)
    started = [delay for delay in delays if delay != NEVER_STARTED]
    if not started:
        return {"urgent_jobs": len(delays), "urgent_never_begun": len(delays)}
    p50, p99 = np.percentile(started, (50, 99))
    return {
        "urgent_jobs": len(delays),
        "urgent_never_begun": len(delays) - len(started),
        "urgent_begin_p50_ms": float(p50) / MILLISECOND,
        "urgent_begin_p99_ms": float(p99) / MILLISECOND,
        "urgent_begin_max_ms": max(started) / MILLISECOND,
    }


def _change_metrics(changes: Sequence[Sequence[int]]) -> Metrics:
    if not changes:
        return {}
    delays = [delay for change in changes for delay in change]
    applied = [delay for delay in delays if delay != NEVER_APPLIED]
    metrics: Metrics = {
        "changes": len(changes),
        "changes_never_in_force": len(delays) - len(applied),
    }
    if applied:
        p50, p99 = np.percentile(applied, (50, 99))
        metrics["in_force_p50_ms"] = float(p50) / MILLISECOND
        metrics["in_force_p99_ms"] = float(p99) / MILLISECOND
        metrics["in_force_at_the_last_ms"] = max(applied) / MILLISECOND
    return metrics


def region_cut_metrics(observations: ScaleObservations, scenario: ScaleScenario) -> Metrics:
    """Return the peak resource use while a region was cut off, and the traffic just after it was back."""
    begin = observations.experiment.measured_from + scenario.fault_start
    end = begin + scenario.fault_duration
    before = [sample for sample in observations.samples if sample.at <= begin]
    during = [sample for sample in observations.samples if begin < sample.at <= end]
    after = [sample for sample in observations.samples if end < sample.at <= end + HEALING_TIME]
    if not before or not during or len(after) < 2:
        return {}
    dispatchers = observations.experiment.dispatchers.count
    log_lines = _internal_count(during[-1], "said") - _internal_count(before[-1], "said")
    metrics: Metrics = {
        "away_resident_mb": max(sample.usage.resident_bytes for sample in during) / MEGABYTE,
        "away_descriptors": max(sample.usage.descriptors for sample in during),
        "away_log_lines_a_second": log_lines / (scenario.fault_duration / SECOND),
    }
    for key in ("open", "deadlines", "connections"):
        metrics[f"away_{key}"] = max(_internal_count(sample, key) for sample in during) / dispatchers
    seconds = (after[-1].at - during[-1].at) / SECOND
    byte_count = _network_bytes(after[-1]) - _network_bytes(during[-1])
    metrics["healing_bytes_a_second"] = byte_count / seconds / dispatchers
    return metrics


def _internal_count(sample: UsageSample, key: str) -> int:
    return sample.usage.held_counts.get(key, 0)


def _network_bytes(sample: UsageSample) -> int:
    return sum(sample.traffic[fake][key] for fake in NETWORK_FAKES for key in ("bytes_in", "bytes_out"))
