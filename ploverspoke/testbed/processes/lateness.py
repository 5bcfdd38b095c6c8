"""Measures how late the event loop of this process is, since its records are wrong by as much."""

import asyncio

from ..experiment_files.durations import SECOND
from .history import monotonic_now


class LatenessMeter:
    """Keeps the largest lateness so far."""

    def __init__(self, interval: int) -> None:
        """Measure at that interval (ns) while `run` is active."""
        self.interval = interval
        self.max_lateness = 0  # ns

    def record(self, lateness: int) -> None:
        """Record that something was `lateness` ns late."""
        self.max_lateness = max(self.max_lateness, lateness)

    async def run(self) -> None:
        """Measure until this is cancelled."""
        while True:
            due_at = monotonic_now() + self.interval
            await asyncio.sleep(self.interval / SECOND)
            self.record(monotonic_now() - due_at)
