"""A lease server on a disk and on sockets: drives a `LeaseManager` on a replica of a `LeaseStateMachine`."""

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
from .manager import LeaseManager
from .messages import LeaseResponse
from .state_machine import LeaseStateMachine

EPOCH_KEY = "era"  # in this replica's storage: the epoch that its latest restore began
TICK_INTERVAL = 0.02  # seconds, while it leads


class LeaseServerNode(ReplicaNode):
    """A replica of the lease servers' log; the environment of its `LeaseManager`."""

    def __init__(self, config: LeaseServerConfig) -> None:
        """Open nothing yet; `send_to_holder` is set by the server that has the holders' connections."""
        self.leases = LeaseStateMachine()
        super().__init__(config.replica, self.leases)
        self.definitions = config.definitions
        self.manager = LeaseManager(self, self.leases, self.definitions)
        self.send_to_holder: Callable[[str, LeaseResponse], None] = lambda holder, response: None
        self.ticking = False

    # ---- The environment of its manager; `propose` is the replica's own ----

    def now(self) -> int:
        """Return nanoseconds of the monotonic clock."""
        return self.clock.monotonic()

    def confirm_leadership(self, on_decided: Callable[[bool], None]) -> None:
        """Ask a majority whether this replica leads."""
        self.read(on_decided)

    def send(self, holder: str, response: LeaseResponse) -> None:
        """Send to a holder; dropped where it is not connected."""
        self.send_to_holder(holder, response)

    # ---- Leadership ----

    def on_role_changed(self, role: Role, leader: str) -> None:
        """Begin to lead once a majority has confirmed it; cease at once."""
        # At once, and not behind what the event loop has to do: a lease server that applied another leader's
        # entries while it still believed to lead would send a holder an old grant as if it were new.
        if role is Role.LEADER:
            self.loop.call_soon(self.read, self._begin_to_lead)
        elif self.manager.is_leader:
            self.manager.lose_leadership()
            log_line(f"lease server: {self.config.name} does not lead any more")
        super().on_role_changed(role, leader)

    def _begin_to_lead(self, confirmed: bool) -> None:
        """Lead, as all that was committed before is applied here."""
        if not confirmed or not self.is_elected() or self.manager.is_leader:
            return
        self.manager.become_leader(self.storage.load_value(EPOCH_KEY, int) or 0)
        restored = " (restored)" if self.manager.is_restored() else ""
        log_line(f"lease server: {self.config.name} leads; {self.leases.total()} leases are held{restored}")
        if not self.ticking:
            self.ticking = True
            self.loop.call_later(TICK_INTERVAL, self._tick)

    def _tick(self) -> None:
        self.ticking = self.manager.is_leader and not self.closed
        if self.ticking:
            self.manager.tick()
            self.loop.call_later(TICK_INTERVAL, self._tick)

    # ---- Requests of tools ----

    def state_status(self) -> LeaseStatus:
        """Return what this lease server adds to the status of its replica."""
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
            """Reply what the leader knows; a follower knows nothing."""
            found = self.list_leases() if leads and self.manager.is_leader else FollowerReply()
            reply(encode_reply(found))

        self.read(on_decided)
        return True

    def list_leases(self) -> LeaseListing:
        """Return what is held, waited for and declared, as the leader knows it."""
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
