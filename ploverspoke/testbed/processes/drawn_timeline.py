"""Draws fault timelines from seeds."""

from collections.abc import Sequence
from random import Random
from typing import Any

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND, Duration
from ..experiment_files.fault_timeline import FAULTS_WITH_DURATION, FaultStep

# What a drawn step chooses from.
PROBABILITIES, ROUGH_PROBABILITIES = [0.05, 0.2, 0.5], [0.02, 0.1]
MAX_JITTER = 2 * SECOND
ROUGH_JITTERS = [5, 50]  # ms
DELAYS = [5, 50, 300]  # ms
DELAY_JITTER = 20 * MILLISECOND
SLOW_RATES = [2_000.0, 20_000.0]  # bytes a second
WALL_CLOCK_JUMPS = [-3600.0, -60.0, 60.0, 3600.0]  # seconds
CUT_BOTH_WAYS, CUT_FROM_ALL, CUT_INCOMING = 0.4, 0.4, 0.5  # shares of cuts


class FaultWeight(msgspec.Struct, frozen=True, kw_only=True):
    """How often a drawn timeline has one kind of fault."""

    kind: str
    processes: list[str]
    interval: Duration  # the mean time from the start of one to the start of the next
    durations: list[Duration]  # the shortest and the longest


def draw_timeline(weights: Sequence[FaultWeight], duration: int, seed: int, calm: int = 0) -> list[FaultStep]:
    """Draw the timeline of a seed; it lasts `duration` ns, without faults in the last `calm` ns."""
    steps = []
    end = duration - calm
    for number, weight in enumerate(weights):
        random = Random(f"{seed} timeline {number} {weight.kind}")
        start = random.expovariate(1.0) * weight.interval
        while start < end:
            shortest, longest = weight.durations
            # Log-uniform: drawn uniformly, few would be short.
            lasts = shortest * (longest / shortest) ** random.random() if shortest else 0
            lasts = min(lasts, end - start)
            steps.append(_draw_step(weight, Duration(int(start)), Duration(int(lasts)), random))
            start += random.expovariate(1.0) * weight.interval
    return sorted(steps, key=lambda step: step.start)


def _draw_step(weight: FaultWeight, start: Duration, duration: Duration, random: Random) -> FaultStep:
    process = random.choice(weight.processes)
    if weight.kind in FAULTS_WITH_DURATION and not duration:
        duration = Duration(MILLISECOND)
    step = FaultStep(start=start, kind=weight.kind, processes=[process], duration=duration)
    if weight.kind == "cut":
        return _draw_cut(step, weight.processes, random)
    return msgspec.structs.replace(step, **_draw_values(weight.kind, random))


def _draw_values(kind: str, random: Random) -> dict[str, Any]:
    """The other fields of a step of that kind."""
    if kind in ("loss", "double", "reorder"):
        return {"probability": random.choice(PROBABILITIES), "jitter": Duration(MAX_JITTER)}
    if kind == "rough":
        probability = random.choice(ROUGH_PROBABILITIES)
        jitter = Duration(random.choice(ROUGH_JITTERS) * MILLISECOND)
        return {"probability": probability, "jitter": jitter, "both_directions": True}
    if kind == "delay":
        delay = Duration(random.choice(DELAYS) * MILLISECOND)
        return {"delay": delay, "jitter": Duration(DELAY_JITTER)}
    if kind == "slow":
        return {"rate": random.choice(SLOW_RATES)}
    if kind == "wall jumps":
        return {"wall_clock_offset": random.choice(WALL_CLOCK_JUMPS)}
    return {}


def _draw_cut(step: FaultStep, names: list[str], random: Random) -> FaultStep:
    """A cut between the step's process and some others or all, in one direction or both."""
    both = random.random() < CUT_BOTH_WAYS
    is_from_all = random.random() < CUT_FROM_ALL
    others = [] if is_from_all else random.sample(names, max(1, len(names) // 2))
    is_incoming = not both and random.random() < CUT_INCOMING
    origin, target = (others, step.processes) if is_incoming else (step.processes, others)
    return msgspec.structs.replace(step, processes=origin, peers=target, both_directions=both)
