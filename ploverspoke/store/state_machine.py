"""The state that the log changes: versions of the configuration, and what became of each submission.

A command is a plain list, its first item the verb. Applying one never fails: what no longer fits is left out.
All times are in it (nanoseconds of the store's own clock, the leader's), so that every replica comes to the
same state; wall times are there beside them, for people and for what happened while no replica ran.
Bounds hold by count and by bytes of results: the oldest answers go first, open submissions never.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

MOST_ANSWERS = 200_000
MOST_RESULT_BYTES = 64 * 1024 * 1024
KEPT_FOR = 15 * 60 * 1_000_000_000  # an answer, after the abandon time
CONFIGURATIONS = 20
FORMAT = 1

# Verbs and what follows them.
TAKE = "take"  # id, grade, digest of the request, abandon time, now
INTEND = "intend"  # id, worker, index of the hand-off, now, wall time
OUTCOME = "outcome"  # id, index, outcome
ANSWER = "answer"  # id, how, result, digest, now
CONFIGURE = "configure"  # body, who, wall time, token of a lease (0: none)


class Intent(msgspec.Struct, array_like=True):
    """A hand-off that was allowed to leave."""

    worker: str
    index: int
    at: int
    outcome: str = ""  # "": not known
    wall: int = 0  # ns of Unix time


class Open(msgspec.Struct, array_like=True):
    """One submission taken and not yet answered."""

    grade: int
    digest: bytes
    abandon_at: int
    taken_at: int
    intents: list[Intent] = []


class Answered(msgspec.Struct, array_like=True):
    how: str  # "satisfied", "nacked", "abandoned", "rejected"
    result: str
    digest: bytes
    forget_at: int


class Configuration(msgspec.Struct, array_like=True):
    version: int
    body: str
    by: str
    at: int


class RequestSnapshot(msgspec.Struct, array_like=True):
    format: int
    open: dict[str, Open]
    answered: dict[str, Answered]
    configurations: list[Configuration]
    now: int = 0  # 0: written when times were Unix time
    configured_under: int = 0


class RequestStateMachine:
    def __init__(self, most_answers: int = MOST_ANSWERS, most_bytes: int = MOST_RESULT_BYTES) -> None:
        self.most_answers = most_answers
        self.most_bytes = most_bytes
        self.open: dict[str, Open] = {}
        self.answered: OrderedDict[str, Answered] = OrderedDict()
        self.result_bytes = 0
        self.configurations: list[Configuration] = []
        self.on_configuration: Callable[[Configuration], None] | None = None
        self.configured_under = 0  # the highest token that a configuration came with
        self.now = 0  # of the latest entry
        self.on_time: Callable[[int], None] | None = None

    # ---- The state of the log ----

    def apply(self, index: int, command: list[Any]) -> None:
        verb, *what = command
        if verb == TAKE:
            self._take(*what)
        elif verb == INTEND:
            self._intend(*what)
        elif verb == OUTCOME:
            self._outcome(*what)
        elif verb == ANSWER:
            self._answer(*what)
        elif verb == CONFIGURE:
            self._configure(*what)
        # A verb that a later version knows changes nothing here; the format of the store says when that
        # matters.

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode(
            RequestSnapshot(
                FORMAT, self.open, dict(self.answered), self.configurations, self.now, self.configured_under
            )
        )

    def restore_snapshot(self, data: bytes) -> None:
        dump: RequestSnapshot = (
            msgspec.msgpack.decode(data, type=RequestSnapshot)
            if data
            else RequestSnapshot(FORMAT, {}, {}, [])
        )
        self.open = dump.open
        self.answered = OrderedDict(dump.answered)
        self.result_bytes = sum(len(a.result) for a in self.answered.values())
        self.configurations = dump.configurations
        self.configured_under = dump.configured_under
        self.now = 0
        self._time(dump.now or max((job.taken_at for job in self.open.values()), default=0))
        self._tell_configuration()

    def _time(self, now: int) -> None:
        self.now = max(self.now, now)
        if self.on_time is not None:
            self.on_time(self.now)

    # ---- Verbs ----

    def _take(self, name: str, grade: int, digest: bytes, abandon_at: int, now: int) -> None:
        self._time(now)
        if name not in self.open and name not in self.answered:
            self.open[name] = Open(grade, digest, abandon_at, now, [])

    def _intend(self, name: str, worker: str, index: int, now: int, wall: int = 0) -> None:
        self._time(now)
        job = self.open.get(name)
        if job is not None:
            # An entry of an older version has wall time only.
            job.intents.append(Intent(worker, index, now, wall=wall or now))

    def _outcome(self, name: str, index: int, outcome: str) -> None:
        job = self.open.get(name)
        for intent in job.intents if job is not None else ():
            if intent.index == index and not intent.outcome:
                intent.outcome = outcome

    def _answer(self, name: str, how: str, result: str, digest: bytes, now: int) -> None:
        """The first answer stands."""
        self._time(now)
        if name in self.answered:
            return
        job = self.open.pop(name, None)
        forget_at = max(now, job.abandon_at if job is not None else now) + KEPT_FOR
        self.answered[name] = Answered(how, result, job.digest if job is not None else digest, forget_at)
        self.result_bytes += len(result)
        while self.answered:
            oldest = next(iter(self.answered))
            full = len(self.answered) > self.most_answers or self.result_bytes > self.most_bytes
            if oldest == name or (not full and self.answered[oldest].forget_at > now):
                break
            self.result_bytes -= len(self.answered.pop(oldest).result)

    def _configure(self, body: str, by: str, now: int, token: int = 0) -> None:
        # Once they are published under a lease, an old publisher's comes too late, and so does one without.
        if token < self.configured_under:
            return
        self.configured_under = token
        version = self.configurations[-1].version + 1 if self.configurations else 1
        self.configurations.append(Configuration(version, body, by, now))
        del self.configurations[:-CONFIGURATIONS]
        self._tell_configuration()

    def _tell_configuration(self) -> None:
        if self.on_configuration is not None and self.configurations:
            self.on_configuration(self.configurations[-1])

    # ---- What is asked ----

    def configuration(self) -> Configuration | None:
        return self.configurations[-1] if self.configurations else None
