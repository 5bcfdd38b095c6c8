"""What the keepers agree on: who holds which lease under which token. Without I/O and without time.

A command is a plain list, its first item the verb; applying one never fails, what no longer fits is left out.
When a lease is over is known to the leading keeper alone, which counts by its own monotonic clock
(`keeper.py`) and says with a grant which tokens have ended. So no clock has to agree with another.

A token only grows, over the whole life of all names: a restored state begins a new era, above all tokens of
the one before.
"""

from collections.abc import Callable
from typing import Any

import msgspec

FORMAT = 1
ERA_BITS = 24  # tokens of one era

# Verbs and what follows them.
GRANT = "grant"  # name, holder, duration (ns), places, tokens that are over
RELEASE = "release"  # rows of name, token
ERA = "era"  # number


class LeaseGrant(msgspec.Struct, array_like=True):
    holder: str
    token: int
    duration: int  # ns


class LeaseSnapshot(msgspec.Struct, array_like=True):
    format: int
    last: int
    era: int
    names: dict[str, list[LeaseGrant]]


class LeaseStateMachine:
    """The state of the keepers' log."""

    def __init__(self) -> None:
        self.last = 0  # the latest token
        self.era = 0
        self.names: dict[str, list[LeaseGrant]] = {}  # only those that are held
        self.on_granted: Callable[[str, LeaseGrant], None] = lambda name, held: None
        self.on_over: Callable[[str, LeaseGrant], None] = lambda name, held: None

    # ---- The state of the log ----

    def apply(self, index: int, command: list[Any]) -> None:
        verb, *what = command
        if verb == GRANT:
            self._grant(*what)
        elif verb == RELEASE:
            for name, token in what[0]:
                self._over(name, {token})
        elif verb == ERA and what[0] > self.era:
            # Who held what when the backup was made says nothing about now.
            self.era = what[0]
            for name, held in list(self.names.items()):
                self._over(name, {one.token for one in held})

    def take_snapshot(self) -> bytes:
        return msgspec.msgpack.encode(LeaseSnapshot(FORMAT, self.last, self.era, self.names))

    def restore_snapshot(self, data: bytes) -> None:
        dump = msgspec.msgpack.decode(data, type=LeaseSnapshot) if data else LeaseSnapshot(FORMAT, 0, 0, {})
        self.last, self.era, self.names = dump.last, dump.era, dump.names

    # ---- Verbs ----

    def _grant(self, name: str, holder: str, duration: int, places: int, over: list[int]) -> None:
        self._over(name, set(over))
        held = self.names.get(name, [])
        if len(held) >= places or any(one.holder == holder for one in held):
            return
        self.last = self.next_token()
        granted = LeaseGrant(holder, self.last, duration)
        self.names.setdefault(name, []).append(granted)
        self.on_granted(name, granted)

    def next_token(self) -> int:
        return max(self.last + 1, self.era << ERA_BITS)

    def _over(self, name: str, tokens: set[int]) -> None:
        held = self.names.get(name, [])
        ended = [one for one in held if one.token in tokens]
        if not ended:
            return
        left = [one for one in held if one.token not in tokens]
        if left:
            self.names[name] = left
        else:
            del self.names[name]
        for one in ended:
            self.on_over(name, one)

    # ---- What is asked ----

    def held(self, name: str, holder: str) -> LeaseGrant | None:
        return next((one for one in self.names.get(name, ()) if one.holder == holder), None)
