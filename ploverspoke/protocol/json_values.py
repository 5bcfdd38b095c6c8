"""Parsing of untrusted JSON: no input raises an exception."""

import json
from typing import TypeAlias, TypeGuard

JsonValue: TypeAlias = "None | bool | int | float | str | list[JsonValue] | dict[str, JsonValue]"

NUMBER_LIMIT = 1e300  # a larger integer may overflow a float


def parse_json(text: str | bytes | bytearray) -> JsonValue:
    """Return the value, or None if the text is not valid JSON."""
    try:
        value: JsonValue = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return value


def is_finite(value: object) -> TypeGuard[int | float]:
    """Whether the value is a number that a finite float can represent."""
    return isinstance(value, int | float) and abs(value) < NUMBER_LIMIT
