"""Fault timelines: the faults of a run on its processes and links, read from a file or drawn from a seed.

A step is one row of an experiment file, `{at, what, who, to, lasts, ...}`. `who` names processes; `to`, for
links, those at their other ends. A step with `lasts` ends by itself. Errors name these keys.
"""

from collections.abc import Sequence
from random import Random
from typing import Any

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND, Duration, format_duration
from .link_faults import LinkFault

LINK_FAULTS = ("delay", "loss", "double", "reorder", "cut", "slow", "silent", "reset", "rough")
PROCESS_FAULTS = (
    "kill",
    "pause",
    "restart",
    "starve",
    "wall jumps",
    "clock",
    "empty",
    "copy",
    "older",
    "disk full",
    "disk fails",
    "slow sync",
)
FAULTS_WITH_DURATION = ("pause", "starve", "disk full", "disk fails", "slow sync")  # on processes

# What a drawn step chooses from.
PROBABILITIES, ROUGH_PROBABILITIES = [0.05, 0.2, 0.5], [0.02, 0.1]
MAX_JITTER = 2 * SECOND
ROUGH_JITTERS = [5, 50]  # ms
DELAYS = [5, 50, 300]  # ms
DELAY_JITTER = 20 * MILLISECOND
SLOW_RATES = [2_000.0, 20_000.0]  # bytes a second
WALL_CLOCK_JUMPS = [-3600.0, -60.0, 60.0, 3600.0]  # seconds
CUT_BOTH_WAYS, CUT_FROM_ALL, CUT_INCOMING = 0.4, 0.4, 0.5  # shares of cuts


class TimelineError(ValueError):
    """The timeline, or the experiment around it, is invalid.

    Attributes:
        key: The path of the key at fault, as `timeline[0].who`; empty where the problem names it.
        problem: What is wrong with it.
    """

    def __init__(self, problem: str, *, key: str = "") -> None:
        """Build the sentence of both."""
        super().__init__(f"{key}: {problem}" if key else problem)
        self.key, self.problem = key, problem


class FaultStep(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    rename={
        "start": "at",
        "kind": "what",
        "processes": "who",
        "peers": "to",
        "duration": "lasts",
        "both_directions": "both",
        "probability": "share",
        "wall_clock_offset": "ahead",
    },
):
    """One step; times are ns, `start` from the start of the run."""

    start: Duration
    kind: str
    processes: list[str] = []
    peers: list[str] = []  # the other ends of links; empty: every process
    # On links 0 lasts until the end; "kill", "empty" and "older": how long the process stays down.
    duration: Duration = Duration(0)
    both_directions: bool = False  # of links
    delay: Duration = Duration(0)
    jitter: Duration = Duration(0)
    probability: float = 0.0
    rate: float = 0.0  # bytes a second; of a clock, relative to the machine's
    wall_clock_offset: float = 0.0  # s; negative: behind

    def describe(self) -> str:
        """The step in one line."""
        words = [format_duration(self.start), self.kind, ",".join(self.processes) or "all"]
        if self.kind in LINK_FAULTS:
            words += ["<>" if self.both_directions else ">", ",".join(self.peers) or "all"]
        if self.duration:
            words += ["for", format_duration(self.duration)]
        return " ".join(words)


def make_link_fault(step: FaultStep) -> LinkFault:
    """The fault of a step on links, in the direction from `processes` to `peers`."""
    effects: dict[str, dict[str, Any]] = {
        "delay": {"delay": int(step.delay), "jitter": int(step.jitter)},
        "loss": {"loss": step.probability},
        "double": {"duplicate": step.probability, "duplicate_delay": int(step.jitter)},
        "reorder": {"reorder": step.probability, "jitter": int(step.jitter)},
        "cut": {"cut": True},
        "slow": {"rate": step.rate},
        "silent": {"silent": True},
        "reset": {},
        "rough": {"loss": step.probability, "duplicate": step.probability, "jitter": int(step.jitter)},
    }
    return LinkFault(origin=step.processes, target=step.peers, **effects[step.kind])


def check_timeline(steps: Sequence[FaultStep], names: Sequence[str]) -> list[FaultStep]:
    """The steps in order of time; `names` are those of the processes. Raises TimelineError."""
    for number, step in enumerate(steps):
        row = f"timeline[{number}]"
        _check_names(row, step, names)
        _check_values(row, step)
    return sorted(steps, key=lambda step: step.start)


def _check_names(row: str, step: FaultStep, names: Sequence[str]) -> None:
    kinds = LINK_FAULTS + PROCESS_FAULTS
    if step.kind not in kinds:
        raise TimelineError(key=f"{row}.what", problem=f"{step.kind!r} is none of {', '.join(kinds)}")
    for key, chosen in (("who", step.processes), ("to", step.peers)):
        for name in chosen:
            if name not in names:
                raise TimelineError(key=f"{row}.{key}", problem=f"no process is called {name!r}")
    if step.kind in PROCESS_FAULTS and not step.processes:
        raise TimelineError(key=f"{row}.who", problem="expected at least one process")


def _check_values(row: str, step: FaultStep) -> None:
    if step.kind in FAULTS_WITH_DURATION and not step.duration:
        raise TimelineError(key=f"{row}.lasts", problem="expected how long it lasts")
    if step.kind in ("slow", "clock") and step.rate <= 0:
        raise TimelineError(key=f"{row}.rate", problem="expected more than 0")
    if step.kind in ("loss", "double", "reorder") and not 0 < step.probability <= 1:
        raise TimelineError(key=f"{row}.share", problem="expected more than 0 and at most 1")
    if step.kind == "delay" and not (step.delay or step.jitter):
        raise TimelineError(key=f"{row}.delay", problem="expected a time, here or in jitter")


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
