"""The frames of the simulator's wire: lines of a name and name=value pairs."""

import json
from typing import Any

# Fields whose text runs to the end of the line.
TEXT_FIELDS = ("ProfileData", "Line")


class CodecError(Exception):
    """The input is not what the wire promises."""


class Fields(dict[str, str]):
    """The fields of one line, read with the type that the wire gives them."""

    def __missing__(self, name: str) -> str:
        raise CodecError(f"required field {name} is missing")

    def whole(self, name: str, absent: int | None = None) -> int:
        if absent is not None and name not in self:
            return absent
        text = self[name]
        try:
            return int(text)
        except ValueError:
            raise CodecError(f"field {name} is no whole number: {text!r}") from None

    def number(self, name: str, absent: float | None = None) -> float:
        if absent is not None and name not in self:
            return absent
        text = self[name]
        try:
            return float(text)
        except ValueError:
            raise CodecError(f"field {name} is no number: {text!r}") from None

    def flag(self, name: str) -> bool:
        text = self.get(name, "0")
        if text not in ("0", "1"):
            raise CodecError(f"field {name} is neither 0 nor 1: {text!r}")
        return text == "1"

    def numbers(self, name: str) -> list[float] | None:
        text = self.get(name)
        if text is None or text in ("", "-"):
            return None
        try:
            return [float(part) for part in text.split(",")]
        except ValueError:
            raise CodecError(f"field {name} is no row of numbers: {text!r}") from None

    def mapping(self, name: str) -> dict[str, Any]:
        try:
            value = json.loads(self[name])
        except json.JSONDecodeError as error:
            raise CodecError(f"field {name} is no JSON: {error}") from None
        if not isinstance(value, dict):
            raise CodecError(f"field {name} is no JSON object")
        return value


def read_line(line: str) -> tuple[str, Fields]:
    """Split one line into its name and its fields."""
    name, _, rest = line.partition(" ")
    if not name:
        raise CodecError("empty line")
    fields = Fields()
    while rest:
        key, equals, rest = rest.partition("=")
        if not equals or not key or " " in key:
            raise CodecError(f"expected name=value at {key[:40]!r}")
        if key in TEXT_FIELDS:
            fields[key] = rest
            break
        fields[key], _, rest = rest.partition(" ")
    return name, fields


def write_line(name: str, **fields: int | str) -> str:
    """One line of a reply; text fields come last."""
    return " ".join([name, *(f"{key}={value}" for key, value in fields.items())])
