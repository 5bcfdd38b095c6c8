"""Units of time, in nanoseconds, and of memory, in bytes."""

MICROSECOND = 1_000
MILLISECOND = 1_000_000
SECOND = 1_000_000_000
MEBIBYTE = 1024 * 1024
