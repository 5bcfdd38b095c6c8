"""The state of a lease holder, without I/O: the leases that it wants and holds, and when they expire.

The duration of a lease counts from before it was requested, less a margin for clock drift. Whatever the
network and the lease servers did meanwhile, no other holder can have been granted the lease before the end of
that time. A lease that is not renewed expires by itself. Times are nanoseconds of the holder's monotonic
clock.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from ploverspoke.transport.units import MILLISECOND, NEVER, SECOND

from .definitions import DRIFT
from .messages import NO_TOKEN, GrantedLease, LeaseRequest, LeaseResponse, ReleasedLease, RequestedLease

# All leases are renewed when a third of the shortest duration has passed; a request without a response is
# repeated after a fifteenth of it.
RENEWALS_PER_DURATION = 3
RETRIES_PER_DURATION = 15
MIN_RETRY_INTERVAL_NS = 40 * MILLISECOND
IDLE_DURATION_NS = 3 * SECOND  # taken as the shortest duration if no lease is wanted
MAX_REMEMBERED_REQUESTS = 64  # requests whose send times are kept


class LeaseHolderEnvironment(Protocol):
    """The functions that a `LeaseHolder` needs from its driver."""

    def now(self) -> int:
        """Return nanoseconds of a monotonic clock."""

    def send(self, request: LeaseRequest) -> None:
        """Send a request to the lease server that is believed to lead."""

    def try_next_server(self) -> None:
        """Switch to another lease server, because the current one does not respond."""


class Lease:
    """A lease that the holder wants, whether it is held or not."""

    def __init__(self, name: str, duration: int, waiting_since: int, first_request_number: int) -> None:
        """`first_request_number` is the number of the first request that names the lease.

        `waiting_since` is the time since which the lease is wanted. A response to an earlier request than
        `first_request_number` belongs to an earlier time at which the lease was wanted.
        """
        self.name = name
        self.duration = duration  # ns
        self.waiting_since = waiting_since
        self.first_request_number = first_request_number
        self.token = NO_TOKEN
        self.expires_at = 0  # 0: not held
        self.on_lost: Callable[[str], None] = lambda reason: None  # called when it is lost or rejected


class PendingRelease(NamedTuple):
    """A release that no lease server has confirmed."""

    token: int
    first_request_number: int  # the first request that names it
    hand_over_to: str


class LeaseHolder:
    """Requests, renews and releases leases; driven by its environment."""

    def __init__(self, environment: LeaseHolderEnvironment) -> None:
        """Begin without any wanted lease."""
        self.environment = environment
        self.leases: dict[str, Lease] = {}  # all wanted leases by name
        self.pending_releases: dict[str, PendingRelease] = {}
        self.latest_request_number = 0
        self.latest_response_number = 0  # the latest request that has been answered
        self.sent_at: dict[int, int] = {}  # when each request was sent
        self.next_request_at = NEVER
        self.lost_count = self.renewal_count = 0  # since the start

    # ---- Interface for the user ----

    def request_lease(self, name: str, duration: int) -> Lease:
        """Request the lease for `duration` ns, and renew it until `release` is called."""
        lease = self.leases.get(name)
        if lease is None:
            first_request_number = self.latest_request_number + 1
            lease = Lease(name, duration, self.environment.now(), first_request_number)
            self.leases[name] = lease
            self.next_request_at = 0
        return lease

    def release(self, name: str, hand_over_to: str = "") -> None:
        """Release the lease: it is not held from now on.

        Lease servers are told, so that other holders need not wait until it expires; `hand_over_to` names a
        holder that is granted the lease before all others.
        """
        lease = self.leases.pop(name, None)
        if lease is not None and lease.token:
            self.release_token(name, lease.token, hand_over_to)
        # If the holder was only waiting for the lease, the next request omits it.
        self.next_request_at = 0

    def release_token(self, name: str, token: int, hand_over_to: str = "") -> None:
        """Release the lease granted to this holder id under `token`, even if to an earlier process."""
        self.pending_releases[name] = PendingRelease(token, self.latest_request_number + 1, hand_over_to)
        self.next_request_at = 0

    def time_left(self, name: str) -> int:
        """Return for how many nanoseconds the lease is certainly still held; 0 if it is not held."""
        lease = self.leases.get(name)
        return max(0, lease.expires_at - self.environment.now()) if lease is not None else 0

    def token(self, name: str) -> int:
        """Return the fencing token of a lease that is held now; 0 if it is not held."""
        return self.leases[name].token if self.time_left(name) else NO_TOKEN

    # ---- Interface for the environment ----

    def on_connected(self) -> None:
        """Send a request for all wanted leases, now that requests can be sent."""
        if self.leases or self.pending_releases:
            self._send_request(self.environment.now())

    def next_tick(self) -> int:
        """Return the time at which `tick` must be called next."""
        expirations = [lease.expires_at for lease in self.leases.values() if lease.expires_at]
        return min(self.next_request_at, *expirations) if expirations else self.next_request_at

    def tick(self) -> None:
        """Handle the expiry of leases, and send a request if one is due."""
        now = self.environment.now()
        for lease in list(self.leases.values()):
            if lease.expires_at and lease.expires_at <= now:
                self._lose(lease, "it was not renewed in time")
        if now < self.next_request_at or not (self.leases or self.pending_releases):
            return
        if self.latest_request_number and self.latest_response_number < self.latest_request_number:
            self.environment.try_next_server()
        self._send_request(now)

    def handle_response(self, response: LeaseResponse) -> None:
        """Handle a response. A response to a request that is no longer remembered is ignored."""
        sent_at = self.sent_at.get(response.number)
        if sent_at is None:
            return
        self._confirm_request(response.number, sent_at)
        now = self.environment.now()
        for granted in response.granted:
            expires_at = sent_at + int(granted.duration * (1 - DRIFT))
            self._handle_granted(granted, response.number, expires_at, now)
        for lost in response.lost:
            lease = self.leases.get(lost.name)
            if lease is not None and lease.token == lost.token:
                lease.token = NO_TOKEN
                self._lose(lease, "the lease servers have granted it to another holder")
        for rejected in response.rejected:
            lease = self.leases.pop(rejected.name, None)
            if lease is not None:
                lease.on_lost(rejected.reason)

    # ---- Internals ----

    def _confirm_request(self, number: int, sent_at: int) -> None:
        if number > self.latest_response_number:
            self.latest_response_number = number
            if number == self.latest_request_number:
                self.next_request_at = max(self.next_request_at, sent_at + self._renewal_interval())
        for name, pending in list(self.pending_releases.items()):
            if pending.first_request_number <= number:
                del self.pending_releases[name]

    def _handle_granted(self, granted: GrantedLease, number: int, expires_at: int, now: int) -> None:
        lease = self.leases.get(granted.name)
        if lease is None:
            if granted.name not in self.pending_releases:
                # Granted after the holder had given it up; released so that others need not wait for its end.
                self.release_token(granted.name, granted.token)
            return
        if number < lease.first_request_number or granted.token < lease.token:
            return  # a late response, about a grant that may have been released since
        lease.token = granted.token
        if expires_at <= now or expires_at <= lease.expires_at:
            return  # already expired, or already known to last longer
        self.renewal_count += lease.expires_at != 0
        lease.expires_at = expires_at

    def _lose(self, lease: Lease, reason: str) -> None:
        if lease.expires_at:
            lease.expires_at = 0
            lease.waiting_since = self.environment.now()
            self.lost_count += 1
            lease.on_lost(reason)

    def _shortest_duration(self) -> int:
        return min((lease.duration for lease in self.leases.values()), default=IDLE_DURATION_NS)

    def _renewal_interval(self) -> int:
        return self._shortest_duration() // RENEWALS_PER_DURATION

    def _retry_interval(self) -> int:
        interval = self._renewal_interval() * RENEWALS_PER_DURATION // RETRIES_PER_DURATION
        return max(MIN_RETRY_INTERVAL_NS, interval)

    def _send_request(self, now: int) -> None:
        self.latest_request_number += 1
        # Recorded before the request is sent, so that it is known before any response can arrive.
        self.sent_at[self.latest_request_number] = now
        self.sent_at.pop(self.latest_request_number - MAX_REMEMBERED_REQUESTS, None)
        self.next_request_at = now + self._retry_interval()
        wanted = [
            RequestedLease(lease.name, lease.duration, lease.token, max(0, now - lease.waiting_since))
            for lease in self.leases.values()
        ]
        released = [
            ReleasedLease(name, pending.token, pending.hand_over_to)
            for name, pending in self.pending_releases.items()
        ]
        self.environment.send(LeaseRequest(self.latest_request_number, wanted, released))
