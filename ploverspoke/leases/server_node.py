"""A lease server with I/O: a replica of a `LeaseStateMachine` that drives a `LeaseManager`."""

from collections.abc import Callable

from ploverspoke.consensus.admin_messages import WireMap, decode_request, encode_reply
from ploverspoke.consensus.node import ReplicaNode
from ploverspoke.consensus.peer_links import Reply
from ploverspoke.consensus.raft_state import Role
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import MILLISECOND

from .admin_messages import (
    FollowerReply,
    HeldLease,
    LeaseListing,
    LeasesRequest,
    LeaseStatus,
    describe_definitions,
)
from .config import LeaseServerConfig
from .listing_replies import ListingReplies
from .manager import LeaseManager
from .messages import LeaseResponse
from .state_machine import LeaseStateMachine

EPOCH_KEY = "era"  # key in this replica's storage: the epoch that the latest restore began
TICK_INTERVAL_S = 0.02  # while this replica leads


class LeaseServerNode(ReplicaNode):
    """A replica of the lease servers' log, and the environment of a `LeaseManager`."""

    def __init__(self, config: LeaseServerConfig) -> None:
        """Open nothing yet; the server with the connections of the holders sets `send_to_holder`."""
        self.leases = LeaseStateMachine()
        super().__init__(config.replica, self.leases)
        self.definitions = config.definitions
        self.manager = LeaseManager(self, self.leases, self.definitions)
        self.send_to_holder: Callable[[str, LeaseResponse], None] = lambda holder, response: None
        self.is_ticking = False
        self.listing_replies = ListingReplies(self._current_listing)

    # ---- Environment of the manager; `propose` is inherited from the replica ----

    def now(self) -> int:
        """Return nanoseconds of the monotonic clock."""
        return self.clock.monotonic()

    def confirm_leadership(self, on_decided: Callable[[bool], None]) -> None:
        """Ask a majority to confirm that this replica leads."""
        self.read_barrier(on_decided)

    def send(self, holder: str, response: LeaseResponse) -> None:
        """Send to a holder; the response is dropped if the holder is not connected."""
        self.send_to_holder(holder, response)

    # ---- Leadership ----

    def on_role_changed(self, role: Role, leader: str) -> None:
        """Start leading once a majority has confirmed it; stop leading immediately."""
        # Leading stops here, not in a later callback of the event loop: a lease server that applied another
        # leader's entries while it still believed that it led would send a holder an old grant as a new one.
        if role is Role.LEADER:
            self.loop.call_soon(self.read_barrier, self._start_leading)
        elif self.manager.is_leader:
            self.manager.lose_leadership()
            log_line(f"lease server: {self.config.name} does not lead any more")
        super().on_role_changed(role, leader)

    def _start_leading(self, confirmed: bool) -> None:
        """Start leading if a majority confirmed it; all entries committed before are applied here."""
        if not confirmed or not self.is_elected() or self.manager.is_leader:
            return
        self.manager.become_leader(self.storage.load_value(EPOCH_KEY, int) or 0)
        restored = " (restored)" if self.manager.is_restored() else ""
        log_line(f"lease server: {self.config.name} leads; {self.leases.total()} leases are held{restored}")
        if not self.is_ticking:
            self.is_ticking = True
            self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self.is_ticking = self.manager.is_leader and not self.closed
        if self.is_ticking:
            self.manager.tick()
            self.loop.call_later(TICK_INTERVAL_S, self._tick)

    # ---- Requests of command-line tools ----

    def state_status(self) -> LeaseStatus:
        """Return the fields that a lease server adds to the status of its replica."""
        return LeaseStatus(
            is_leader=self.manager.is_leader,
            leases=self.leases.total(),
            last_token=self.leases.last_token,
            epoch=self.leases.epoch,
            waiting=self.manager.queues.total(),
            granted=self.manager.granted,
            renewed=self.manager.renewed,
        )

    def handle_state_request(self, request: WireMap, reply: Reply) -> bool:
        """Answer `LeasesRequest`, once a majority has confirmed who leads."""
        if decode_request(request, LeasesRequest) is None:
            return False

        def on_decided(leads: bool) -> None:
            """Reply with the listing in its turn if this server leads, with an empty reply otherwise."""
            if leads:
                self.listing_replies.add(reply)
            else:
                reply(encode_reply(FollowerReply()))

        self.read_barrier(on_decided)
        return True

    def _current_listing(self) -> LeaseListing | FollowerReply:
        return self.list_leases() if self.manager.is_leader else FollowerReply()

    def list_leases(self) -> LeaseListing:
        """Return the held, waited-for and declared leases as the leader knows them."""
        now, manager = self.now(), self.manager
        held = [
            HeldLease(
                name=name,
                holder=grant.holder,
                token=grant.token,
                duration_ms=grant.duration // MILLISECOND,
                expires_in_ms=max(0, manager.expires_at.get(grant.token, now) - now) // MILLISECOND,
            )
            for name, grants in self.leases.grants.items()
            for grant in grants
        ]
        waiting = {name: manager.queues.holders(name) for name in manager.queues.names()}
        return LeaseListing(True, held, waiting, describe_definitions(self.definitions))
