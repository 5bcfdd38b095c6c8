"""Reads a JSON document key by key; every error names the invalid key.

`ConfigSection` wraps one JSON object together with its path in the document. Its methods check the type and
the range of one value and return the default if the value is missing or null.
"""

import ipaddress
from collections.abc import Mapping
from typing import NamedTuple, TypeAlias, TypeVar

from ploverspoke.protocol.json_values import is_finite
from ploverspoke.transport.units import MICROSECOND

JsonDocument: TypeAlias = object  # a JSON document or part of one that has not been checked yet
JsonObject: TypeAlias = Mapping[str, object]  # an object of such a document

Choice = TypeVar("Choice")
Value = TypeVar("Value")

MAX_PORT = 65535
MAX_MESSAGE_LENGTH = 300  # in characters, of an error that quotes a value: the value may have any length


class ConfigError(ValueError):
    """The configuration is invalid. `str(error)` is the message that is printed.

    Attributes:
        key: The path of the invalid key, such as `limits.sockets`; empty if the error is not about one key.
        problem: What is wrong with it.
    """

    separator = ": "  # between the key and the problem

    def __init__(self, problem: str, *, key: str = "", max_length: int | None = None) -> None:
        """Build the message from `key` and `problem`, cut to `max_length` characters if that is given."""
        super().__init__((f"{key}{self.separator}{problem}" if key else problem)[:max_length])
        self.key = key
        self.problem = problem


class InvalidValueError(ConfigError):
    """The value of a key is missing or invalid; key and problem form one sentence, such as "KEY is 3"."""

    separator = " "


def first_missing_key(old: JsonDocument, new: JsonDocument, path: str = "") -> str | None:
    """Return the path of the first key that `old` has and `new` lacks, or None.

    Each object of a list in `new` must have the keys that all objects of the same list in `old` share.
    """
    if isinstance(old, Mapping) and isinstance(new, Mapping):
        return _first_missing_in_object(old, new, path)
    if isinstance(old, list) and isinstance(new, list):
        return _first_missing_in_list(old, new, path)
    return None


def _first_missing_in_object(old: JsonObject, new: JsonObject, path: str) -> str | None:
    for key, value in old.items():
        key_path = f"{path}.{key}" if path else key
        if key not in new:
            return key_path
        missing = first_missing_key(value, new[key], key_path)
        if missing is not None:
            return missing
    return None


def _first_missing_in_list(old: list[JsonDocument], new: list[JsonDocument], path: str) -> str | None:
    objects = [value for value in old if isinstance(value, Mapping)]
    if not objects:
        return None
    # Only the keys of these objects are compared: the objects nested in them may have different keys.
    shared = dict.fromkeys(key for key in objects[0] if all(key in entry for entry in objects))
    for index, value in enumerate(new):
        if isinstance(value, Mapping):
            missing = _first_missing_in_object(shared, value, f"{path}[{index}]")
            if missing is not None:
                return missing
    return None


class Address(NamedTuple):
    """An IP address, without brackets, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form that is used in log lines."""
        return f"{self.host}:{self.port}"


def _parse_address(text: str) -> Address:
    """Raises ValueError if the text is not an IP address and a port from 1 to 65535."""
    bracketed_host, _, digits = text.rpartition(":")
    host, port = bracketed_host.strip("[]"), int(digits)
    ipaddress.ip_address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(port)
    return Address(host, port)


