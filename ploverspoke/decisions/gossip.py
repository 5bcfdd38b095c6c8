"""Load gossip: when and to which peers it is sent, and how the gossip of peers is used (docs/messages.md)."""

from dataclasses import dataclass, field

from .context import Context
from .gossip_state import SEQUENCE_MODULUS, BusyWorkers, KnownPeers, PeerReports
from .interface import LoadGossip
from .observations import StartLateness
from .state import MILLISECOND, SECOND, PeriodicTimer, Worker

SEND_DELAY_NS = 40 * MILLISECOND  # after a change, so that changes at about the same time are sent together
SEND_INTERVAL_NS = 2 * SECOND  # while nothing changes
EXPIRY_NS = 5 * SECOND  # of a peer's report
REMOTE_RECEIVERS = 2  # randomly drawn peers of other zones that also receive each message


@dataclass(eq=False)
class GossipExchange:
    """Sends this dispatcher's gossip, and uses the gossip of its peers as a hint."""

    context: Context
    lateness: StartLateness
    reports: PeerReports
    peers: KnownPeers = field(default_factory=KnownPeers)
    busy: BusyWorkers = field(default_factory=BusyWorkers)
    sequence: int = 0
    last_sent: list[str] = field(default_factory=list)
    sent_at: int = -SEND_INTERVAL_NS
    next_send_at: int = 0  # 0: no message is scheduled

    def start(self, now: int) -> None:
        """Announce this dispatcher to all peers, twice because the first message may be lost."""
        if self.context.settings.gossip_allowed:
            self.send(now, to_all=True)
            self.context.timers.start(PeriodicTimer.GOSSIP_TO_ALL, now + SEND_INTERVAL_NS)

    def slots_changed(self, worker: Worker, now: int) -> None:
        """Schedule gossip to the zone's peers after the slots in flight at a worker have changed."""
        self.busy.update(worker)
        self._send_soon(now)

    def _send_soon(self, now: int) -> None:
        if self.context.settings.gossip_allowed and not now < self.next_send_at <= now + SEND_DELAY_NS:
            self.next_send_at = now + SEND_DELAY_NS
            self.context.timers.start(PeriodicTimer.GOSSIP, self.next_send_at)

    def send(self, now: int, to_all: bool = False) -> None:
        """Send to all peers, or to the next in the ring if slots have changed or the interval is over."""
        if now < self.next_send_at and not to_all:
            return
        slots = self.busy.slots()
        if to_all or slots != self.last_sent or now - self.sent_at >= SEND_INTERVAL_NS:
            peers = self._receivers()
            zone, lateness = self.context.settings.zone, self.lateness.current(now)
            gossip = LoadGossip(zone, self.sequence, lateness, slots)
            self.context.actions.send_gossip(None if to_all else peers, gossip)
            self.last_sent, self.sent_at, self.sequence = slots, now, self.sequence % SEQUENCE_MODULUS + 1
        self.next_send_at = self.sent_at + SEND_INTERVAL_NS if slots else 0
        if slots:
            self.context.timers.start(PeriodicTimer.GOSSIP, self.next_send_at)

    def _receivers(self) -> list[int]:
        own_index, local, remote = self.context.settings.dispatcher_index, self.peers.local, self.peers.remote
        ring = [*(peer for peer in local if peer > own_index), *(peer for peer in local if peer < own_index)]
        drawn = [remote[self.context.random.below(len(remote))] for _ in range(REMOTE_RECEIVERS) if remote]
        return ring[: self.context.gossip_fanout] + drawn

    def receive(self, peer: int, gossip: LoadGossip, now: int) -> None:
        """Record a peer's gossip; a peer of the same zone that has just started is answered soon."""
        settings = self.context.settings
        if not settings.gossip_allowed or peer == settings.dispatcher_index:
            return
        if not self.reports.record(peer, gossip, now):
            return
        self.peers.add(peer, is_local=gossip.zone == settings.zone)
        if not gossip.sequence and peer in self.peers.local:
            self.sent_at = -SEND_INTERVAL_NS
            self._send_soon(now)

    def expire(self, now: int) -> None:
        """Drop reports that are too old."""
        self.reports.drop_older(now - EXPIRY_NS)

    def peer_slots(self, worker: Worker) -> float:
        """Estimated slots of other dispatchers there, extrapolated to peers that do not send gossip here."""
        if not worker.peer_slots:
            return 0.0
        return worker.peer_slots * max(1.0, len(self.peers.local) / self.context.gossip_fanout)

    def zone_lateness(self, zone: int, now: int) -> float:
        """Mean start lateness of the zone's dispatchers, 0 to 1; the worst value without any report."""
        values = self.reports.lateness(zone)
        values += [self.lateness.current(now)] if zone == self.context.settings.zone else []
        return sum(values) / len(values) if values else 1.0
