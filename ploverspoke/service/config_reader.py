"""Reads a JSON document key by key; every error names the key at fault.

`ConfigSection` wraps one JSON object together with its path in the document. Its methods check the type and
the range of one value and give the default where the value is missing or null.
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

LAST_PORT = 65535
MAX_MESSAGE_LENGTH = 300  # characters of an error that quotes a value: the value may be of any length


class ConfigError(ValueError):
    """The configuration cannot be used. `str(error)` is the one sentence that is printed.

    Attributes:
        key: The path of the key at fault, as `limits.sockets`; empty where no single key is.
        problem: What is wrong with it.
    """

    separator = ": "  # between the key and the problem

    def __init__(self, problem: str, *, key: str = "", longest: int | None = None) -> None:
        """Build the sentence of both, cut to `longest` characters where that is given."""
        super().__init__((f"{key}{self.separator}{problem}" if key else problem)[:longest])
        self.key = key
        self.problem = problem


class InvalidValueError(ConfigError):
    """The value of one key is missing or wrong; the problem continues the key as a sentence: "KEY is 3"."""

    separator = " "


def first_missing_key(before: JsonDocument, now: JsonDocument, path: str = "") -> str | None:
    """Return the path of the first key that `before` has and `now` lacks, or None.

    Of a list, an object in `now` must have the keys that all objects of that list in `before` share.
    """
    if isinstance(before, Mapping) and isinstance(now, Mapping):
        return _first_missing_in_object(before, now, path)
    if isinstance(before, list) and isinstance(now, list):
        return _first_missing_in_list(before, now, path)
    return None


def _first_missing_in_object(before: JsonObject, now: JsonObject, path: str) -> str | None:
    for key, value in before.items():
        key_path = f"{path}.{key}" if path else key
        if key not in now:
            return key_path
        missing = first_missing_key(value, now[key], key_path)
        if missing is not None:
            return missing
    return None


def _first_missing_in_list(before: list[JsonDocument], now: list[JsonDocument], path: str) -> str | None:
    objects = [value for value in before if isinstance(value, Mapping)]
    if not objects:
        return None
    # Keys alone: objects of a list may differ in the keys below them.
    shared = dict.fromkeys(key for key in objects[0] if all(key in each for each in objects))
    for index, value in enumerate(now):
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
        """Return the form that log lines have."""
        return f"{self.host}:{self.port}"


def _parse_address(text: str) -> Address:
    """Raises ValueError where the text is no IP address and port from 1 to 65535."""
    bracketed_host, _, digits = text.rpartition(":")
    host, port = bracketed_host.strip("[]"), int(digits)
    ipaddress.ip_address(host)
    if not 0 < port <= LAST_PORT:
        raise ValueError(port)
    return Address(host, port)


class ConfigSection:
    """One object of the configuration and its path. Every method raises ConfigError, naming the key.

    Attributes:
        value: The raw JSON object.
        path: Its path in the document, as `limits`; empty for the whole document.
    """

    def __init__(self, value: JsonDocument, path: str = "") -> None:
        """Wrap `value`. Raises ConfigError where it is not an object."""
        if not isinstance(value, Mapping):
            raise ConfigError(key=path or "the whole", problem="expected an object")
        self.value: JsonObject = value
        self.path = path

    def key_path(self, name: str) -> str:
        """Return the path of the key `name` of this section."""
        return f"{self.path}.{name}" if self.path else name

    def invalid(self, name: str, expected: str) -> ConfigError:
        """Return (not raise) the error for the key `name`; `expected` says what the value should be."""
        found = "is missing" if name not in self.value else f"is {self.value[name]!r}"
        return InvalidValueError(
            key=self.key_path(name), problem=f"{found}: expected {expected}", longest=MAX_MESSAGE_LENGTH
        )

    def _get(self, name: str, default: JsonDocument) -> JsonDocument:
        found = self.value.get(name)
        return default if found is None else found

    def section(self, name: str) -> "ConfigSection":
        """Return the object under `name`; an empty section where it is missing."""
        return ConfigSection(self._get(name, {}), self.key_path(name))

    def sections(self, name: str, least: int = 0) -> list["ConfigSection"]:
        """Return the objects of the list under `name`, of which there must be `least`."""
        found = self._get(name, [])
        if not isinstance(found, list) or len(found) < least:
            raise self.invalid(name, f"a list of {least} objects or more")
        return [ConfigSection(value, f"{self.key_path(name)}[{index}]") for index, value in enumerate(found)]

    def values(
        self, name: str, default: list[Value], kinds: type[Value] | tuple[type[Value], ...]
    ) -> list[Value]:
        """Return a copy of the list under `name`, each of whose values is of one of `kinds`."""
        found = self._get(name, default)
        if not isinstance(found, list) or not all(isinstance(value, kinds) for value in found):
            raise self.invalid(name, "a list of values of one kind")
        return list(found)

    def values_per_class(self, name: str, default: float, count: int) -> list[float]:
        """Return the list of `count` numbers under `name`, one for each request class.

        A missing or empty list is read as `count` times the default.
        """
        found = self.values(name, [default] * count, (int, float)) or [default] * count
        if len(found) != count:
            raise self.invalid(name, f"{count} numbers, one for each service grade")
        return found

    def integer(self, name: str, default: int | None = None, least: int = 0) -> int:
        """Return the integer under `name`, `least` or more. With no default it must be there."""
        found = self.number(name, default)
        if found < least or found % 1:
            raise self.invalid(name, f"a whole number of {least} or more")
        return int(found)

    def duration(self, name: str, default: int | None = None, least: int = 0) -> int:
        """Return the duration under `name` in nanoseconds; file, default and `least` are in microseconds."""
        return self.integer(name, default, least) * MICROSECOND

    def number(self, name: str, default: float | None = None) -> float:
        """Return the finite number under `name`. With no default it must be there."""
        found = self._get(name, default)
        if isinstance(found, bool) or not is_finite(found):
            raise self.invalid(name, "a number")
        return float(found)

    def boolean(self, name: str) -> bool:
        """Return the boolean under `name`; False where it is missing."""
        found = self._get(name, False)
        if not isinstance(found, bool):
            raise self.invalid(name, "true or false")
        return found

    def text(self, name: str, default: str | None = None) -> str:
        """Return the string under `name`. With no default it must be there."""
        found = self._get(name, default)
        if not isinstance(found, str):
            raise self.invalid(name, "a text")
        return found

    def choice(self, name: str, table: Mapping[str, Choice], default: str | None = None) -> Choice:
        """Return what `table` gives for the string under `name`, which must be one of its keys."""
        found = self.text(name, default)
        if found not in table:
            raise self.invalid(name, "one of " + ", ".join(table))
        return table[found]

    def address(self, name: str, default: str | None = None) -> Address:
        """Return the IP address and port under `name`, written as 127.0.0.1:8081 or [::1]:8081."""
        text = self.text(name, default)
        try:
            return _parse_address(text)
        except ValueError as error:
            raise self.invalid(name, "an address and a port, as 127.0.0.1:8081") from error
