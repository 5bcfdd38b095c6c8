"""How long the endpoint list may be used after service discovery last confirmed it, and what holds then.

A change of the list binds a dispatcher `CHANGE_BINDS_AFTER_NS` after discovery has it and can be reached,
however many calls failed in between. Bounds on each wait and each backoff do not bound their sum, so there is
one time, counted from the last answer, after which the list alone allows nothing. From then on a worker is
sent to only if it has answered a health check well in as short a time: workers that drain answer those
unwell, though they may go on taking attempts.
"""

from dataclasses import dataclass, field

from .context import Context
from .state import MILLISECOND, SECOND, ProbePurpose, Worker

CHANGE_BINDS_AFTER_NS = 6 * SECOND
LATEST_LISTING_NS = SECOND  # discovery may pass a change on so late, in an answer that lacks it by then
VALIDITY_NS = CHANGE_BINDS_AFTER_NS - LATEST_LISTING_NS
POLL_INTERVALS = 4  # after so many without an answer a change binds, if that is sooner
# What an agent has that pushes the list binds at once, whether or not a watch is open: this part of the grace
# is used after one has broken.
PUSHED_SHARE_OF_GRACE = 0.6
LONGEST_PUSHED_VALIDITY_NS = 300 * MILLISECOND
MOST_CHECKS_IN_FLIGHT = 8
CHECK_INTERVAL_NS = SECOND  # of one worker; one that answered well may be checked when that no longer counts


@dataclass(eq=False)
class ListValidity:
    """Keeps until when the list, or a worker's own answer, allows attempts."""

    context: Context
    valid_until: int | None = None  # None: no end, as changes are certain to come
    expirations: int = 0
    expired_at: int = 0  # 0: valid

    def confirm(self, as_of: int, now: int) -> None:
        """Discovery has answered with all that it had at `as_of`, or had nothing to answer with."""
        self.valid_until = max(self.valid_until or 0, as_of + self._list_validity())
        if self.expired_at and now < self.valid_until:
            expired_for = (now - self.expired_at) / SECOND
            self.context.log.write(f"endpoint list valid again, {expired_for:.2f} s after it expired")
            self.expired_at = 0

    def shorten(self, until: int) -> None:
        """Changes may bind sooner than after the last answer alone."""
        if self.valid_until is not None:
            self.valid_until = min(self.valid_until, until)

    def is_valid(self, now: int) -> bool:
        """Whether the list may be used; its expiry is logged and counted once."""
        if self.valid_until is None or now < self.valid_until:
            return True
        if not self.expired_at:
            self.expired_at = now
            self.expirations += 1
            instead = "workers need a health check of their own"
            if not self.context.settings.probing_allowed:
                instead = "nothing is sent, as no health checks are permitted"
            self.context.log.write(f"endpoint list expired, unconfirmed for too long: {instead}")
        return False

    def covers(self, worker: Worker, now: int) -> bool:
        """Whether nothing that binds by now can be unknown of this worker."""
        return self.is_valid(now) or now < worker.healthy_at + self._health_validity()

    def _health_validity(self) -> int:
        """A health check stands for as long as a change could stay unknown and not bind."""
        is_polled = self.context.settings.discovery_polling
        return self._list_validity() if is_polled else self.pushed_validity()

    def _list_validity(self) -> int:
        settings = self.context.settings
        if not settings.discovery_polling:
            return VALIDITY_NS
        return min(VALIDITY_NS, POLL_INTERVALS * settings.discovery_poll_interval)

    def pushed_validity(self) -> int:
        """How long (ns) a pushed list is good for without a watch that is open."""
        share = int(PUSHED_SHARE_OF_GRACE * self.context.settings.drain_grace)
        return min(LONGEST_PUSHED_VALIDITY_NS, share)

    def time_left(self, now: int) -> int | None:
        """Time in ns until the list expires, less than 0 after that; None: it does not."""
        return None if self.valid_until is None else self.valid_until - now


@dataclass(eq=False)
class HealthConfirmation:
    """Health checks of workers that the list alone no longer covers, as far as requests need them."""

    context: Context
    in_flight: set[str] = field(default_factory=set)

    def is_due(self, worker: Worker, now: int) -> bool:
        """Whether the worker may be checked: not for a while after an answer that did not cover it."""
        return now >= worker.next_check_at

    def request(self, workers: list[Worker], now: int) -> None:
        """Check these workers, unless enough checks are out."""
        for worker in workers:
            if worker.probe is None and len(self.in_flight) < MOST_CHECKS_IN_FLIGHT:
                worker.probe = ProbePurpose.CONFIRMATION
                worker.next_check_at = now + CHECK_INTERVAL_NS
                self.in_flight.add(worker.name)
                self.context.actions.probe(worker.name)

    def completed(self, worker: Worker) -> None:
        """A check has ended."""
        self.in_flight.discard(worker.name)
