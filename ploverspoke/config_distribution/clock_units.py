"""Units of the monotonic clock, and the time that never comes."""

MILLISECOND = 1_000_000  # ns
SECOND = 1000 * MILLISECOND
NEVER = 1 << 62
