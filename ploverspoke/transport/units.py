"""Units of time, in nanoseconds."""

MICROSECOND = 1_000
MILLISECOND = 1_000_000
SECOND = 1_000_000_000
