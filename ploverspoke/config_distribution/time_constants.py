"""A time of the monotonic clock that stands for no time at all."""

NEVER = 1 << 62  # ns, later than any other
