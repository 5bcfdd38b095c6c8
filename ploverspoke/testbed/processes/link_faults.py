"""What becomes of what goes from one process to another, without I/O: time and chance come from outside.

A link is one direction between two processes. Faults lie over one another, each with a number by which it is
lifted again: delays add up, the worst loss counts, one cut is enough.
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND

AGAIN_AFTER = 200 * MILLISECOND  # a lost piece of a stream: the kernel would send it again after so long
MOST_AGAIN = 6  # times, each twice as late


class LinkFault(msgspec.Struct, frozen=True):
    """Of the links from any of `origin` to any of `target`; an empty list is everyone."""

    origin: list[str] = []
    target: list[str] = []
    delay: int = 0  # ns
    jitter: int = 0  # ns at the most, drawn for each datagram or piece
    loss: float = 0.0  # share
    double: float = 0.0  # share of datagrams that come twice
    double_late: int = 0  # ns at the most, the second after the first
    reorder: float = 0.0  # share of datagrams that come behind later ones
    cut: bool = False
    rate: float = 0.0  # bytes a second; 0: no bound
    silent: bool = False  # new connections are taken and never heard of again

    def covers(self, origin: str, target: str) -> bool:
        return (not self.origin or origin in self.origin) and (not self.target or target in self.target)


class Link:
    """One direction. Counts what happened to it."""

    def __init__(self, fraction: Callable[[], float]) -> None:
        self.fraction = fraction
        self.faults: dict[int, LinkFault] = {}
        self.now = LinkFault()  # all of them together
        self.free_at = 0  # when a slow link has sent what it was given so far
        self.passed = self.lost = self.doubled = self.late = self.octets = 0

    def lay(self, number: int, fault: LinkFault) -> None:
        self.faults[number] = fault
        self._together()

    def lift(self, number: int) -> None:
        if self.faults.pop(number, None) is not None:
            self._together()

    def _together(self) -> None:
        all_of = list(self.faults.values())
        rates = [f.rate for f in all_of if f.rate]
        self.now = LinkFault(
            delay=sum(f.delay for f in all_of),
            jitter=sum(f.jitter for f in all_of),
            loss=max((f.loss for f in all_of), default=0.0),
            double=max((f.double for f in all_of), default=0.0),
            double_late=max((f.double_late for f in all_of), default=0),
            reorder=max((f.reorder for f in all_of), default=0.0),
            cut=any(f.cut for f in all_of),
            rate=min(rates, default=0.0),
            silent=any(f.silent for f in all_of),
        )

    def _happens(self, share: float) -> bool:
        return share > 0 and self.fraction() < share

    def _sent_at(self, now: int, size: int) -> int:
        """When its last byte has left, and the way is over."""
        rate = self.now.rate
        if rate:
            self.free_at = max(now, self.free_at) + int(size / rate * SECOND)
            now = self.free_at
        jitter = self.now.jitter
        return now + self.now.delay + (int(self.fraction() * jitter) if jitter else 0)

    def datagram(self, now: int, size: int) -> list[int]:
        """When it arrives: never, once or twice."""
        f = self.now
        if f.cut or self._happens(f.loss):
            self.lost += 1
            return []
        at = self._sent_at(now, size)
        if self._happens(f.reorder):
            self.late += 1
            at += f.delay + f.jitter + MILLISECOND
        self.passed += 1
        self.octets += size
        if self._happens(f.double):
            self.doubled += 1
            return [at, at + int(self.fraction() * f.double_late)]
        return [at]

    def piece(self, now: int, size: int) -> int:
        """When a piece of a stream arrives, unless there is a cut then: it may be late, and is never lost."""
        at, again = self._sent_at(now, size), AGAIN_AFTER
        for _ in range(MOST_AGAIN):
            if not self._happens(self.now.loss):
                break
            self.late += 1
            at, again = at + again, 2 * again
        self.passed += 1
        self.octets += size
        return at


class Links:
    """All links among so many processes, made when they are first asked for."""

    def __init__(self, chance: Callable[[str], Callable[[], float]]) -> None:
        """`chance` gives a stream of fractions for a link's name: one link's draws shift no other's."""
        self.chance = chance
        self.links: dict[tuple[str, str], Link] = {}
        self.faults: dict[int, LinkFault] = {}

    def link(self, origin: str, target: str) -> Link:
        found = self.links.get((origin, target))
        if found is None:
            found = self.links[origin, target] = Link(self.chance(f"{origin}>{target}"))
            for number, fault in self.faults.items():
                if fault.covers(origin, target):
                    found.lay(number, fault)
        return found

    def lay(self, number: int, fault: LinkFault) -> None:
        self.faults[number] = fault
        for link in self._covered(fault):
            link.lay(number, fault)

    def lift(self, number: int) -> None:
        fault = self.faults.pop(number, None)
        for link in self._covered(fault) if fault is not None else ():
            link.lift(number)

    def _covered(self, fault: LinkFault) -> Iterable[Link]:
        return [link for ends, link in self.links.items() if fault.covers(*ends)]

    def counts(self) -> dict[str, Any]:
        """What passed, was lost, came twice, came late; over all links."""
        kinds = ("passed", "lost", "doubled", "late", "octets")
        return {kind: sum(getattr(link, kind) for link in self.links.values()) for kind in kinds}

    def octets(self) -> dict[str, int]:
        """What passed on each link, as "origin>target"."""
        return {f"{origin}>{target}": link.octets for (origin, target), link in self.links.items()}
