"""Log lines for the person on call: plain print to standard error, at a bounded rate."""

import sys
import time

LINES_AT_ONCE = 50
LINES_A_SECOND = 5.0


class RateLimitedLog:
    def __init__(self) -> None:
        self.may_print = float(LINES_AT_ONCE)
        self.at = time.monotonic()
        self.held_back = 0

    def write(self, line: str) -> None:
        now = time.monotonic()
        self.may_print = min(LINES_AT_ONCE, self.may_print + (now - self.at) * LINES_A_SECOND)
        self.at = now
        if self.may_print < 1:
            self.held_back += 1
            return
        self.may_print -= 1
        if self.held_back:
            line = f"{line} ({self.held_back} lines held back before)"
            self.held_back = 0
        try:
            print(line, file=sys.stderr, flush=True)
        except OSError:
            # Nobody reads the log any more: no reason to stop serving.
            self.held_back += 1


_limiter = RateLimitedLog()
log_line = _limiter.write
