"""Log lines for the operator on call, written to standard error at a bounded rate and without waiting."""

import select
import sys
import time

BURST_LINES = 50
LINES_PER_SECOND = 5.0
# A pipe that is writable has room for this much at least (PIPE_BUF), so that a write does not wait.
MAX_LINE_LENGTH = 4000  # bytes, without the count of suppressed lines
CUT_MARK = " [cut]"


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
        """Write one line, or count it as suppressed if the rate is exceeded or nobody reads."""
        now = time.monotonic()
        self.tokens = min(self.burst, self.tokens + (now - self.refilled_at) * self.lines_per_second)
        self.refilled_at = now
        if self.tokens < 1 or not _is_writable():
            self.suppressed += 1
            return
        self.tokens -= 1
        line = _shortened(line)
        suppressed, self.suppressed = self.suppressed, 0
        if suppressed:
            line = f"{line} ({suppressed} lines suppressed before)"
        try:
            print(line, file=sys.stderr, flush=True)
        except OSError:
            # Standard error is closed, which is no reason to stop serving. The line counts as suppressed.
            self.suppressed = suppressed + 1


def _shortened(line: str) -> str:
    """Return the line, cut if it is too long: names from the network may have any length."""
    data = line.encode("utf-8", "backslashreplace")
    if len(data) > MAX_LINE_LENGTH:
        data = data[: MAX_LINE_LENGTH - len(CUT_MARK)] + CUT_MARK.encode()
    return data.decode("utf-8", "ignore")


def _is_writable() -> bool:
    """Whether a line can be written without waiting for a reader of standard error."""
    try:
        descriptor = sys.stderr.fileno()
    except (AttributeError, OSError, ValueError):
        return True  # replaced by an object that is not a file
    poll = select.poll()  # select() only supports descriptors below 1,024
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(0))


default_log = RateLimitedLog()
log_line = default_log.write
