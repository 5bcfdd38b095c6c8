"""What becomes of open submissions when a replica takes over: decided from the ledger alone, without I/O.

`fate` is asked for each one that was open in the ledger when this replica came to lead. Its client may come
back with the same id, and then brings the request again; until then there is nothing that could be sent.
"""

from enum import Enum, auto
from typing import NamedTuple

from ploverspoke.decisions.interface import never_ran

from .state_machine import Intent, Open


class Fate(Enum):
    FREE = auto()  # no hand-off of it may have run: it goes as a new one, or is nacked when its time is over
    BOUND = auto()  # labelled, and one may have run: only in its group and window
    LOST = auto()  # irreversible, and one may have run: abandoned, and never sent again


class Recovered(NamedTuple):
    fate: Fate
    may_have_run: Intent | None  # the first that may have
    hand_offs: int  # so many are spent


def fate(job: Open, repeat: str, full_may_have_run: bool = False) -> Recovered:
    """`repeat` is that of its grade: redoable, labelled or irreversible."""
    proof = never_ran(full_may_have_run)
    first = next((i for i in job.intents if i.outcome not in proof), None)
    spent = len(job.intents)
    if first is None or repeat == "redoable":
        return Recovered(Fate.FREE, None, spent)
    return Recovered(Fate.LOST if repeat == "irreversible" else Fate.BOUND, first, spent)


def answer_when_over(job: Open, repeat: str, group_is_all: bool, full_may_have_run: bool = False) -> str:
    """The final answer of one whose client did not come back in time."""
    found = fate(job, repeat, full_may_have_run)
    if found.fate is Fate.FREE or (found.fate is Fate.BOUND and group_is_all):
        return "nacked"
    return "abandoned"
