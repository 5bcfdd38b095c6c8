"""What config servers agree on: the versions in their order, and the answer to each publish request.

State of the log, without I/O. A command is bytes of msgpack, a list with its verb first; applying one never
fails, and what no longer fits changes nothing but is answered so.
"""

from collections.abc import Callable, Sequence
from hashlib import blake2b
from typing import Any

import msgspec

FORMAT = 1
KEPT = 64  # versions
KEPT_BYTES = 4 * 1024 * 1024  # of their bodies together, the latest left out
ANSWERS_KEPT = 4096  # of publish requests
DIGEST = 16  # bytes

PUBLISH = "publish"  # body, its canonical digest, the version that is expected, by whom, id of the request


def digest_of(body: str) -> bytes:
    return blake2b(body.encode(), digest_size=DIGEST).digest()


class Version(msgspec.Struct, array_like=True, frozen=True):
    number: int
    body: str
    digest: bytes  # of the body as it was published
    canonical: bytes  # of the same values, however they were written
    by: str
    id: str  # of the request that published it

    def says(self) -> str:
        """The digest as log lines show it."""
        return self.digest.hex()[:16]


class Answer(msgspec.Struct, array_like=True, frozen=True):
    """To one publish request, for good."""

    done: bool
    version: int  # that it made; that which is in force where it made none
    why: str


class ConfigSnapshot(msgspec.Struct, array_like=True):
    format: int
    versions: list[Version]
    answers: dict[str, Answer]


def surplus(versions: Sequence[Version]) -> int:
    """How many of the oldest are over what is kept; the latest and the one before it never are."""
    count, size = 0, sum(len(version.body) for version in versions[:-1])
    while len(versions) - count > 2 and (len(versions) - count > KEPT or size > KEPT_BYTES):
        size -= len(versions[count].body)
        count += 1
    return count


def publish_command(body: str, same: bytes, expect: int, by: str, request: str) -> bytes:
    return msgspec.msgpack.encode([PUBLISH, body, same, expect, by, request])


class ConfigStateMachine:
    """The state of the config servers' log."""

    def __init__(self) -> None:
        self.kept: list[Version] = []  # the latest last
        self.answers: dict[str, Answer] = {}  # the oldest first
        self.on_version: Callable[[Version], None] = lambda version: None

    # ---- The state of the log ----

    def apply(self, index: int, command: bytes) -> None:
        verb, *what = msgspec.msgpack.decode(command)
        if verb == PUBLISH:
            self._publish(*what)
        # A verb that a later release knows changes nothing here.

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode(ConfigSnapshot(FORMAT, self.kept, self.answers))

    def restore_snapshot(self, data: bytes) -> None:
        dump = msgspec.msgpack.decode(data, type=ConfigSnapshot) if data else ConfigSnapshot(FORMAT, [], {})
        self.kept, self.answers = dump.versions, dump.answers
        for version in self.kept:
            self.on_version(version)

    # ---- What is asked ----

    def latest(self) -> Version | None:
        return self.kept[-1] if self.kept else None

    def number(self) -> int:
        """Of the latest; 0 where there is none."""
        return self.kept[-1].number if self.kept else 0

    def get(self, number: int) -> Version | None:
        return next((version for version in self.kept if version.number == number), None)

    def rows(self) -> list[list[Any]]:
        return [[v.number, v.digest.hex(), v.by, v.id] for v in self.kept]

    # ---- Verbs ----

    def _publish(self, body: str, same: bytes, expect: int, by: str, request: str) -> None:
        if request in self.answers:
            return  # asked again after a lost answer
        present, latest = self.number(), self.latest()
        if latest is not None and latest.canonical == same:
            answer = Answer(True, present, f"version {present} says the same")
        elif expect != present:
            answer = Answer(False, present, f"version {present} is in force, and {expect} was expected")
        else:
            version = Version(present + 1, body, digest_of(body), same, by, request)
            self.kept.append(version)
            del self.kept[: surplus(self.kept)]
            answer = Answer(True, version.number, "")
            self.on_version(version)
        self.answers[request] = answer
        while len(self.answers) > ANSWERS_KEPT:
            del self.answers[next(iter(self.answers))]
