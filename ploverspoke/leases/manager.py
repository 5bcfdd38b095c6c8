"""The leading lease server, without I/O: who waits for a lease, and when a grant expires.

Its time is its own monotonic clock, in nanoseconds. A grant counts from when it was made or renewed here,
and from the change of leader where another lease server made it: so no lease is granted to the next holder
before the previous one, which counts from before its request and less a margin for drift, has stopped.

A renewal changes nothing in the log. It is answered once a majority has confirmed that this lease server
still led after the request had come; the next leader begins to count later than that.

A request names all that its holder wants, and is repeated before a third of the time has passed. Duplicated
and late ones change nothing: their number is not above the latest one of that holder.
"""

from ploverspoke.transport.units import NEVER

from .definitions import LeaseDefinition, LeaseDefinitions
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

MAX_WANTED_LEASES = 1000  # of one holder


class LeaseManager:
    """Grants leases while its lease server leads; does nothing while another does."""

    def __init__(
        self, environment: LeaseManagerEnvironment, state: LeaseStateMachine, definitions: LeaseDefinitions
    ) -> None:
        """Follow the state's changes from now on."""
        self.environment = environment
        self.state = state
        self.definitions = definitions
        self.is_leader = False
        self.epoch = 0  # above the state's epoch: the state is a restored one, and what is held is not known
        self.restored_until = 0  # leases granted before the restore may be held until then
        self.epoch_proposed = False
        self.expires_at: dict[int, int] = {}  # by token
        self.ended_tokens: set[int] = set()  # whose end is in the log or proposed
        self.queues = WaitingQueues()
        self.proposed_grants: set[str] = set()  # names
        self.latest_request: dict[str, int] = {}  # by holder
        self.unconfirmed: list[tuple[str, LeaseRequest]] = []  # requests that no round has begun for
        self.confirming = False
        self.next_wake = NEVER
        self.granted = self.renewed = 0  # since the start
        state.on_granted = self._on_granted
        state.on_ended = self._on_ended

    # ---- Leadership ----

    def become_leader(self, epoch: int = 0) -> None:
        """Begin to grant; all that was committed before is applied here.

        `epoch` is stored with this lease server's log. Where it is above the state's, all that the state
        holds has ended, and nothing is granted until the longest lease has expired.
        """
        now = self.environment.now()
        self.lose_leadership()
        self.is_leader = True
        self.epoch = epoch
        self.restored_until = now + self.definitions.max_duration
        for grants in self.state.grants.values():
            for grant in grants:
                self.expires_at[grant.token] = now + grant.duration
                if self.is_restored():
                    self.ended_tokens.add(grant.token)

    def is_restored(self) -> bool:
        """Return whether the state comes from a backup whose new epoch has not begun."""
        return self.epoch > self.state.epoch

    def lose_leadership(self) -> None:
        """Stop granting and forget who waits.

        Must be called before anything is applied that another leader has committed: a holder that receives
        a grant counts from its latest request here, and must not receive an old one.
        """
        self.is_leader = False
        self.epoch_proposed = False
        self.expires_at.clear()
        self.ended_tokens.clear()
        self.queues.clear()
        self.proposed_grants.clear()
        self.latest_request.clear()
        self.unconfirmed.clear()
        self.confirming = False
        self.next_wake = NEVER

    # ---- What its environment calls ----

    def handle_request(self, holder: str, request: LeaseRequest) -> None:
        """Handle a request: all that the holder wants now. What it leaves out is no longer waited for."""
        if not self.is_leader or request.number <= self.latest_request.get(holder, 0):
            return
        self.latest_request[holder] = request.number
        now = self.environment.now()
        self._release(holder, request.released)
        wanted = request.wanted[:MAX_WANTED_LEASES]
        self.queues.remove_from_all(holder, keep={lease.name for lease in wanted})
        for lease in wanted:
            self._renew_or_enqueue(holder, lease, now)
        self.unconfirmed.append((holder, request))
        self._confirm()

    def forget_holder(self, holder: str) -> None:
        """Take a holder whose connection is lost out of the queues. It may still act under what it has."""
        self.latest_request.pop(holder, None)
        self.queues.remove_from_all(holder)

    def tick(self) -> None:
        """Grant what has expired by now; to be called from `next_wake` on."""
        if not self.is_leader or self.environment.now() < self.next_wake:
            return
        self.next_wake = NEVER
        self._grant_all()

    # ---- Responses ----

    def _confirm(self) -> None:
        """Answer all requests that have come, by one round of a majority at a time."""
        if self.confirming or not self.unconfirmed:
            return
        self.confirming = True
        confirmed, self.unconfirmed = self.unconfirmed, []

        def on_decided(leads: bool) -> None:
            """Respond to the confirmed requests of a leader, and confirm those that came meanwhile."""
            self.confirming = False
            if leads and self.is_leader:
                for holder, request in confirmed:
                    self._respond(holder, request)
            if self.is_leader:
                self._confirm()

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
        """Return the grant that a holder asks to keep, or that it does not know of yet."""
        grant = self.state.find_grant(lease.name, holder)
        if grant is None or grant.token in self.ended_tokens or lease.token not in (0, grant.token):
            return None
        return grant

    # ---- Changes of the state ----

    def _on_granted(self, name: str, grant: LeaseGrant) -> None:
        if not self.is_leader:
            return
        self.granted += 1
        self.proposed_grants.discard(name)
        self.expires_at[grant.token] = self.environment.now() + grant.duration
        self.queues.remove(name, grant.holder)
        number = self.latest_request.get(grant.holder)
        if number is not None:
            # The holder counts from when it sent the request of that number, the latest that has come.
            granted = GrantedLease(name, grant.token, grant.duration)
            self.environment.send(grant.holder, LeaseResponse(number, [granted]))
        self._grant_next(name)

    def _on_ended(self, name: str, grant: LeaseGrant) -> None:
        self.expires_at.pop(grant.token, None)
        self.ended_tokens.discard(grant.token)
        if self.is_leader:
            self._grant_next(name)

    # ---- Requests ----

    def _renew_or_enqueue(self, holder: str, lease: RequestedLease, now: int) -> None:
        if self.definitions.rejection_reason(lease.name, lease.duration) is not None:
            return
        grant = self._active_grant(holder, lease)
        if grant is not None:
            # To count for longer is always safe; the response waits for the majority.
            self.expires_at[grant.token] = now + grant.duration
        else:
            waiting = WaitingHolder(holder, lease.duration, now - lease.waited, now)
            self.queues.add(lease.name, waiting)
            self._grant_next(lease.name)

    def _release(self, holder: str, released: list[ReleasedLease]) -> None:
        """End what a holder gives back: only who has a lease can release it, under its own token."""
        found = []
        for lease in released:
            grant = self.state.find_grant(lease.name, holder)
            if grant is None or grant.token != lease.token or lease.token in self.ended_tokens:
                continue
            found.append(ReleasedToken(lease.name, lease.token))
            self.ended_tokens.add(lease.token)
            self.queues.move_to_front(lease.name, lease.hand_over_to)
        if found:
            self.environment.propose(ReleaseCommand(found), lambda committed: None)

    # ---- Grants ----

    def _grant_all(self) -> None:
        for name in self.queues.names():
            self._grant_next(name)

    def _grant_next(self, name: str) -> None:
        """Propose a grant to who is next where one may be made, else note when one may."""
        definition = self.definitions.find(name)
        if name not in self.queues.by_name or definition is None or name in self.proposed_grants:
            return
        now = self.environment.now()
        if self.is_restored():
            self._begin_epoch(now)
            return
        active, expired = self._split_expired(name, now)
        if len(active) >= definition.max_holders:
            self.next_wake = min(self.next_wake, *(self.expires_at[grant.token] for grant in active))
            return
        waiting = self.queues.next_waiting(name, {grant.holder for grant in active}, now)
        if waiting is not None:
            self._propose_grant(name, waiting, definition, expired)

    def _split_expired(self, name: str, now: int) -> tuple[list[LeaseGrant], list[int]]:
        """Return the grants of a lease that are still held, and the tokens of those that are not."""
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
            """Grant to the next one. Where the state rejected the grant, its holder waits on."""
            if self.is_leader and name in self.proposed_grants:
                self.proposed_grants.discard(name)
                if committed:
                    self._grant_next(name)

        self.proposed_grants.add(name)
        self.ended_tokens.update(expired)
        command = GrantCommand(name, waiting.holder, waiting.duration, definition.max_holders, expired)
        self.environment.propose(command, on_decided)

    def _begin_epoch(self, now: int) -> None:
        if now < self.restored_until:
            self.next_wake = min(self.next_wake, self.restored_until)
        elif not self.epoch_proposed:
            self.epoch_proposed = True
            self.environment.propose(EpochCommand(self.epoch), self._on_epoch_decided)

    def _on_epoch_decided(self, committed: bool) -> None:
        self.epoch_proposed = False
        if self.is_leader:
            self._grant_all()
