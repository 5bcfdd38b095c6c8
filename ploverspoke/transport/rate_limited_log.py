"""Log lines for the operator on call, written to standard error at a bounded rate."""

import sys
import time

BURST_LINES = 50
LINES_PER_SECOND = 5.0


class RateLimitedLog:
    """A token bucket in front of standard error; suppressed lines are counted and reported."""

    def __init__(self, burst: int = BURST_LINES, lines_per_second: float = LINES_PER_SECOND) -> None:
        """Start with a full bucket of `burst` lines."""
        self.burst = burst
        self.lines_per_second = lines_per_second
        self.tokens = float(burst)
        self.refilled_at = time.monotonic()  # seconds
        self.suppressed = 0  # lines since the last one that was written

    def write(self, line: str) -> None:
        """Write one line, or count it as suppressed if the rate is exceeded."""
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.lines_per_second)
        self.refilled_at = now
        if self.tokens < 1:
            self.suppressed += 1
            return
        self.tokens -= 1
        if self.suppressed:
            line = f"{line} ({self.suppressed} lines suppressed before)"
            self.suppressed = 0
        try:
            print(line, file=sys.stderr, flush=True)
        except OSError:
            # Standard error is closed, which is no reason to stop serving. The line counts as suppressed.
            self.suppressed += 1


_default_log = RateLimitedLog()
log_line = _default_log.write
