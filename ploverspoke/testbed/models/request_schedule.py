"""The requests of a run, drawn before it starts, so that all policies and both drivers get the same ones."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
import numpy.typing as npt

from ..experiment_files.distributions import Samples
from ..experiment_files.durations import SECOND
from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import TrafficPhase
from .random_streams import RandomStreams

NO_AFFINITY_KEY = -1
Integers = npt.NDArray[np.int64]


class ScheduledRequest(NamedTuple):
    """One request, as its client sends it the first time."""

    number: int
    due_at: int  # ns from the start of the run
    request_class: int
    slots: float
    work: int  # ns of one slot at speed 1
    affinity_key: str  # empty: it has none
    tenant: int
    dispatcher: int  # to which it is first sent
    disconnects_after: int  # ns from due_at; 0: the client waits for the answer


class _RequestDraws(NamedTuple):
    """The properties that are drawn by request class; each array has one element for each request."""

    slots: Samples
    work: Samples  # ns
    affinity_keys: Integers


def draw_schedule(experiment: Experiment, seed: int) -> list[ScheduledRequest]:
    """Return all requests, sorted by due time."""
    streams = RandomStreams(seed)
    arrivals = [
        _draw_arrivals(phase, experiment, streams, number) for number, phase in enumerate(experiment.traffic)
    ]
    due_at = np.sort(np.concatenate(arrivals))
    count = len(due_at)
    classes = experiment.request_classes
    class_shares = normalized_shares([request_class.share for request_class in classes])
    class_numbers = streams.generator("grades").choice(len(classes), count, p=class_shares)
    tenant_shares = normalized_shares([tenant.share for tenant in experiment.tenants])
    tenants = streams.generator("customers").choice(len(experiment.tenants), count, p=tenant_shares)
    dispatchers = streams.generator("dispatchers").integers(0, experiment.dispatchers.count, count)
    disconnects = _draw_disconnects(experiment, streams, count)
    draws = _draw_by_class(experiment, streams, class_numbers)

    def scheduled_request(number: int) -> ScheduledRequest:
        """Return the request at this position of the schedule."""
        request_class = classes[class_numbers[number]]
        key = draws.affinity_keys[number]
        return ScheduledRequest(
            number=number,
            due_at=int(due_at[number]),
            request_class=int(class_numbers[number]),
            slots=float(draws.slots[number]),
            work=max(1, int(draws.work[number])),
            affinity_key=f"{request_class.name}/{key}" if key != NO_AFFINITY_KEY else "",
            tenant=int(tenants[number]),
            dispatcher=int(dispatchers[number]),
            disconnects_after=int(disconnects[number] * request_class.deadline),
        )

    return [scheduled_request(number) for number in range(count)]


def normalized_shares(weights: Sequence[float] | Samples) -> Samples:
    """Scale the weights so that they add up to 1."""
    unscaled = np.asarray(weights, dtype=float)
    shares: Samples = unscaled / unscaled.sum()
    return shares


def _draw_disconnects(experiment: Experiment, streams: RandomStreams, count: int) -> Samples:
    """Return when each client disconnects, as a share of the deadline; 0: it waits for the answer."""
    generator = streams.generator("leaving")
    is_early = generator.random(count) < experiment.clients.early_disconnect_share
    return np.where(is_early, generator.random(count), 0.0)


def _draw_by_class(experiment: Experiment, streams: RandomStreams, class_numbers: Integers) -> _RequestDraws:
    count = len(class_numbers)
    draws = _RequestDraws(np.ones(count), np.zeros(count), np.full(count, NO_AFFINITY_KEY))
    for number, request_class in enumerate(experiment.request_classes):
        chosen = np.flatnonzero(class_numbers == number)
        generator = streams.generator(f"work {request_class.name}")
        draws.work[chosen] = request_class.work.sample(generator, len(chosen))
        if request_class.slot_shares:
            generator = streams.generator(f"slots {request_class.name}")
            slot_counts = [float(slots) for slots in request_class.slot_shares]
            shares = normalized_shares(list(request_class.slot_shares.values()))
            draws.slots[chosen] = generator.choice(slot_counts, len(chosen), p=shares)
        if request_class.affinity_keys:
            generator = streams.generator(f"subjects {request_class.name}")
            zipf_shares = normalized_shares(1 / np.arange(1, request_class.affinity_keys + 1))
            draws.affinity_keys[chosen] = generator.choice(
                request_class.affinity_keys, len(chosen), p=zipf_shares
            )
    return draws


def _draw_arrivals(
    phase: TrafficPhase, experiment: Experiment, streams: RandomStreams, number: int
) -> Samples:
    """Draw a Poisson process of bursts, by thinning one that has the highest rate of the phase."""
    end = experiment.duration if phase.end is None else phase.end
    end_rate = phase.rate if phase.end_rate is None else phase.end_rate
    peak_rate = max(phase.rate, end_rate) * (1 + phase.wave_amplitude)
    if peak_rate <= 0:
        return np.zeros(0)
    generator = streams.generator(f"arrivals {number}")
    duration = end - phase.start
    count = generator.poisson(peak_rate * duration / SECOND / phase.burst_size)
    burst_times = np.sort(generator.random(count)) * duration
    rate = phase.rate + (end_rate - phase.rate) * burst_times / duration
    rate = rate * (1 + phase.wave_amplitude * np.sin(2 * np.pi * burst_times / phase.wave_period))
    accepted_times = burst_times[generator.random(count) * peak_rate < rate]
    return np.repeat(accepted_times + phase.start, phase.burst_size)
