"""Units of the monotonic clock, and a time later than any other."""

MILLISECOND = 1_000_000  # ns
SECOND = 1000 * MILLISECOND
NEVER = 1 << 62
