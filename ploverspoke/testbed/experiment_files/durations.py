"""Durations as experiment files write them: a number and a unit, as "250ms"."""

import re

NANOSECONDS_PER_UNIT = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000}
MICROSECOND = NANOSECONDS_PER_UNIT["us"]
MILLISECOND = NANOSECONDS_PER_UNIT["ms"]
SECOND = NANOSECONDS_PER_UNIT["s"]
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*(ns|us|ms|s|min)")


class DurationError(ValueError):
    """The value is no number with a unit."""

    def __init__(self, value: object) -> None:
        """Keep the value that was found."""
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


def decode_duration(kind: type, value: object) -> Duration:
    """Decode a value of a file as `msgspec.convert` asks for it, its `dec_hook`.

    Raises:
        DurationError: The number or its unit is missing.
        NotImplementedError: `kind` is another type.
    """
    if kind is not Duration:
        raise NotImplementedError(kind)
    return value if isinstance(value, Duration) else parse_duration(value)


def format_duration(nanoseconds: float) -> str:
    """Format for people: three digits and the largest unit that leaves a whole part."""
    for unit in ("s", "ms", "us"):
        if nanoseconds >= NANOSECONDS_PER_UNIT[unit]:
            return f"{nanoseconds / NANOSECONDS_PER_UNIT[unit]:.3g}{unit}"
    return f"{nanoseconds:.0f}ns"
