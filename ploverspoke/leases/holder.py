"""A process that wants leases, without I/O: what it wants, what it holds, and for how long by its own clock.

The time of a lease counts from before it was requested, less a margin for clock drift: whatever the network
and the lease servers did meanwhile, no other holder can have been granted it by then. A lease that is not
renewed expires by itself. Times are nanoseconds of the holder's monotonic clock.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from ploverspoke.transport.units import MILLISECOND, NEVER, SECOND

from .definitions import DRIFT
from .messages import NO_TOKEN, GrantedLease, LeaseRequest, LeaseResponse, ReleasedLease, RequestedLease

RENEWALS_PER_DURATION = 3  # a lease is renewed when a third of the shortest duration has passed
RETRIES_PER_DURATION = 15  # a request without a response is repeated after a fifteenth
MIN_RETRY_INTERVAL = 40 * MILLISECOND
IDLE_DURATION = 3 * SECOND  # stands for the shortest duration where no lease is wanted
MAX_REMEMBERED_REQUESTS = 64  # whose time of sending is known


class LeaseHolderEnvironment(Protocol):
    """What a `LeaseHolder` needs from its driver."""

    def now(self) -> int:
        """Return nanoseconds of a monotonic clock."""

    def send(self, request: LeaseRequest) -> None:
        """Send a request to the lease server that is believed to lead."""

    def try_next_server(self) -> None:
        """Turn to another lease server, as that one does not respond."""


class Lease:
    """One lease that is wanted."""

    def __init__(self, name: str, duration: int, waiting_since: int, first_request: int) -> None:
        """Take the time from which it is wanted and the number of the first request that names it.

        Responses to earlier requests are about an earlier time at which it was wanted.
        """
        self.name = name
        self.duration = duration  # ns
        self.waiting_since = waiting_since
        self.first_request = first_request
        self.token = NO_TOKEN
        self.expires_at = 0  # 0: not held
        self.on_lost: Callable[[str], None] = lambda reason: None  # held no more, or rejected


class PendingRelease(NamedTuple):
    """A release that no lease server has confirmed."""

    token: int
    first_request: int  # the first request that names it
    hand_over_to: str


class LeaseHolder:
    """Requests, renews and releases leases; driven by its environment."""

    def __init__(self, environment: LeaseHolderEnvironment) -> None:
        """Want nothing at first."""
        self.environment = environment
        self.leases: dict[str, Lease] = {}  # all that are wanted
        self.pending_releases: dict[str, PendingRelease] = {}
        self.latest_request = 0
        self.latest_response = 0  # the latest request that has been answered
        self.sent_at: dict[int, int] = {}  # when each request was sent
        self.next_request_at = NEVER
        self.lost = self.renewals = 0  # since the start

    # ---- What its user calls ----

    def want(self, name: str, duration: int) -> Lease:
        """Want the lease for `duration` ns, and renew it, until `release`."""
        lease = self.leases.get(name)
        if lease is None:
            first_request = self.latest_request + 1
            lease = Lease(name, duration, self.environment.now(), first_request)
            self.leases[name] = lease
            self.next_request_at = 0
        return lease

    def release(self, name: str, hand_over_to: str = "") -> None:
        """Give the lease up: it is not held from now on.

        Lease servers learn of it so that others need not wait for its end; `hand_over_to` goes before them.
        """
        lease = self.leases.pop(name, None)
        if lease is not None and lease.token:
            self.release_token(name, lease.token, hand_over_to)
        # A lease that was only waited for is left out of the next request.
        self.next_request_at = 0

    def release_token(self, name: str, token: int, hand_over_to: str = "") -> None:
        """Release what this holder id was granted under `token`, also before this process began."""
        self.pending_releases[name] = PendingRelease(token, self.latest_request + 1, hand_over_to)
        self.next_request_at = 0

    def time_left(self, name: str) -> int:
        """Return nanoseconds for which the lease is certainly held; 0 where it is not."""
        lease = self.leases.get(name)
        return max(0, lease.expires_at - self.environment.now()) if lease is not None else 0

    def token(self, name: str) -> int:
        """Return the fencing token of a lease that is held now; 0 where it is not."""
        return self.leases[name].token if self.time_left(name) else NO_TOKEN

    # ---- What its environment calls ----

    def connected(self) -> None:
        """Send what is wanted, as requests can be sent now."""
        if self.leases or self.pending_releases:
            self._send_request(self.environment.now())

    def next_wake(self) -> int:
        """Return when `tick` has to be called next."""
        ends = [lease.expires_at for lease in self.leases.values() if lease.expires_at]
        return min(self.next_request_at, *ends) if ends else self.next_request_at

    def tick(self) -> None:
        """End what has expired, and send a request where one is due."""
        now = self.environment.now()
        for lease in list(self.leases.values()):
            if lease.expires_at and lease.expires_at <= now:
                self._lose(lease, "it was not renewed in time")
        if now < self.next_request_at or not (self.leases or self.pending_releases):
            return
        if self.latest_request and self.latest_response < self.latest_request:
            self.environment.try_next_server()
        self._send_request(now)

    def handle_response(self, response: LeaseResponse) -> None:
        """Handle a response. One to a request that is no longer remembered changes nothing."""
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
        if number > self.latest_response:
            self.latest_response = number
            if number == self.latest_request:
                self.next_request_at = max(self.next_request_at, sent_at + self._renewal_interval())
        for name, pending in list(self.pending_releases.items()):
            if pending.first_request <= number:
                del self.pending_releases[name]

    def _handle_granted(self, granted: GrantedLease, number: int, expires_at: int, now: int) -> None:
        lease = self.leases.get(granted.name)
        if lease is None:
            if granted.name not in self.pending_releases:
                # It was granted after it had been given up: who waits need not wait for its end.
                self.release_token(granted.name, granted.token)
            return
        if number < lease.first_request or granted.token < lease.token:
            return  # a late response about a grant that may have been released since
        lease.token = granted.token
        if expires_at <= now or expires_at <= lease.expires_at:
            return  # expired by now, or known to last for longer
        self.renewals += lease.expires_at != 0
        lease.expires_at = expires_at

    def _lose(self, lease: Lease, reason: str) -> None:
        if lease.expires_at:
            lease.expires_at = 0
            lease.waiting_since = self.environment.now()
            self.lost += 1
            lease.on_lost(reason)

    def _shortest_duration(self) -> int:
        return min((lease.duration for lease in self.leases.values()), default=IDLE_DURATION)

    def _renewal_interval(self) -> int:
        return self._shortest_duration() // RENEWALS_PER_DURATION

    def _retry_interval(self) -> int:
        interval = self._renewal_interval() * RENEWALS_PER_DURATION // RETRIES_PER_DURATION
        return max(MIN_RETRY_INTERVAL, interval)

    def _send_request(self, now: int) -> None:
        self.latest_request += 1
        # Noted before it is sent, so that it is known before any response can come.
        self.sent_at[self.latest_request] = now
        self.sent_at.pop(self.latest_request - MAX_REMEMBERED_REQUESTS, None)
        self.next_request_at = now + self._retry_interval()
        wanted = [
            RequestedLease(lease.name, lease.duration, lease.token, max(0, now - lease.waiting_since))
            for lease in self.leases.values()
        ]
        released = [
            ReleasedLease(name, pending.token, pending.hand_over_to)
            for name, pending in self.pending_releases.items()
        ]
        self.environment.send(LeaseRequest(self.latest_request, wanted, released))
