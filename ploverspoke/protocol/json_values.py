"""JSON from outside: whatever it holds, reading it raises nothing."""

import json
from typing import Any


def parse(text: str | bytes | bytearray) -> Any:
    """The value, or None where the text is no JSON."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return None


def is_finite(value: Any) -> bool:
    """Whether it is a number that a float can hold."""
    return isinstance(value, int | float) and abs(value) < 1e300
