"""The leading lease server, without I/O: the holders that wait for leases, and the expiry of grants.

Times are nanoseconds of this server's monotonic clock. The duration of a grant counts from when this server
made or renewed it, or, if another server made it, from the change of leader. So no lease is granted to the
next holder before the previous one has stopped: that one counts from before its request, less a margin for
clock drift.

A renewal changes nothing in the log. It is answered once a majority has confirmed that this server was still
the leader after the request had arrived; the next leader starts to count after that.

A request names all leases that its holder wants, and is repeated at the latest after a third of the shortest
duration. Duplicate and late requests are ignored: their number is not above the holder's latest one.
"""

from ploverspoke.transport.units import NEVER, SECOND

from .definitions import LeaseDefinition, LeaseDefinitions
from .grant_limits import MAX_LEASES_PER_HOLDER, GrantCounts, GrantProposals, unwanted_grants
from .manager_environment import LeaseManagerEnvironment
from .messages import (
    GrantedLease,
    LeaseRequest,
    LeaseResponse,
    LostLease,
    RejectedLease,
    ReleasedLease,
    RequestedLease,
)
from .state_machine import (
    EpochCommand,
    GrantCommand,
    LeaseGrant,
    LeaseStateMachine,
    ReleaseCommand,
    ReleasedToken,
)
from .waiting_queue import WaitingHolder, WaitingQueues

MAX_WANTED_LEASES = MAX_LEASES_PER_HOLDER  # in one request
CLEANUP_INTERVAL_NS = SECOND


