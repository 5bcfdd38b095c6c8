"""Units of time in nanoseconds and of memory in bytes, and the times that mean "never" and "long ago"."""

MICROSECOND = 1_000
MILLISECOND = 1_000_000
SECOND = 1_000_000_000
MINUTE = 60 * SECOND
NEVER = 1 << 62  # later than any time of a monotonic clock
LONG_AGO = -NEVER  # earlier than any time of a monotonic clock
KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
