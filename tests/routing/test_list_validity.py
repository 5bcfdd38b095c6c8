"""Drains are respected within 6 s and the grace whatever calls fail, in fleets of 1 to 3,000 dispatchers."""

import os
import random

import pytest

from ploverspoke.routing import endpoint_watch
from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND
from tests.decisions.harness import SETTINGS
from tests.routing.simulated_discovery import UNREACHABLE, FakePool, Fault
from tests.routing.virtual_router import VirtualRouter

FLEETS = (1, 2, 8, 30, 177, 1000, 3000)
WORKERS = 6
REQUEST_INTERVAL = 40 * MS
RECOVERY_TIME = 20 * SECOND
SEEDS = int(os.environ.get("LIST_VALIDITY_SEEDS", "24"))  # for each mode


@pytest.fixture(autouse=True)
def _fake_connections(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_watch, "ConnectionPool", FakePool)


def simulate(seed: int, mode: str, probing_allowed: bool, duration: int = 40 * SECOND) -> VirtualRouter:
    """Run with faults, drains, moves and suspensions at random moments; then discovery recovers."""
    randomness = random.Random(seed)
    limits = {**SETTINGS["Limits"], "Probing": probing_allowed}
    router = VirtualRouter(
        randomness, WORKERS, Discovery=mode, Limits=limits, PeersTotal=randomness.choice(FLEETS)
    )
    router.start()
    clock, discovery, move_count = router.virtual, router.discovery, 0
    began_at, next_event = clock.now(), 0
    to_drain = [f"w{number}" for number in range(WORKERS - 2)]
    while clock.now() < began_at + duration:
        clock.run_until(clock.now() + REQUEST_INTERVAL)
        router.send_request()
        if clock.now() < next_event:
            continue
        next_event = clock.now() + randomness.choice([0, 50 * MS, 500 * MS, 2 * SECOND, 6 * SECOND])
        event = randomness.random()
        if event < 0.55:
            discovery.set_fault(randomness.choice(list(Fault)))
            if discovery.fault in (Fault.RESET, *UNREACHABLE) or randomness.random() < 0.3:
                discovery.break_watches(discovery.fault)
        elif event < 0.7 and to_drain and clock.now() > began_at + SECOND:
            discovery.drain(to_drain.pop())
        elif event < 0.8:
            move_count += 1
            discovery.move()
            router.endpoints.change_address(f"discovery-{move_count}:1")
        elif event < 0.84:
            discovery.restart()
        elif event < 0.89:
            # The process was suspended: timers run late, and received data is read after them.
            clock.time += randomness.randrange(8 * SECOND)
    discovery.set_fault(Fault.NONE)
    clock.run_until(clock.now() + RECOVERY_TIME)
    return router


@pytest.mark.parametrize("probing_allowed", [True, False])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_drains_are_respected_whatever_the_faults_of_discovery(mode: str, probing_allowed: bool) -> None:
    for seed in range(SEEDS):
        router = simulate(seed, mode, probing_allowed)
        assert not router.violations, f"seed {seed}: {router.violations[:3]}"
        assert router.dispatcher.components.validity.is_valid(router.virtual.now()), f"seed {seed}"
        if probing_allowed:
            assert router.served > router.requests_sent * 0.9, f"seed {seed}: {router.served}"
