"""Fault timelines: the faults of a run on its processes and links, read from a file or drawn from a seed.

A step is one row of an experiment file, `{at, what, who, to, lasts, ...}`. `who` names processes; `to`, for
links, those at their other ends. A step with `lasts` ends by itself.
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
SHARES, ROUGH_SHARES = [0.05, 0.2, 0.5], [0.02, 0.1]
MAX_SHARE_JITTER = 2 * SECOND
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


class FaultStep(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One step, as an experiment file has it; times are ns from the start of the run."""

    at: Duration
    what: str
    who: list[str] = []
    to: list[str] = []  # empty: every process
    # On links 0 lasts until the end; "kill", "empty" and "older": how long the process stays down.
    lasts: Duration = Duration(0)
    both: bool = False  # the links back, too
    delay: Duration = Duration(0)
    jitter: Duration = Duration(0)
    share: float = 0.0
    rate: float = 0.0  # bytes a second; of a clock, relative to the machine's
    ahead: float = 0.0  # s, of the wall clock; negative: behind

    def describe(self) -> str:
        """The step in one line."""
        words = [format_duration(self.at), self.what, ",".join(self.who) or "all"]
        if self.what in LINK_FAULTS:
            words += ["<>" if self.both else ">", ",".join(self.to) or "all"]
        if self.lasts:
            words += ["for", format_duration(self.lasts)]
        return " ".join(words)


def make_link_fault(step: FaultStep) -> LinkFault:
    """The fault of a step on links, in the direction from `who` to `to`."""
    effects: dict[str, dict[str, Any]] = {
        "delay": {"delay": int(step.delay), "jitter": int(step.jitter)},
        "loss": {"loss": step.share},
        "double": {"duplicate": step.share, "duplicate_delay": int(step.jitter)},
        "reorder": {"reorder": step.share, "jitter": int(step.jitter)},
        "cut": {"cut": True},
        "slow": {"rate": step.rate},
        "silent": {"silent": True},
        "reset": {},
        "rough": {"loss": step.share, "duplicate": step.share, "jitter": int(step.jitter)},
    }
    return LinkFault(origin=step.who, target=step.to, **effects[step.what])


def check_timeline(steps: Sequence[FaultStep], names: Sequence[str]) -> list[FaultStep]:
    """The steps in order of time; `names` are those of the processes. Raises TimelineError."""
    for number, step in enumerate(steps):
        row = f"timeline[{number}]"
        _check_names(row, step, names)
        _check_values(row, step)
    return sorted(steps, key=lambda step: step.at)


def _check_names(row: str, step: FaultStep, names: Sequence[str]) -> None:
    kinds = LINK_FAULTS + PROCESS_FAULTS
    if step.what not in kinds:
        raise TimelineError(key=f"{row}.what", problem=f"{step.what!r} is none of {', '.join(kinds)}")
    for key, chosen in (("who", step.who), ("to", step.to)):
        for name in chosen:
            if name not in names:
                raise TimelineError(key=f"{row}.{key}", problem=f"no process is called {name!r}")
    if step.what in PROCESS_FAULTS and not step.who:
        raise TimelineError(key=f"{row}.who", problem="expected at least one process")


def _check_values(row: str, step: FaultStep) -> None:
    if step.what in FAULTS_WITH_DURATION and not step.lasts:
        raise TimelineError(key=f"{row}.lasts", problem="expected how long it lasts")
    if step.what in ("slow", "clock") and step.rate <= 0:
        raise TimelineError(key=f"{row}.rate", problem="expected more than 0")
    if step.what in ("loss", "double", "reorder") and not 0 < step.share <= 1:
        raise TimelineError(key=f"{row}.share", problem="expected more than 0 and at most 1")
    if step.what == "delay" and not (step.delay or step.jitter):
        raise TimelineError(key=f"{row}.delay", problem="expected a time, here or in jitter")


class FaultWeight(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How often a drawn timeline has one kind of fault."""

    what: str
    who: list[str]
    every: Duration  # the mean time from the begin of one to the begin of the next
    lasts: list[Duration]  # the shortest and the longest


def draw_timeline(weights: Sequence[FaultWeight], lasts: int, seed: int, calm: int = 0) -> list[FaultStep]:
    """Draw a timeline, always the same for a seed; it has no fault in the last `calm` ns of `lasts` ns."""
    steps = []
    for number, weight in enumerate(weights):
        random = Random(f"{seed} timeline {number} {weight.what}")
        at = random.expovariate(1.0) * weight.every
        while at < lasts - calm:
            shortest, longest = weight.lasts
            # Log-uniform: drawn uniformly, few would be short.
            duration = shortest * (longest / shortest) ** random.random() if shortest else 0
            duration = min(duration, lasts - calm - at)
            steps.append(_draw_step(weight, Duration(int(at)), Duration(int(duration)), random))
            at += random.expovariate(1.0) * weight.every
    return sorted(steps, key=lambda step: step.at)


def _draw_step(weight: FaultWeight, at: Duration, lasts: Duration, random: Random) -> FaultStep:
    process = random.choice(weight.who)
    if weight.what in FAULTS_WITH_DURATION and not lasts:
        lasts = Duration(MILLISECOND)
    step = FaultStep(at=at, what=weight.what, who=[process], lasts=lasts)
    if weight.what == "cut":
        return _draw_cut(step, weight.who, random)
    return msgspec.structs.replace(step, **_draw_values(weight.what, random))


def _draw_values(what: str, random: Random) -> dict[str, Any]:
    """The other keys of a step of that kind."""
    if what in ("loss", "double", "reorder"):
        return {"share": random.choice(SHARES), "jitter": Duration(MAX_SHARE_JITTER)}
    if what == "rough":
        share = random.choice(ROUGH_SHARES)
        jitter = Duration(random.choice(ROUGH_JITTERS) * MILLISECOND)
        return {"share": share, "jitter": jitter, "both": True}
    if what == "delay":
        delay = Duration(random.choice(DELAYS) * MILLISECOND)
        return {"delay": delay, "jitter": Duration(DELAY_JITTER)}
    if what == "slow":
        return {"rate": random.choice(SLOW_RATES)}
    if what == "wall jumps":
        return {"ahead": random.choice(WALL_CLOCK_JUMPS)}
    return {}


def _draw_cut(step: FaultStep, names: list[str], random: Random) -> FaultStep:
    """A cut between the step's process and some others or all, in one direction or both."""
    both = random.random() < CUT_BOTH_WAYS
    is_from_all = random.random() < CUT_FROM_ALL
    others = [] if is_from_all else random.sample(names, max(1, len(names) // 2))
    is_incoming = not both and random.random() < CUT_INCOMING
    origin, target = (others, step.who) if is_incoming else (step.who, others)
    return msgspec.structs.replace(step, who=origin, to=target, both=both)
