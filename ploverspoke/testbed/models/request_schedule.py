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
    leaves = np.where(leaving.random(count) < e.clients.leave_early, leaving.random(count), 0.0)
    work = np.zeros(count)
    slots = np.ones(count)
    subjects = np.full(count, -1)
    for number, grade in enumerate(e.request_classes):
        of_grade = np.flatnonzero(grades == number)
        work[of_grade] = grade.work.sample(streams.generator(f"work {grade.name}"), len(of_grade))
        if grade.slots:
            draw = streams.generator(f"slots {grade.name}")
            counts = [float(s) for s in grade.slots]
            slots[of_grade] = draw.choice(counts, len(of_grade), p=shares(list(grade.slots.values())))
        if grade.subjects:
            ranks = shares(1 / np.arange(1, grade.subjects + 1))
            draw = streams.generator(f"subjects {grade.name}")
            subjects[of_grade] = draw.choice(grade.subjects, len(of_grade), p=ranks)
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
    end = e.lasts if traffic.end is None else traffic.end
    last = traffic.rate if traffic.to_rate is None else traffic.to_rate
    top = max(traffic.rate, last) * (1 + traffic.wave)
    if top <= 0:
        return np.zeros(0)
    draw = streams.generator(f"arrivals {number}")
    span = end - traffic.start
    count = draw.poisson(top * span / SECOND / traffic.burst)
    at = np.sort(draw.random(count)) * span
    rate = traffic.rate + (last - traffic.rate) * at / span
    rate = rate * (1 + traffic.wave * np.sin(2 * np.pi * at / traffic.period))
    kept = at[draw.random(count) * top < rate]
    return np.repeat(kept + traffic.start, traffic.burst)
