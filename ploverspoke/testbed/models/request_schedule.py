"""What clients will hand in: drawn whole before a run starts, so that each policy and both drivers
get the same.
"""

from typing import NamedTuple

import numpy as np

from ..experiment_files.durations import SECOND
from ..experiment_files.experiment import Experiment, Traffic, shares
from .random_streams import RandomStreams


class ScheduledRequest(NamedTuple):
    number: int
    at: int  # when it is first handed in
    grade: int
    slots: float
    work: int  # nanoseconds of one slot at speed 1
    subject: str
    customer: int
    dispatcher: int  # the first that it goes to
    leaves_after: int  # 0: the client stays


def draw_schedule(e: Experiment, seed: int) -> list[ScheduledRequest]:
    """All first tries, in order of time."""
    streams = RandomStreams(seed)
    times = np.sort(np.concatenate([_arrivals(t, e, streams, n) for n, t in enumerate(e.traffic)]))
    count = len(times)
    grades = streams.generator("grades").choice(
        len(e.request_classes), count, p=shares([g.share for g in e.request_classes])
    )
    customers = streams.generator("customers").choice(
        len(e.tenants), count, p=shares([c.share for c in e.tenants])
    )
    dispatchers = streams.generator("dispatchers").integers(0, e.dispatchers.count, count)
    leaving = streams.generator("leaving")
    leaves = np.where(leaving.random(count) < e.clients.early_disconnect_share, leaving.random(count), 0.0)
    work = np.zeros(count)
    slots = np.ones(count)
    subjects = np.full(count, -1)
    for number, grade in enumerate(e.request_classes):
        of_grade = np.flatnonzero(grades == number)
        work[of_grade] = grade.work.sample(streams.generator(f"work {grade.name}"), len(of_grade))
        if grade.slot_shares:
            draw = streams.generator(f"slots {grade.name}")
            counts = [float(s) for s in grade.slot_shares]
            slots[of_grade] = draw.choice(counts, len(of_grade), p=shares(list(grade.slot_shares.values())))
        if grade.affinity_keys:
            ranks = shares(1 / np.arange(1, grade.affinity_keys + 1))
            draw = streams.generator(f"subjects {grade.name}")
            subjects[of_grade] = draw.choice(grade.affinity_keys, len(of_grade), p=ranks)
    return [
        ScheduledRequest(
            n,
            int(times[n]),
            int(grades[n]),
            float(slots[n]),
            max(1, int(work[n])),
            f"{e.request_classes[grades[n]].name}/{subjects[n]}" if subjects[n] >= 0 else "",
            int(customers[n]),
            int(dispatchers[n]),
            int(leaves[n] * e.request_classes[grades[n]].deadline),
        )
        for n in range(count)
    ]


def _arrivals(traffic: Traffic, e: Experiment, streams: RandomStreams, number: int) -> np.ndarray:
    """Poisson, thinned from the highest rate of the stretch; each point is a burst."""
    end = e.duration if traffic.end is None else traffic.end
    last = traffic.rate if traffic.end_rate is None else traffic.end_rate
    top = max(traffic.rate, last) * (1 + traffic.wave_amplitude)
    if top <= 0:
        return np.zeros(0)
    draw = streams.generator(f"arrivals {number}")
    span = end - traffic.start
    count = draw.poisson(top * span / SECOND / traffic.burst_size)
    at = np.sort(draw.random(count)) * span
    rate = traffic.rate + (last - traffic.rate) * at / span
    rate = rate * (1 + traffic.wave_amplitude * np.sin(2 * np.pi * at / traffic.wave_period))
    kept = at[draw.random(count) * top < rate]
    return np.repeat(kept + traffic.start, traffic.burst_size)
