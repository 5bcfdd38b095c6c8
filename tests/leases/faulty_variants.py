"""Test harness: variants of the lease classes, each with one fault that the simulation must detect."""

from ploverspoke.leases.definitions import DRIFT
from ploverspoke.leases.holder import Lease, LeaseHolder
from ploverspoke.leases.manager import LeaseManager
from ploverspoke.leases.messages import GrantedLease, LeaseRequest, LeaseResponse, ReleasedLease
from ploverspoke.leases.state_machine import LeaseStateMachine, ReleaseCommand, ReleasedToken
from tests.leases.simulated_lease_cluster import EffectGuard, Variants


class FaultyCountsFromResponse(LeaseHolder):
    def handle_response(self, response: LeaseResponse) -> None:
        if response.number in self.sent_at:
            self.sent_at[response.number] = self.environment.now()
        super().handle_response(response)


class FaultyNoDriftMargin(LeaseHolder):
    def handle_response(self, response: LeaseResponse) -> None:
        granted = [
            GrantedLease(lease.name, lease.token, int(lease.duration / (1 - DRIFT)))
            for lease in response.granted
        ]
        super().handle_response(LeaseResponse(response.number, granted, response.lost, response.rejected))


class FaultyAcceptsOldResponses(LeaseHolder):
    def request_lease(self, name: str, duration: int) -> Lease:
        lease = super().request_lease(name, duration)
        lease.first_request_number = 0
        return lease


class FaultyGrantsAtOnce(LeaseManager):
    def become_leader(self, epoch: int = 0) -> None:
        super().become_leader(epoch)
        self.expires_at = dict.fromkeys(self.expires_at, self.environment.now())


class FaultyTokensBeginAgain(LeaseStateMachine):
    def next_token(self) -> int:
        return self.last_token + 1


class FaultyForgetsRestore(LeaseManager):
    def become_leader(self, epoch: int = 0) -> None:
        super().become_leader(self.state.epoch)


class FaultyRenewsExpired(LeaseManager):
    """Renews a lease that has ended, both before and after its end is committed."""

    def _respond(self, holder: str, request: LeaseRequest) -> None:
        granted = [
            GrantedLease(lease.name, lease.token, lease.duration) for lease in request.wanted if lease.token
        ]
        self.environment.send(holder, LeaseResponse(request.number, granted))


class FaultyReleasesForAnybody(LeaseManager):
    """A release by an earlier holder, or under an old token, ends the grant of the current holder."""

    def _release_grants(self, holder: str, released: list[ReleasedLease]) -> None:
        tokens = [
            ReleasedToken(lease.name, grant.token)
            for lease in released
            for grant in self.state.grants.get(lease.name, ())
        ]
        if tokens:
            self.environment.propose(ReleaseCommand(tokens), lambda committed: None)


class FaultyAllowsAllTokens(EffectGuard):
    def allows(self, token: int) -> bool:
        return True


class FaultyRenewsWithoutMajority(LeaseManager):
    def _confirm_requests(self) -> None:
        unconfirmed_requests, self.unconfirmed_requests = self.unconfirmed_requests, {}
        for holder, request in unconfirmed_requests.items():
            self._respond(holder, request)


FAULTY_VARIANTS = {
    "faulty_counts_from_response": Variants(holder=FaultyCountsFromResponse),
    "faulty_no_drift_margin": Variants(holder=FaultyNoDriftMargin),
    "faulty_accepts_old_responses": Variants(holder=FaultyAcceptsOldResponses),
    "faulty_grants_at_once": Variants(manager=FaultyGrantsAtOnce),
    "faulty_tokens_begin_again": Variants(state=FaultyTokensBeginAgain),
    "faulty_forgets_restore": Variants(manager=FaultyForgetsRestore),
    "faulty_renews_expired": Variants(manager=FaultyRenewsExpired),
    "faulty_releases_for_anybody": Variants(manager=FaultyReleasesForAnybody),
    "faulty_renews_without_majority": Variants(manager=FaultyRenewsWithoutMajority),
    "faulty_allows_all_tokens": Variants(guard=FaultyAllowsAllTokens),
    "faulty_late_role_change": Variants(late_role_change=True),
}
