"""Faults on network links between processes, without I/O: the caller passes the time and the random numbers.

A link is one direction between two processes. Several faults may be active on it, each with a number by which
it is removed again. Delays add up, the highest loss applies, and a single cut is enough to cut the link.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from ..experiment_files.durations import MILLISECOND, SECOND

RETRANSMIT_TIMEOUT = 200 * MILLISECOND  # the kernel's minimum; it doubles after each loss of a segment
MAX_RETRANSMITS = 6

RandomFraction = Callable[[], float]  # a number from 0 up to 1


class LinkFault(msgspec.Struct, frozen=True):
    """A fault on the links from each of `origin` to each of `target`; an empty list means every process."""

    origin: list[str] = []
    target: list[str] = []
    delay: int = 0  # ns
    jitter: int = 0  # ns at most, drawn for each datagram or segment
    loss: float = 0.0  # share
    duplicate: float = 0.0  # share of datagrams that arrive twice
    duplicate_delay: int = 0  # ns at most from the first copy to the second
    reorder: float = 0.0  # share of datagrams that arrive after later ones
    cut: bool = False
    rate: float = 0.0  # bytes a second; 0: unlimited
    silent: bool = False  # new connections are accepted and never served

    def covers(self, origin: str, target: str) -> bool:
        """Whether the link between these processes has the fault."""
        return (not self.origin or origin in self.origin) and (not self.target or target in self.target)


class LinkCounters(NamedTuple):
    """Counts of datagrams and segments."""

    passed: int = 0
    lost: int = 0
    duplicated: int = 0
    delayed: int = 0  # reordered or retransmitted
    bytes_passed: int = 0


class Link:
    """One direction between two processes, with its faults and counters."""

    def __init__(self, random_fraction: RandomFraction) -> None:
        """Start without faults."""
        self.random_fraction = random_fraction
        self.faults: dict[int, LinkFault] = {}
        self.effective = LinkFault()  # the combination of all faults
        self._free_at = 0  # ns; when a link with a limited rate has sent all data so far
        self._passed = self._lost = self._duplicated = self._delayed = 0
        self.bytes_passed = 0

    def add_fault(self, number: int, fault: LinkFault) -> None:
        """Activate a fault."""
        self.faults[number] = fault
        self.effective = combine_faults(self.faults.values())

    def remove_fault(self, number: int) -> None:
        """Deactivate a fault; does nothing if it isn't active."""
        if self.faults.pop(number, None) is not None:
            self.effective = combine_faults(self.faults.values())

    def counters(self) -> LinkCounters:
        """The counts so far."""
        return LinkCounters(self._passed, self._lost, self._duplicated, self._delayed, self.bytes_passed)

    def datagram_arrivals(self, now: int, size: int) -> list[int]:
        """The arrival times (ns) of a datagram of `size` bytes: none, one or two."""
        fault = self.effective
        if fault.cut or self._occurs(fault.loss):
            self._lost += 1
            return []
        arrives_at = self._arrival(now, size)
        if self._occurs(fault.reorder):
            self._delayed += 1
            arrives_at += fault.delay + fault.jitter + MILLISECOND
        self._passed += 1
        self.bytes_passed += size
        if self._occurs(fault.duplicate):
            self._duplicated += 1
            return [arrives_at, arrives_at + int(self.random_fraction() * fault.duplicate_delay)]
        return [arrives_at]

    def segment_arrival(self, now: int, size: int) -> int:
        """The arrival time (ns) of `size` bytes of a stream: they may be late, but are never lost.

        During a cut the caller holds them back.
        """
        arrives_at, timeout = self._arrival(now, size), RETRANSMIT_TIMEOUT
        for _ in range(MAX_RETRANSMITS):
            if not self._occurs(self.effective.loss):
                break
            self._delayed += 1
            arrives_at += timeout
            timeout *= 2
        self._passed += 1
        self.bytes_passed += size
        return arrives_at

    def _occurs(self, share: float) -> bool:
        return share > 0 and self.random_fraction() < share

    def _arrival(self, now: int, size: int) -> int:
        """The arrival time (ns) of the last byte, by the link's rate, delay and jitter."""
        rate = self.effective.rate
        if rate:
            self._free_at = max(now, self._free_at) + int(size / rate * SECOND)
            now = self._free_at
        jitter = self.effective.jitter
        return now + self.effective.delay + (int(self.random_fraction() * jitter) if jitter else 0)


class LinkTable:
    """All links between processes, created on first use."""

    def __init__(self, random_stream: Callable[[str], RandomFraction]) -> None:
        """`random_stream` makes a stream from a link's name: the draws of one link must affect no other."""
        self._random_stream = random_stream
        self._links: dict[tuple[str, str], Link] = {}
        self._faults: dict[int, LinkFault] = {}

    def link(self, origin: str, target: str) -> Link:
        """The link in that direction."""
        link = self._links.get((origin, target))
        if link is None:
            link = self._links[origin, target] = Link(self._random_stream(f"{origin}>{target}"))
            for number, fault in self._faults.items():
                if fault.covers(origin, target):
                    link.add_fault(number, fault)
        return link

    def add_fault(self, number: int, fault: LinkFault) -> None:
        """Activate a fault on all links that it covers, also on later ones."""
        self._faults[number] = fault
        for link in self._covered_links(fault):
            link.add_fault(number, fault)

    def remove_fault(self, number: int) -> None:
        """Deactivate a fault; does nothing if it isn't active."""
        fault = self._faults.pop(number, None)
        for link in self._covered_links(fault) if fault is not None else ():
            link.remove_fault(number)

    def counters(self) -> LinkCounters:
        """The sums over all links."""
        counters = [link.counters() for link in self._links.values()]
        return LinkCounters(*map(sum, zip(*counters, strict=True))) if counters else LinkCounters()

    def bytes_by_link(self) -> dict[str, int]:
        """The bytes that passed each link, by "origin>target"."""
        return {f"{origin}>{target}": link.bytes_passed for (origin, target), link in self._links.items()}

    def _covered_links(self, fault: LinkFault) -> list[Link]:
        return [link for (origin, target), link in self._links.items() if fault.covers(origin, target)]


def combine_faults(faults: Iterable[LinkFault]) -> LinkFault:
    """The effect of several faults on one link."""
    active = list(faults)
    return LinkFault(
        delay=sum(fault.delay for fault in active),
        jitter=sum(fault.jitter for fault in active),
        loss=max((fault.loss for fault in active), default=0.0),
        duplicate=max((fault.duplicate for fault in active), default=0.0),
        duplicate_delay=max((fault.duplicate_delay for fault in active), default=0),
        reorder=max((fault.reorder for fault in active), default=0.0),
        cut=any(fault.cut for fault in active),
        rate=min((fault.rate for fault in active if fault.rate), default=0.0),
        silent=any(fault.silent for fault in active),
    )
