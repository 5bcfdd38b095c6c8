"""Units of time, in nanoseconds, and of memory, in bytes; times that stand for no time at all."""

MICROSECOND = 1_000
MILLISECOND = 1_000_000
SECOND = 1_000_000_000
MINUTE = 60 * SECOND
NEVER = 1 << 62  # later than any time of a monotonic clock
LONG_AGO = -NEVER  # before any
MEBIBYTE = 1024 * 1024
