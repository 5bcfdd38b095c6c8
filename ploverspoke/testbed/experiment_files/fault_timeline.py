"""Fault timelines: the faults of processes and links in a run, as experiment files list them.

A step is one row of an experiment file, `{at, what, who, to, lasts, ...}`. `who` names processes; for link
faults, `to` names those at the other ends. A step with `lasts` ends by itself. Errors name these keys.
"""

from collections.abc import Sequence

import msgspec

from .durations import Duration, format_duration

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
PROCESS_FAULTS_WITH_DURATION = ("pause", "starve", "disk full", "disk fails", "slow sync")


class TimelineError(ValueError):
    """The timeline or the rest of the experiment file is invalid.

    Attributes:
        key: The path of the invalid key, such as `timeline[0].who`; empty if the problem names it.
        problem: What is wrong with it.
    """

    def __init__(self, problem: str, *, key: str = "") -> None:
        """Build the message from the key and the problem."""
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
    """One step; times are in ns, and `start` counts from the start of the run."""

    start: Duration
    kind: str
    processes: list[str] = []
    peers: list[str] = []  # at the other ends of links; empty: all processes
    # 0 on a link: until the end of the run. For "kill", "empty" and "older": how long the process stays down.
    duration: Duration = Duration(0)
    both_directions: bool = False  # of links
    delay: Duration = Duration(0)
    jitter: Duration = Duration(0)
    probability: float = 0.0
    rate: float = 0.0  # bytes per second; for a clock, relative to the machine's clock
    wall_clock_offset: float = 0.0  # seconds; negative: behind

    def describe(self) -> str:
        """Return the step as one line."""
        words = [format_duration(self.start), self.kind, ",".join(self.processes) or "all"]
        if self.kind in LINK_FAULTS:
            words += ["<>" if self.both_directions else ">", ",".join(self.peers) or "all"]
        if self.duration:
            words += ["for", format_duration(self.duration)]
        return " ".join(words)


def check_timeline(steps: Sequence[FaultStep], names: Sequence[str]) -> list[FaultStep]:
    """Check the steps and return them in order of time; `names` are all processes. Raises TimelineError."""
    for number, step in enumerate(steps):
        row = f"timeline[{number}]"
        _check_names(row, step, names)
        _check_values(row, step)
    return sorted(steps, key=lambda step: step.start)


def _check_names(row: str, step: FaultStep, names: Sequence[str]) -> None:
    kinds = LINK_FAULTS + PROCESS_FAULTS
    if step.kind not in kinds:
        raise TimelineError(key=f"{row}.what", problem=f"{step.kind!r} is not one of {', '.join(kinds)}")
    for key, chosen in (("who", step.processes), ("to", step.peers)):
        for name in chosen:
            if name not in names:
                raise TimelineError(key=f"{row}.{key}", problem=f"no process is called {name!r}")
    if step.kind in PROCESS_FAULTS and not step.processes:
        raise TimelineError(key=f"{row}.who", problem="expected at least one process")


def _check_values(row: str, step: FaultStep) -> None:
    if step.kind in PROCESS_FAULTS_WITH_DURATION and not step.duration:
        raise TimelineError(key=f"{row}.lasts", problem="expected a duration")
    if step.kind in ("slow", "clock") and step.rate <= 0:
        raise TimelineError(key=f"{row}.rate", problem="expected more than 0")
    if step.kind in ("loss", "double", "reorder") and not 0 < step.probability <= 1:
        raise TimelineError(key=f"{row}.share", problem="expected more than 0 and at most 1")
    if step.kind == "delay" and not (step.delay or step.jitter):
        raise TimelineError(key=f"{row}.delay", problem="expected a delay, here or in jitter")