class ConfigSection:
    """One object of the configuration and its path. Its methods raise ConfigError, naming the invalid key.

    Attributes:
        value: The raw JSON object.
        path: Its path in the document, such as `limits`; empty for the whole document.
    """

    def __init__(self, value: JsonDocument, path: str = "") -> None:
        """Wrap `value`. Raises ConfigError if it is not an object."""
        if not isinstance(value, Mapping):
            raise ConfigError(key=path or "the document", problem="expected an object")
        self.value: JsonObject = value
        self.path = path

    def key_path(self, name: str) -> str:
        """Return the path of the key `name` of this section."""
        return f"{self.path}.{name}" if self.path else name

    def invalid(self, name: str, expected: str) -> ConfigError:
        """Return the error for the key `name` (the caller raises it); `expected` describes a valid value."""
        state = "is missing" if name not in self.value else f"is {self.value[name]!r}"
        return InvalidValueError(
            key=self.key_path(name), problem=f"{state}: expected {expected}", max_length=MAX_MESSAGE_LENGTH
        )

    def _get(self, name: str, default: JsonDocument) -> JsonDocument:
        value = self.value.get(name)
        return default if value is None else value

    def section(self, name: str) -> "ConfigSection":
        """Return the object under `name`; an empty section if it is missing."""
        return ConfigSection(self._get(name, {}), self.key_path(name))

    def sections(self, name: str, minimum: int = 0) -> list["ConfigSection"]:
        """Return the objects of the list under `name`, which must have at least `minimum` of them."""
        values = self._get(name, [])
        if not isinstance(values, list) or len(values) < minimum:
            raise self.invalid(name, f"a list of at least {minimum} objects")
        return [ConfigSection(value, f"{self.key_path(name)}[{index}]") for index, value in enumerate(values)]

    def values(
        self, name: str, default: list[Value], kinds: type[Value] | tuple[type[Value], ...]
    ) -> list[Value]:
        """Return a copy of the list under `name`, whose values must all have one of the types `kinds`."""
        values = self._get(name, default)
        if not isinstance(values, list) or not all(isinstance(value, kinds) for value in values):
            raise self.invalid(name, "a list of values of the same type")
        return list(values)

    def values_per_class(self, name: str, default: float, count: int) -> list[float]:
        """Return the list of `count` numbers under `name`, one for each request class.

        For a missing or empty list, returns `count` times the default.
        """
        numbers = self.values(name, [default] * count, (int, float)) or [default] * count
        if len(numbers) != count:
            raise self.invalid(name, f"{count} numbers, one for each service grade")
        return numbers

    def integer(self, name: str, default: int | None = None, minimum: int = 0) -> int:
        """Return the integer under `name`, of at least `minimum`. Required if there is no default."""
        number = self.number(name, default)
        if number < minimum or number % 1:
            raise self.invalid(name, f"a whole number of at least {minimum}")
        return int(number)

    def duration(self, name: str, default: int | None = None, minimum: int = 0) -> int:
        """Return the duration under `name` in ns. The value, `default` and `minimum` are in microseconds."""
        return self.integer(name, default, minimum) * MICROSECOND

    def number(self, name: str, default: float | None = None) -> float:
        """Return the finite number under `name`. Required if there is no default."""
        value = self._get(name, default)
        if isinstance(value, bool) or not is_finite(value):
            raise self.invalid(name, "a number")
        return float(value)

    def boolean(self, name: str) -> bool:
        """Return the boolean under `name`; False if it is missing."""
        value = self._get(name, False)
        if not isinstance(value, bool):
            raise self.invalid(name, "true or false")
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Return the string under `name`. Required if there is no default."""
        value = self._get(name, default)
        if not isinstance(value, str):
            raise self.invalid(name, "a string")
        return value

    def choice(self, name: str, table: Mapping[str, Choice], default: str | None = None) -> Choice:
        """Return the value in `table` for the string under `name`, which must be one of its keys."""
        text = self.text(name, default)
        if text not in table:
            raise self.invalid(name, "one of " + ", ".join(table))
        return table[text]

    def address(self, name: str, default: str | None = None) -> Address:
        """Return the IP address and port under `name`, in the form 127.0.0.1:8081 or [::1]:8081."""
        text = self.text(name, default)
        try:
            return _parse_address(text)
        except ValueError as error:
            raise self.invalid(name, "an IP address and a port, such as 127.0.0.1:8081") from error
