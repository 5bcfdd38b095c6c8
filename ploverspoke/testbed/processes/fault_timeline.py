"""What is done to the processes and links of a run, and when: written in a file, or drawn from a seed.

A step is one row, `{at, what, who, to, lasts, ...}`. `who` are processes by name; `to`, for links, the other
ends. What lasts is lifted again by itself.
"""

from collections.abc import Sequence
from random import Random
from typing import Any

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND, Duration, format_duration

LINK_FAULTS = ("delay", "loss", "double", "reorder", "cut", "slow", "silent", "reset", "rough")
ON_PROCESSES = (
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
LAST = ("pause", "starve", "disk full", "disk fails", "slow sync")  # those on processes with an end


class TimelineError(ValueError):
    """The text names the row and the key."""


class FaultStep(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Times are ns from the start of the run."""

    at: Duration
    what: str
    who: list[str] = []
    to: list[str] = []  # empty: everyone
    lasts: Duration = Duration(
        0
    )  # links: 0 is until the end; "kill", "empty", "older": how long it stays down
    both: bool = False  # the links back, too
    delay: Duration = Duration(0)
    jitter: Duration = Duration(0)
    share: float = 0.0
    rate: float = 0.0  # bytes a second; of a clock, beside the machine's
    ahead: float = 0.0  # s, of the wall clock; negative: behind

    def told(self) -> str:
        words = [format_duration(self.at), self.what, ",".join(self.who) or "all"]
        if self.what in LINK_FAULTS:
            words += ["<>" if self.both else ">", ",".join(self.to) or "all"]
        if self.lasts:
            words += ["for", format_duration(self.lasts)]
        return " ".join(words)


def check_timeline(steps: Sequence[FaultStep], names: Sequence[str]) -> list[FaultStep]:
    """In order of time. Raises TimelineError."""
    for number, step in enumerate(steps):
        row = f"timeline[{number}]"
        if step.what not in LINK_FAULTS + ON_PROCESSES:
            raise TimelineError(
                f"{row}.what: {step.what!r} is none of {', '.join(LINK_FAULTS + ON_PROCESSES)}"
            )
        for key in ("who", "to"):
            for name in getattr(step, key):
                if name not in names:
                    raise TimelineError(f"{row}.{key}: no process is called {name!r}")
        if step.what in ON_PROCESSES and not step.who:
            raise TimelineError(f"{row}.who: expected at least one process")
        if step.what in LAST and not step.lasts:
            raise TimelineError(f"{row}.lasts: expected how long it lasts")
        if step.what in ("slow", "clock") and step.rate <= 0:
            raise TimelineError(f"{row}.rate: expected more than 0")
        if step.what in ("loss", "double", "reorder") and not 0 < step.share <= 1:
            raise TimelineError(f"{row}.share: expected more than 0 and at most 1")
        if step.what == "delay" and not (step.delay or step.jitter):
            raise TimelineError(f"{row}.delay: expected a time, here or in jitter")
    return sorted(steps, key=lambda step: step.at)


class FaultWeight(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A kind of trouble that a drawn timeline has."""

    what: str
    who: list[str]
    every: Duration  # on the average, one from another's begin
    lasts: list[Duration]  # the shortest and the longest


def draw_timeline(weights: Sequence[FaultWeight], lasts: int, seed: int, calm: int = 0) -> list[FaultStep]:
    """The same for the same seed. Nothing begins in the last `calm` ns, and nothing lasts into them."""
    found = []
    for number, weight in enumerate(weights):
        chance = Random(f"{seed} timeline {number} {weight.what}")
        at = chance.expovariate(1.0) * weight.every
        while at < lasts - calm:
            shortest, longest = weight.lasts
            # Short ones are as frequent as long ones by the decade: drawn evenly, few would be short.
            span = shortest * (longest / shortest) ** chance.random() if shortest else 0
            span = min(span, lasts - calm - at)
            found.append(_step(weight, Duration(int(at)), Duration(int(span)), chance))
            at += chance.expovariate(1.0) * weight.every
    return sorted(found, key=lambda step: step.at)


def _step(weight: FaultWeight, at: Duration, lasts: Duration, chance: Random) -> FaultStep:
    one = chance.choice(weight.who)
    values: dict[str, Any] = {"at": at, "what": weight.what, "who": [one], "lasts": lasts}
    if weight.what in LAST and not lasts:
        values["lasts"] = Duration(MILLISECOND)
    if weight.what == "cut":
        # One direction or both, towards some or towards all.
        values["both"] = chance.random() < 0.4
        values["to"] = (
            [] if chance.random() < 0.4 else chance.sample(weight.who, max(1, len(weight.who) // 2))
        )
        if not values["both"] and chance.random() < 0.5:
            values["who"], values["to"] = values["to"], [one]
    elif weight.what in ("loss", "double", "reorder"):
        values["share"] = chance.choice([0.05, 0.2, 0.5])
        values["jitter"] = Duration(2 * SECOND)
    elif weight.what == "rough":
        values |= {
            "share": chance.choice([0.02, 0.1]),
            "jitter": Duration(chance.choice([5, 50]) * MILLISECOND),
        }
        values["both"] = True
    elif weight.what == "delay":
        values |= {
            "delay": Duration(chance.choice([5, 50, 300]) * MILLISECOND),
            "jitter": Duration(20 * MILLISECOND),
        }
    elif weight.what == "slow":
        values["rate"] = chance.choice([2_000.0, 20_000.0])
    elif weight.what == "wall jumps":
        values["ahead"] = chance.choice([-3600.0, -60.0, 60.0, 3600.0])
    return FaultStep(**values)
