"""Validity of the endpoint list, a time to live from discovery's last confirmation, and what holds after it.

A change of the list is binding `BINDING_DELAY_NS` after discovery has it and can be reached, however many
calls failed in between. Bounds on each wait and each backoff do not bound their sum, so the list has one
expiry, counted from the last answer. Once it has expired, attempts go only to workers with a health check as
fresh as a valid list: draining workers fail health checks, though they may still take attempts.
"""

from dataclasses import dataclass, field

from .context import Context
from .state import MILLISECOND, SECOND, ProbePurpose, Worker

BINDING_DELAY_NS = 6 * SECOND
MAX_PROPAGATION_DELAY_NS = SECOND  # until an answer of discovery contains a change that discovery has
LIST_TTL_NS = BINDING_DELAY_NS - MAX_PROPAGATION_DELAY_NS
TTL_POLL_INTERVALS = 4  # a list that is polled has a shorter time to live where the polls are frequent
# What an agent that pushes the list has is binding at once, whether or not a watch is open. After a broken
# watch the list may be used for this part of the drain grace.
PUSHED_TTL_GRACE_SHARE = 0.6
MAX_PUSHED_TTL_NS = 300 * MILLISECOND
MAX_CONFIRMATIONS_IN_FLIGHT = 8
CONFIRMATION_INTERVAL_NS = SECOND  # between checks of one worker while it does not pass them


@dataclass(eq=False)
class ListValidity:
    """The expiry of the endpoint list, and the freshness of workers' health checks after it."""

    context: Context
    valid_until: int | None = None  # None: the list never expires, as changes arrive by other means
    expirations: int = 0
    expired_at: int = 0  # 0: valid

    def confirm(self, as_of: int, now: int) -> None:
        """Renew the list: discovery answered with all that it had at `as_of`, or has nothing to answer."""
        renewed_until = as_of + self._list_ttl()
        self.valid_until = max(self.valid_until or 0, renewed_until)
        if self.expired_at and now < self.valid_until:
            expired_for = (now - self.expired_at) / SECOND
            self.context.log.write(f"endpoint list valid again, {expired_for:.2f} s after it expired")
            self.expired_at = 0

    def shorten(self, until: int) -> None:
        """Let the list expire at `until`, if that is sooner than it would by itself."""
        if self.valid_until is not None:
            self.valid_until = min(self.valid_until, until)

    def is_valid(self, now: int) -> bool:
        """Whether the list may be used; its expiry is logged and counted once."""
        if self.valid_until is None or now < self.valid_until:
            return True
        if not self.expired_at:
            self._record_expiry(now)
        return False

    def _record_expiry(self, now: int) -> None:
        self.expired_at = now
        self.expirations += 1
        consequence = "workers need a health check of their own"
        if not self.context.settings.probing_allowed:
            consequence = "nothing is sent, as no health checks are permitted"
        self.context.log.write(f"endpoint list expired, unconfirmed for too long: {consequence}")

    def covers(self, worker: Worker, now: int) -> bool:
        """Whether the list, or a fresh health check of the worker, allows attempts there."""
        return self.is_valid(now) or now < worker.healthy_at + self._health_check_ttl()

    def _health_check_ttl(self) -> int:
        """How long (ns) a health check counts: as long as a change may be unknown and not binding yet."""
        is_polled = self.context.settings.discovery_polling
        return self._list_ttl() if is_polled else self.pushed_ttl()

    def _list_ttl(self) -> int:
        settings = self.context.settings
        if not settings.discovery_polling:
            return LIST_TTL_NS
        return min(LIST_TTL_NS, TTL_POLL_INTERVALS * settings.discovery_poll_interval)

    def pushed_ttl(self) -> int:
        """How long (ns) a pushed list may be used without an open watch."""
        grace_share = int(PUSHED_TTL_GRACE_SHARE * self.context.settings.drain_grace)
        return min(MAX_PUSHED_TTL_NS, grace_share)

    def time_left(self, now: int) -> int | None:
        """Time in ns until the list expires, less than 0 after that; None: it does not."""
        return None if self.valid_until is None else self.valid_until - now


@dataclass(eq=False)
class HealthConfirmation:
    """Health checks of the workers that requests need once the list has expired."""

    context: Context
    in_flight: set[str] = field(default_factory=set)  # names of the workers that are being checked

    def is_due(self, worker: Worker, now: int) -> bool:
        """Whether the worker may be checked: after a failed check only once its interval is over."""
        return now >= worker.next_check_at

    def request(self, workers: list[Worker], now: int) -> None:
        """Check these workers, as far as the limit on checks in flight allows."""
        for worker in workers:
            if worker.probe is None and len(self.in_flight) < MAX_CONFIRMATIONS_IN_FLIGHT:
                worker.probe = ProbePurpose.CONFIRMATION
                worker.next_check_at = now + CONFIRMATION_INTERVAL_NS
                self.in_flight.add(worker.name)
                self.context.actions.probe(worker.name)

    def completed(self, worker: Worker) -> None:
        """A check has ended."""
        self.in_flight.discard(worker.name)
