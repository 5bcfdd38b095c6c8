"""Messages of the simulator: one line each, a name and fields as name=value."""

import json
from collections.abc import Mapping

from ploverspoke.protocol.json_values import JsonValue

from .errors import FieldValueError, LineSyntaxError, MissingFieldError
from .wire_names import TEXT_FIELDS

NO_NUMBERS = ("", "-")
MAX_QUOTED_CHARACTERS = 40  # of an invalid field, in the error


class Message:
    """One message that was received; its fields are read with the types that the protocol gives them."""

    __slots__ = ("fields", "name")

    def __init__(self, name: str, fields: dict[str, str]) -> None:
        """`fields` holds the texts of the values."""
        self.name = name
        self.fields = fields

    def text(self, field: str, default: str | None = None) -> str:
        """Return a text. Raises MissingFieldError where the field is missing and has no default."""
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
            raise FieldValueError(field, f"field {field} is no whole number: {text!r}") from error

    def number(self, field: str, default: float | None = None) -> float:
        """Return a number. Raises MissingFieldError or FieldValueError."""
        if default is not None and field not in self.fields:
            return default
        text = self.text(field)
        try:
            return float(text)
        except ValueError as error:
            raise FieldValueError(field, f"field {field} is no number: {text!r}") from error

    def flag(self, field: str) -> bool:
        """Return whether a flag is set; it is not where it is missing. Raises FieldValueError."""
        text = self.fields.get(field, "0")
        if text not in ("0", "1"):
            raise FieldValueError(field, f"field {field} is neither 0 nor 1: {text!r}")
        return text == "1"

    def numbers(self, field: str) -> list[float] | None:
        """Return a list of numbers, None where there is none. Raises FieldValueError."""
        text = self.fields.get(field)
        if text is None or text in NO_NUMBERS:
            return None
        try:
            return [float(part) for part in text.split(",")]
        except ValueError as error:
            raise FieldValueError(field, f"field {field} is no row of numbers: {text!r}") from error

    def json_object(self, field: str) -> dict[str, JsonValue]:
        """Return a JSON object. Raises MissingFieldError or FieldValueError."""
        try:
            value = json.loads(self.text(field))
        except json.JSONDecodeError as error:
            raise FieldValueError(field, f"field {field} is no JSON: {error}") from error
        if not isinstance(value, dict):
            raise FieldValueError(field, f"field {field} is no JSON object")
        return value


def decode_message(line: str) -> Message:
    """Read one line, without its end. Raises LineSyntaxError."""
    name, _, rest = line.partition(" ")
    if not name:
        raise LineSyntaxError(reason="empty line")
    fields: dict[str, str] = {}
    while rest:
        field, equals, rest = rest.partition("=")
        if not equals or not field or " " in field:
            raise LineSyntaxError(reason=f"expected name=value at {field[:MAX_QUOTED_CHARACTERS]!r}")
        if field in TEXT_FIELDS:
            fields[field] = rest
            break
        fields[field], _, rest = rest.partition(" ")
    return Message(name, fields)


def encode_message(name: str, fields: Mapping[str, int | str]) -> str:
    """Return one line, without its end; a field whose text runs to the end of the line comes last."""
    return " ".join([name, *(f"{field}={value}" for field, value in fields.items())])
