"""Measures the time that decisions take by fleet size, in simulations on virtual time."""

import time
from collections.abc import Callable
from statistics import median
from typing import Any

import msgspec

from ..models.baseline_policies import POLICIES, ProductPolicy
from .bench_process import Log, bench_experiment

FLEET_SIZES = (10, 100, 300, 1000)  # workers
QUICK_FLEET_SIZES = FLEET_SIZES[:3]
RATE = 300.0  # requests a second
DURATION, QUICK_DURATION = "20s", "5s"
SEEDS, QUICK_SEEDS = 3, 1
TIMED_POLICY = "timed"
REQUEST_CLASS: dict[str, object] = {
    "name": "look-up",
    "expected_time": "1s",
    "abandon_time": "2s",
    "work": {"law": "lognormal", "mean": "40ms"},
}
EVENTS = (
    "request_arrived", "attempt_started", "attempt_progressed", "attempt_ended", "probe_completed",
    "timer_fired", "endpoint_list_received", "endpoints_changed", "client_disconnected",
)  # fmt: skip


class DecisionCost(msgspec.Struct, rename={"microseconds_per_request": "us_each"}):
    """The time of decisions, by the number of workers in the fleet."""

    workers: int
    microseconds_per_request: float


class TimedHost:
    """Passes a policy's actions to its host and times them, since they are a cost of the models.

    The time of decisions is without them.
    """

    def __init__(self, host: Any) -> None:
        """Wrap the host of a policy."""
        self.host = host
        self.now = host.now

    def __getattr__(self, name: str) -> Any:
        """Return the host's method of that name, timed."""
        action = getattr(self.host, name)

        def timed(*arguments: Any) -> None:
            """Carry out the action and add its time."""
            began_at = time.perf_counter()
            action(*arguments)
            TimedPolicy.host_seconds += time.perf_counter() - began_at

        setattr(self, name, timed)
        return timed


class TimedPolicy(ProductPolicy):
    """The decisions, with the time of each event added up."""

    seconds = 0.0
    host_seconds = 0.0

    def __init__(self, host: Any, seed: int, settings: Any, true_load: Any = None) -> None:
        """Create a policy for that host, whose actions are timed."""
        super().__init__(TimedHost(host), seed, settings)

    @classmethod
    def reset(cls) -> None:
        """Reset the added times to zero."""
        cls.seconds = cls.host_seconds = 0.0


def _timed_handler(event: str) -> Callable[..., None]:
    original = getattr(ProductPolicy, event)

    def handle(self: TimedPolicy, *arguments: Any, **keyword_arguments: Any) -> None:
        """Handle the event and add its time, without that of the host's actions."""
        began_at, host_seconds = time.perf_counter(), TimedPolicy.host_seconds
        original(self, *arguments, **keyword_arguments)
        elapsed = time.perf_counter() - began_at
        TimedPolicy.seconds += elapsed - (TimedPolicy.host_seconds - host_seconds)

    return handle


for _event in EVENTS:
    setattr(TimedPolicy, _event, _timed_handler(_event))


def measure_decisions(is_quick: bool, log: Log) -> list[DecisionCost]:
    """Return the microseconds that one dispatcher spends on decisions for each request, by fleet size."""
    costs = []
    POLICIES[TIMED_POLICY] = TimedPolicy
    try:
        for workers in QUICK_FLEET_SIZES if is_quick else FLEET_SIZES:
            cost = DecisionCost(workers, _measure(workers, is_quick))
            costs.append(cost)
            log(f"{workers} workers: {cost.microseconds_per_request:.0f} us of decisions for each request")
    finally:
        del POLICIES[TIMED_POLICY]
    return costs


def _measure(workers: int, is_quick: bool) -> float:
    """Return the median over the seeds, in microseconds for each request."""
    from ..models.virtual_run import VirtualRun

    experiment = bench_experiment([REQUEST_CLASS], workers, QUICK_DURATION if is_quick else DURATION, RATE)
    costs = []
    for seed in range(QUICK_SEEDS if is_quick else SEEDS):
        TimedPolicy.reset()
        run = VirtualRun(experiment, seed, TIMED_POLICY)
        run.run()
        costs.append(TimedPolicy.seconds / max(1, run.clients.sent_count) * 1e6)
    return median(costs)
