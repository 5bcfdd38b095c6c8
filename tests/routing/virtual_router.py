"""A router in virtual time with real watch and decision code, and simulated discovery and workers.

No sockets are used: connections to discovery, attempts and health checks are simulated.
"""

import random
from typing import Any, cast

from ploverspoke.decisions.interface import AttemptOutcome, AttemptResult, EndReason
from ploverspoke.routing.active_settings import ActiveSettings
from ploverspoke.routing.router import Router
from ploverspoke.service.settings import parse_names, parse_settings
from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND
from tests.decisions.harness import SETTINGS
from tests.routing.simulated_discovery import HANGING, UNREACHABLE, FakeDiscovery, FakePool, VirtualDeadlines


class VirtualRouter(Router):
    """A router with simulated attempts and health checks; attempts after binding drains are violations."""

    def __init__(self, randomness: random.Random, workers: int, **settings: Any) -> None:
        self.virtual = VirtualDeadlines()
        FakePool.discovery = self.discovery = FakeDiscovery(self.virtual, randomness, workers)
        document = {**SETTINGS, **settings}
        active = ActiveSettings(parse_settings(document), parse_names(document))
        pool = cast(ConnectionPool, FakePool())
        pool.retire_address = lambda address: None  # type: ignore[method-assign]
        if not active.current.discovery_polling and not active.current.probing_allowed:
            # An agent that receives no changes does not respond.
            self.discovery.unreachable = (*UNREACHABLE, *HANGING)
        super().__init__(self.virtual, pool, "discovery-0:1", randomness.randrange(1 << 32), active)
        self.requests_sent = self.served = 0
        self.violations: list[str] = []
        self.attempt_counts: dict[int, int] = {}

    def send_request(self) -> None:
        self.requests_sent += 1
        deadline = self.virtual.now() + 800 * MS
        self.dispatcher.request_arrived(self.requests_sent, 0, 1.0, deadline, 0, "")

    def start_attempt(self, request_id: int, worker: str, timeout: int) -> None:
        now, attempt = self.virtual.now(), self.attempt_counts.get(request_id, 0)
        self.attempt_counts[request_id] = attempt + 1
        self._check(worker, now)
        # Some draining workers accept attempts.
        is_draining = self.discovery.states[worker] != "Ready" and self.discovery.random.random() < 0.5
        outcome = AttemptOutcome.FULL if is_draining else AttemptOutcome.SUCCEEDED

        def end() -> None:
            self.served += not is_draining
            result = AttemptResult(worker, outcome, 5 * MS, not is_draining)
            self.dispatcher.attempt_ended(request_id, attempt, result)

        self.discovery.run_after(5 * MS, end)

    def _check(self, worker: str, now: int) -> None:
        if worker not in self.discovery.drained_at:
            return
        binding_at = self.discovery.drain_binding_at(worker, not self.settings.probing_allowed)
        if not self.settings.discovery_polling:
            binding_at = min(binding_at, self.discovery.pushed_drain_binding_at(worker))
        if now > binding_at + 500 * MS:
            self.violations.append(
                f"{worker} {(now - binding_at) / SECOND:.2f} s after its drain was binding"
            )

    def probe(self, worker: str) -> None:
        is_healthy = self.discovery.states[worker] == "Ready"
        outcome = AttemptOutcome.SUCCEEDED if is_healthy else AttemptOutcome.WORKER_ERROR
        load = {"waiting": 0.0, "free_slots": 4.0} if is_healthy else None
        self.discovery.run_after(
            2 * MS, lambda: self.dispatcher.probe_completed(worker, outcome, 2 * MS, load)
        )

    def reject(self, request_id: int, retry_after: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        self.request_journal.request_ends[reason] += 1

    def fail(self, request_id: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        raise AssertionError("an idempotent request fails")
