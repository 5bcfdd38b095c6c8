"""Times as experiment files write them: a number and a unit, as "250ms"."""

import re

UNITS = {"ns": 1, "us": 1_000, "ms": 1_000_000, "s": 1_000_000_000, "min": 60_000_000_000}
MICROSECOND, MILLISECOND, SECOND = UNITS["us"], UNITS["ms"], UNITS["s"]
FORM = re.compile(r"(\d+(?:\.\d+)?)\s*(ns|us|ms|s|min)")


class Duration(int):
    """A time in nanoseconds."""


def parse_duration(text: object) -> Duration:
    """Raises ValueError where the number or its unit is missing."""
    found = FORM.fullmatch(text.strip()) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f'expected a time with its unit (ns, us, ms, s, min), as "250ms", got {text!r}')
    return Duration(round(float(found[1]) * UNITS[found[2]]))


def format_duration(span: float) -> str:
    """For people: three digits and the largest unit that leaves a whole part."""
    for unit in ("s", "ms", "us"):
        if span >= UNITS[unit]:
            return f"{span / UNITS[unit]:.3g}{unit}"
    return f"{span:.0f}ns"
