"""State of load gossip: the peers, their latest reports, and the workers that this dispatcher uses."""

from bisect import insort
from collections.abc import Mapping
from dataclasses import dataclass, field
from math import ceil
from typing import NamedTuple

from .interface import LoadGossip
from .state import Worker

# Sequence numbers are compared as serial numbers (RFC 1982), as they wrap around.
SEQUENCE_MODULUS = 255
MAX_SEQUENCE_LEAD = 128


class PeerReport(NamedTuple):
    """Latest gossip of one peer."""

    sequence: int
    received_at: int
    workers: list[Worker]
    lateness: float
    zone: int


@dataclass(eq=False)
class PeerReports:
    """The latest report of each peer, oldest first; `Worker.peer_slots` counts the reported slots."""

    workers: Mapping[str, Worker]
    by_peer: dict[int, PeerReport] = field(default_factory=dict)

    def record(self, peer: int, gossip: LoadGossip, now: int) -> bool:
        """Replace a peer's last report; returns False if the message is late or a duplicate."""
        last_report, sequence = self.by_peer.get(peer), gossip.sequence
        # Sequence number 0 is the first after a start, and 255 is followed by 1.
        if (
            last_report is not None
            and sequence
            and not 0 < (sequence - last_report.sequence) % SEQUENCE_MODULUS < MAX_SEQUENCE_LEAD
        ):
            return False
        self._drop(peer)
        workers = [self.workers[name] for name in gossip.workers if name in self.workers]
        for worker in workers:
            worker.peer_slots += 1
        self.by_peer[peer] = PeerReport(gossip.sequence, now, workers, gossip.lateness, gossip.zone)
        return True

    def drop_older(self, received_before: int) -> None:
        """Drop the reports that were received before that time."""
        while self.by_peer:
            oldest = next(iter(self.by_peer))
            if self.by_peer[oldest].received_at >= received_before:
                return
            self._drop(oldest)

    def lateness(self, zone: int) -> list[float]:
        """Lateness of the zone's peers."""
        return [report.lateness for report in self.by_peer.values() if report.zone == zone]

    def _drop(self, peer: int) -> None:
        report = self.by_peer.pop(peer, None)
        for worker in report.workers if report else ():
            worker.peer_slots -= 1


@dataclass(eq=False)
class KnownPeers:
    """Peers from which gossip was ever received, in order of their numbers."""

    local: list[int] = field(default_factory=list)  # of this dispatcher's zone
    remote: list[int] = field(default_factory=list)

    def add(self, peer: int, is_local: bool) -> None:
        """Remember a peer."""
        peers = self.local if is_local else self.remote
        if peer not in peers:
            insort(peers, peer)


@dataclass(eq=False)
class BusyWorkers:
    """Workers with slots of this dispatcher in flight, in the order in which they became busy."""

    by_name: dict[str, Worker] = field(default_factory=dict)

    def update(self, worker: Worker) -> None:
        """Record whether a worker has attempts in flight."""
        if worker.attempts:
            self.by_name[worker.name] = worker
        else:
            self.by_name.pop(worker.name, None)

    def slots(self) -> list[str]:
        """Names of the workers with slots in flight, one entry for each slot."""
        return [worker.name for worker in self.by_name.values() for _ in range(ceil(worker.in_flight))]
