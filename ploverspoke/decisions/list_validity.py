"""Validity of the endpoint list, which expires after a time without confirmation, and the rules after that.

A change of the list is binding `BINDING_DELAY_NS` after discovery has it and can be reached, however many
calls failed in between. Limits on each wait and each backoff do not limit their sum, so the list has a single
expiry, counted from the last answer. After the expiry, attempts go only to workers with a health check as
recent as a valid list: draining workers fail health checks, though they may still accept attempts.
"""

from dataclasses import dataclass, field

from .context import Context
from .state import MILLISECOND, SECOND, ProbePurpose, Worker

BINDING_DELAY_NS = 6 * SECOND
MAX_PROPAGATION_DELAY_NS = SECOND  # until discovery's answers contain a change that it has
LIST_TTL_NS = BINDING_DELAY_NS - MAX_PROPAGATION_DELAY_NS
TTL_POLL_INTERVALS = 4  # a polled list lives at most this many poll intervals
# Changes that an agent pushes are binding as soon as the agent has them, even if no watch is open. After a
# watch has broken, the list may be used for this share of the drain grace.
PUSHED_TTL_GRACE_SHARE = 0.6
MAX_PUSHED_TTL_NS = 300 * MILLISECOND
MAX_CONFIRMATIONS_IN_FLIGHT = 8
CONFIRMATION_INTERVAL_NS = SECOND  # between health checks of one worker while it fails them


@dataclass(eq=False)
class ListValidity:
    """The expiry of the endpoint list, and the expiry of workers' health checks that replace it."""

    context: Context
    valid_until: int | None = None  # None: the list never expires, as changes arrive by other means
    expirations: int = 0
    expired_at: int = 0  # 0: valid

    def confirm(self, as_of: int, now: int) -> None:
        """Renew the list, which contains all changes that discovery had, or that were binding, at `as_of`."""
        renewed_until = as_of + self._list_ttl()
        self.valid_until = max(self.valid_until or 0, renewed_until)
        if self.expired_at and now < self.valid_until:
            expired_for = (now - self.expired_at) / SECOND
            self.context.log.write(f"endpoint list valid again, {expired_for:.2f} s after it expired")
            self.expired_at = 0

    def shorten(self, until: int) -> None:
        """Make the list expire at `until`, unless it expires earlier."""
        if self.valid_until is not None:
            self.valid_until = min(self.valid_until, until)

    def is_valid(self, now: int) -> bool:
        """Whether the list may be used; logs and counts each expiry once."""
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
        """How long (ns) a health check is valid: as long as an unknown change cannot be binding yet."""
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
        """Time in ns until the list expires, negative after the expiry; None if it never expires."""
        return None if self.valid_until is None else self.valid_until - now


@dataclass(eq=False)
class HealthConfirmation:
    """Health checks of the workers that requests need after the list has expired."""

    context: Context
    in_flight: set[str] = field(default_factory=set)  # names of the workers that are being checked

    def is_due(self, worker: Worker, now: int) -> bool:
        """Whether the worker may be checked; after a failed check only when the interval has passed."""
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
        """Record that a check has ended."""
        self.in_flight.discard(worker.name)
