"""Durations in experiment files: a number and a unit, such as "250ms"."""

import re

NANOSECONDS_PER_UNIT = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000}
MICROSECOND = NANOSECONDS_PER_UNIT["us"]
MILLISECOND = NANOSECONDS_PER_UNIT["ms"]
SECOND = NANOSECONDS_PER_UNIT["s"]
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*(ns|us|ms|s|min)")


class DurationError(ValueError):
    """The value is not a number with a unit."""

    def __init__(self, value: object) -> None:
        """Keep the invalid value."""
        super().__init__(f'expected a time with its unit (ns, us, ms, s, min), as "250ms", got {value!r}')
        self.value = value


class Duration(int):
    """A duration in nanoseconds."""


def parse_duration(text: object) -> Duration:
    """Parse a number with its unit.

    Raises:
        DurationError: The number or its unit is missing.
    """
    match = DURATION_PATTERN.fullmatch(text.strip()) if isinstance(text, str) else None
    if match is None:
        raise DurationError(text)
    return Duration(round(float(match[1]) * NANOSECONDS_PER_UNIT[match[2]]))


def decode_duration(target_type: type, value: object) -> Duration:
    """Decode a duration of a file; the `dec_hook` of `msgspec.convert`.

    Raises:
        DurationError: The number or its unit is missing.
        NotImplementedError: `target_type` is not Duration.
    """
    if target_type is not Duration:
        raise NotImplementedError(target_type)
    return value if isinstance(value, Duration) else parse_duration(value)


def format_duration(nanoseconds: float) -> str:
    """Format for display: three digits, in the largest unit in which the value is at least 1."""
    for unit in ("s", "ms", "us"):
        if nanoseconds >= NANOSECONDS_PER_UNIT[unit]:
            return f"{nanoseconds / NANOSECONDS_PER_UNIT[unit]:.3g}{unit}"
    return f"{nanoseconds:.0f}ns"