class LeaseManager:
    """Grants leases while its lease server is the leader; does nothing while another server is."""

    def __init__(
        self, environment: LeaseManagerEnvironment, state: LeaseStateMachine, definitions: LeaseDefinitions
    ) -> None:
        """Subscribe to the changes of `state`."""
        self.environment = environment
        self.state = state
        self.definitions = definitions
        self.is_leader = False
        # If this is above the epoch of the state, the state was restored from a backup, and it is not known
        # which leases are held.
        self.epoch = 0
        self.no_grants_until = 0  # after a restore: leases granted before it may be held until then
        self.epoch_proposed = False
        self.expires_at: dict[int, int] = {}  # times by token
        self.ended_tokens: set[int] = set()  # tokens of grants whose end is in the log or proposed
        self.queues = WaitingQueues()
        self.counts = GrantCounts()
        self.proposals = GrantProposals(self.counts)
        self.latest_request_numbers: dict[str, int] = {}  # by holder
        # The latest request of each holder for which no round of confirmation has begun.
        self.unconfirmed_requests: dict[str, LeaseRequest] = {}
        self.is_confirming = False
        self.next_tick = NEVER
        self.next_cleanup = 0
        self.granted = self.renewed = 0  # counts since the start
        state.on_granted = self._on_granted
        state.on_ended = self._on_ended

    # ---- Leadership ----

    def become_leader(self, epoch: int = 0) -> None:
        """Begin to grant leases. All entries committed before must have been applied here.

        `epoch` is stored with this lease server's log. If it is above the epoch of the state, all grants in
        the state have ended, and nothing is granted until the longest lease has expired.
        """
        now = self.environment.now()
        self.lose_leadership()
        self.is_leader = True
        self.epoch = epoch
        self.no_grants_until = now + self.definitions.max_duration
        for grants in self.state.grants.values():
            for grant in grants:
                self.counts.add(grant.holder)
                self.expires_at[grant.token] = now + grant.duration
                if self.is_restored():
                    self.ended_tokens.add(grant.token)

    def is_restored(self) -> bool:
        """Return whether the state was restored from a backup and its new epoch has not begun."""
        return self.epoch > self.state.epoch

    def lose_leadership(self) -> None:
        """Stop granting leases and drop the queues.

        Must be called before an entry of another leader is applied. Otherwise this server would send the old
        grant to its holder, which would count its duration from its latest request here.
        """
        self.is_leader = False
        self.epoch_proposed = False
        self.expires_at.clear()
        self.ended_tokens.clear()
        self.queues.clear()
        self.counts.clear()
        self.proposals.clear()
        self.latest_request_numbers.clear()
        self.unconfirmed_requests.clear()
        self.is_confirming = False
        self.next_tick = NEVER

    # ---- Interface for the environment ----

    def handle_request(self, holder: str, request: LeaseRequest) -> None:
        """Handle a request. The holder stops waiting for the leases that it does not name."""
        if not self.is_leader or request.number <= self.latest_request_numbers.get(holder, 0):
            return
        self.latest_request_numbers[holder] = request.number
        now = self.environment.now()
        self._release_grants(holder, request.released)
        wanted = request.wanted[:MAX_WANTED_LEASES]
        self.queues.remove_from_all(holder, keep={lease.name for lease in wanted})
        for lease in wanted:
            self._renew_or_enqueue(holder, lease, now)
        self.unconfirmed_requests[holder] = request
        self._confirm_requests()

    def forget_holder(self, holder: str) -> None:
        """Remove a disconnected holder from the queues. It may still act under the leases that it holds."""
        self.latest_request_numbers.pop(holder, None)
        self.unconfirmed_requests.pop(holder, None)
        self.queues.remove_from_all(holder)

    def tick(self) -> None:
        """Grant expired leases to the next holders; to be called from the time `next_tick` on."""
        now = self.environment.now()
        if not self.is_leader:
            return
        if now >= self.next_cleanup:
            self.next_cleanup = now + CLEANUP_INTERVAL_NS
            self._end_unwanted_grants(now)
        if now >= self.next_tick:
            self.next_tick = NEVER
            self._grant_all()

    # ---- Responses ----

    def _confirm_requests(self) -> None:
        """Answer all pending requests after one round of confirmation by a majority; one round at a time."""
        if self.is_confirming or not self.unconfirmed_requests:
            return
        self.is_confirming = True
        pending, self.unconfirmed_requests = self.unconfirmed_requests, {}

        def on_decided(leads: bool) -> None:
            """Respond to the requests if this server leads, then confirm those that arrived meanwhile."""
            self.is_confirming = False
            if leads and self.is_leader:
                for holder, request in pending.items():
                    self._respond(holder, request)
            if self.is_leader:
                self._confirm_requests()

        self.environment.confirm_leadership(on_decided)

    def _respond(self, holder: str, request: LeaseRequest) -> None:
        response = LeaseResponse(request.number)
        for lease in request.wanted[:MAX_WANTED_LEASES]:
            reason = self.definitions.rejection_reason(lease.name, lease.duration)
            grant = self._active_grant(holder, lease)
            if reason is not None:
                response.rejected.append(RejectedLease(lease.name, reason))
            elif grant is not None:
                response.granted.append(GrantedLease(lease.name, grant.token, grant.duration))
                self.renewed += lease.token != 0
            elif lease.token:
                response.lost.append(LostLease(lease.name, lease.token))
        self.environment.send(holder, response)

    def _active_grant(self, holder: str, lease: RequestedLease) -> LeaseGrant | None:
        """Return the grant that the holder wants to renew, or that it does not know of yet."""
        grant = self.state.find_grant(lease.name, holder)
        if grant is None or grant.token in self.ended_tokens or lease.token not in (0, grant.token):
            return None
        return grant

    # ---- Changes of the state ----

    def _on_granted(self, name: str, grant: LeaseGrant) -> None:
        if not self.is_leader:
            return
        self.granted += 1
        self._end_proposal(name)
        self.counts.add(grant.holder)
        self.expires_at[grant.token] = self.environment.now() + grant.duration
        self.queues.remove(name, grant.holder)
        number = self.latest_request_numbers.get(grant.holder)
        if number is not None:
            # The holder counts from when it sent the request with this number, its latest one to arrive.
            granted = GrantedLease(name, grant.token, grant.duration)
            self.environment.send(grant.holder, LeaseResponse(number, [granted]))
        self._grant_next(name)

    def _on_ended(self, name: str, grant: LeaseGrant) -> None:
        self.expires_at.pop(grant.token, None)
        self.ended_tokens.discard(grant.token)
        if self.is_leader:
            self.counts.remove(grant.holder)
            self._grant_next(name)

    # ---- Requests ----

    def _renew_or_enqueue(self, holder: str, lease: RequestedLease, now: int) -> None:
        if self.definitions.rejection_reason(lease.name, lease.duration) is not None:
            return
        grant = self._active_grant(holder, lease)
        if grant is not None:
            # Extending the grant here is always safe; the response waits for the confirmation by a majority.
            self.expires_at[grant.token] = now + grant.duration
        elif self.counts.has_room(holder):  # if not, a later request adds it, and says how long it has waited
            waiting = WaitingHolder(holder, lease.duration, now - lease.waited, now)
            self.queues.add(lease.name, waiting)
            self._grant_next(lease.name)

    def _release_grants(self, holder: str, released: list[ReleasedLease]) -> None:
        """End the grants that a holder releases: only its own, and only under their current tokens."""
        tokens = []
        for lease in released:
            grant = self.state.find_grant(lease.name, holder)
            if grant is None or grant.token != lease.token or lease.token in self.ended_tokens:
                continue
            tokens.append(ReleasedToken(lease.name, lease.token))
            self.ended_tokens.add(lease.token)
            self.queues.move_to_front(lease.name, lease.hand_over_to)
        self._propose_release(tokens)

    # ---- Grants ----

    def _grant_all(self) -> None:
        for name in self.queues.names():
            self._grant_next(name)

    def _grant_next(self, name: str) -> None:
        """Propose a grant to the next holder if one is possible, else schedule the next attempt."""
        definition = self.definitions.find(name)
        if name not in self.queues.by_name or definition is None or name in self.proposals.holders:
            return
        now = self.environment.now()
        if self.is_restored():
            self._begin_epoch(now)
            return
        if self.proposals.is_full():
            self.proposals.defer(name)
            return
        active, expired = self._split_expired(name, now)
        if len(active) >= definition.max_holders:
            self.next_tick = min(self.next_tick, *(self.expires_at[grant.token] for grant in active))
            return
        holders = {grant.holder for grant in active}
        waiting = self.queues.next_waiting(name, holders, self.counts.has_room, now)
        if waiting is not None:
            self._propose_grant(name, waiting, definition, expired)

    def _split_expired(self, name: str, now: int) -> tuple[list[LeaseGrant], list[int]]:
        """Return the grants of a lease that are still active, and the tokens of the others."""
        active, expired = [], []
        for grant in self.state.grants.get(name, []):
            if grant.token in self.ended_tokens or self.expires_at[grant.token] <= now:
                expired.append(grant.token)
            else:
                active.append(grant)
        return active, expired

    def _propose_grant(
        self, name: str, waiting: WaitingHolder, definition: LeaseDefinition, expired: list[int]
    ) -> None:
        def on_decided(committed: bool) -> None:
            """Grant to the next holder. If the state rejected the grant, its holder keeps waiting."""
            if self.is_leader and name in self.proposals.holders:
                self._end_proposal(name)
                if committed:
                    self._grant_next(name)

        self.proposals.add(name, waiting.holder)
        self.ended_tokens.update(expired)
        command = GrantCommand(name, waiting.holder, waiting.duration, definition.max_holders, expired)
        self.environment.propose(command, on_decided)

    def _end_proposal(self, name: str) -> None:
        self.proposals.remove(name)
        while (deferred := self.proposals.next_deferred()) is not None:
            self._grant_next(deferred)

    def _end_unwanted_grants(self, now: int) -> None:
        """End grants that expired long ago and that nobody waits for; any that have expired, at a limit."""
        has_grace = not self.counts.clear_limited()
        self._propose_release(
            unwanted_grants(self.state.grants, self.expires_at, self.ended_tokens, now, has_grace)
        )

    def _propose_release(self, tokens: list[ReleasedToken]) -> None:
        if tokens:
            self.ended_tokens.update(released.token for released in tokens)
            self.environment.propose(ReleaseCommand(tokens), lambda committed: None)

    def _begin_epoch(self, now: int) -> None:
        if now < self.no_grants_until:
            self.next_tick = min(self.next_tick, self.no_grants_until)
        elif not self.epoch_proposed:
            self.epoch_proposed = True
            self.environment.propose(EpochCommand(self.epoch), self._on_epoch_decided)

    def _on_epoch_decided(self, committed: bool) -> None:
        self.epoch_proposed = False
        if self.is_leader:
            self._grant_all()
