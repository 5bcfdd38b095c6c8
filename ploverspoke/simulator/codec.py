"""Codec for the simulator's messages: each is one line with a name, and fields in the form name=value."""

import json
from collections.abc import Mapping

from ploverspoke.protocol.json_values import JsonValue

from .errors import FieldValueError, LineSyntaxError, MissingFieldError
from .wire_names import REST_OF_LINE_FIELDS

NO_NUMBERS = ("", "-")  # values of a field that stand for no list of numbers
MAX_QUOTED_LENGTH = 40  # characters of an invalid field that the error message quotes


class Message:
    """A received message; its fields are read with the types that the protocol defines."""

    __slots__ = ("fields", "name")

    def __init__(self, name: str, fields: dict[str, str]) -> None:
        """`fields` holds the unparsed values by field name."""
        self.name = name
        self.fields = fields

    def text(self, field: str, default: str | None = None) -> str:
        """Return a text field. Raises MissingFieldError if the field is missing and there is no default."""
        value = self.fields.get(field, default)
        if value is None:
            raise MissingFieldError(field)
        return value

    def whole_number(self, field: str, default: int | None = None) -> int:
        """Return a whole number. Raises MissingFieldError or FieldValueError."""
        if default is not None and field not in self.fields:
            return default
        text = self.text(field)
        try:
            return int(text)
        except ValueError as error:
            raise FieldValueError(field, f"field {field} is not a whole number: {text!r}") from error

    def number(self, field: str, default: float | None = None) -> float:
        """Return a number. Raises MissingFieldError or FieldValueError."""
        if default is not None and field not in self.fields:
            return default
        text = self.text(field)
        try:
            return float(text)
        except ValueError as error:
            raise FieldValueError(field, f"field {field} is not a number: {text!r}") from error

    def flag(self, field: str) -> bool:
        """Return whether a flag is set; a missing flag is not set. Raises FieldValueError."""
        text = self.fields.get(field, "0")
        if text not in ("0", "1"):
            raise FieldValueError(field, f"field {field} is neither 0 nor 1: {text!r}")
        return text == "1"

    def numbers(self, field: str) -> list[float] | None:
        """Return a list of numbers, or None if it is absent. Raises FieldValueError."""
        text = self.fields.get(field)
        if text is None or text in NO_NUMBERS:
            return None
        try:
            return [float(part) for part in text.split(",")]
        except ValueError as error:
            raise FieldValueError(field, f"field {field} is not a list of numbers: {text!r}") from error

    def json_object(self, field: str) -> dict[str, JsonValue]:
        """Return a JSON object. Raises MissingFieldError or FieldValueError."""
        try:
            value = json.loads(self.text(field))
        except json.JSONDecodeError as error:
            raise FieldValueError(field, f"field {field} is not valid JSON: {error}") from error
        if not isinstance(value, dict):
            raise FieldValueError(field, f"field {field} is not a JSON object")
        return value


def decode_message(line: str) -> Message:
    """Decode one line, without its line end. Raises LineSyntaxError."""
    name, _, rest = line.partition(" ")
    if not name:
        raise LineSyntaxError(reason="empty line")
    fields: dict[str, str] = {}
    while rest:
        field, equals, rest = rest.partition("=")
        if not equals or not field or " " in field:
            raise LineSyntaxError(reason=f"expected name=value at {field[:MAX_QUOTED_LENGTH]!r}")
        if field in REST_OF_LINE_FIELDS:
            fields[field] = rest
            break
        fields[field], _, rest = rest.partition(" ")
    return Message(name, fields)


def encode_message(name: str, fields: Mapping[str, int | str]) -> str:
    """Encode a message as one line, without its line end; a field of `REST_OF_LINE_FIELDS` must be last."""
    return " ".join([name, *(f"{field}={value}" for field, value in fields.items())])
