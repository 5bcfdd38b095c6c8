"""Draws fault timelines from seeds."""

from collections.abc import Sequence
from random import Random
from typing import Any

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND, Duration
from ..experiment_files.fault_timeline import PROCESS_FAULTS_WITH_DURATION, FaultStep

# The values from which a drawn step chooses.
PROBABILITIES, ROUGH_PROBABILITIES = [0.05, 0.2, 0.5], [0.02, 0.1]
MAX_JITTER = 2 * SECOND
ROUGH_JITTERS_MS = [5, 50]
DELAYS_MS = [5, 50, 300]
DELAY_JITTER = 20 * MILLISECOND
SLOW_RATES = [2_000.0, 20_000.0]  # bytes a second
WALL_CLOCK_JUMPS_S = [-3600.0, -60.0, 60.0, 3600.0]
# Shares of cuts.
BOTH_DIRECTIONS_SHARE, FROM_ALL_SHARE, INCOMING_SHARE = 0.4, 0.4, 0.5


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
            # Log-uniform, since few uniformly drawn durations would be short.
            step_duration = shortest * (longest / shortest) ** random.random() if shortest else 0
            step_duration = min(step_duration, end - start)
            steps.append(_draw_step(weight, Duration(int(start)), Duration(int(step_duration)), random))
            start += random.expovariate(1.0) * weight.interval
    return sorted(steps, key=lambda step: step.start)


def _draw_step(weight: FaultWeight, start: Duration, duration: Duration, random: Random) -> FaultStep:
    process = random.choice(weight.processes)
    if weight.kind in PROCESS_FAULTS_WITH_DURATION and not duration:
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
        jitter = Duration(random.choice(ROUGH_JITTERS_MS) * MILLISECOND)
        return {"probability": probability, "jitter": jitter, "both_directions": True}
    if kind == "delay":
        delay = Duration(random.choice(DELAYS_MS) * MILLISECOND)
        return {"delay": delay, "jitter": Duration(DELAY_JITTER)}
    if kind == "slow":
        return {"rate": random.choice(SLOW_RATES)}
    if kind == "wall jumps":
        return {"wall_clock_offset": random.choice(WALL_CLOCK_JUMPS_S)}
    return {}


def _draw_cut(step: FaultStep, names: list[str], random: Random) -> FaultStep:
    """A cut between the step's process and some others or all, in one direction or both."""
    both_directions = random.random() < BOTH_DIRECTIONS_SHARE
    is_from_all = random.random() < FROM_ALL_SHARE
    others = [] if is_from_all else random.sample(names, max(1, len(names) // 2))
    is_incoming = not both_directions and random.random() < INCOMING_SHARE
    origin, target = (others, step.processes) if is_incoming else (step.processes, others)
    return msgspec.structs.replace(step, processes=origin, peers=target, both_directions=both_directions)
