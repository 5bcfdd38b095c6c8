"""What is read at start, key by key: a fault names the key, a missing value gets its default."""

from collections.abc import Mapping
from typing import Any, TypeVar

from ploverspoke.protocol.json_values import is_finite
from ploverspoke.transport.units import MICROSECOND

Choice = TypeVar("Choice")


class ConfigError(ValueError):
    """A value is missing or is not what it should be; says at which key."""


def first_missing_key(before: Any, now: Any, path: str = "") -> str | None:
    """The key that the one has and the other lacks; of objects in a list, what all of them had."""
    if isinstance(before, Mapping) and isinstance(now, Mapping):
        for key, value in before.items():
            at = f"{path}.{key}" if path else key
            found = at if key not in now else first_missing_key(value, now[key], at)
            if found is not None:
                return found
    if isinstance(before, list) and isinstance(now, list) and before:
        shapes = [value for value in before if isinstance(value, Mapping)]
        common = dict.fromkeys(k for k in shapes[0] if all(k in s for s in shapes)) if shapes else {}
        for at, value in enumerate(now):
            found = first_missing_key(common, value, f"{path}[{at}]") if isinstance(value, Mapping) else None
            if found is not None:
                return found
    return None


class ConfigSection:
    """One object of the configuration, and the way to it."""

    def __init__(self, value: Any, path: str = "") -> None:
        if not isinstance(value, Mapping):
            raise ConfigError(f"{path or 'the whole'}: expected an object")
        self.value = value
        self.path = path

    def key(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def bad(self, name: str, expected: str) -> ConfigError:
        found = "is missing" if name not in self.value else f"is {self.value[name]!r}"
        return ConfigError(f"{self.key(name)} {found}: expected {expected}"[:300])

    def _get(self, name: str, default: Any) -> Any:
        found = self.value.get(name)
        return default if found is None else found

    def part(self, name: str) -> "ConfigSection":
        """An object that may be left out."""
        return ConfigSection(self._get(name, {}), self.key(name))

    def parts(self, name: str, least: int = 0) -> list["ConfigSection"]:
        found = self._get(name, [])
        if not isinstance(found, list) or len(found) < least:
            raise self.bad(name, f"a list of {least} objects or more")
        return [ConfigSection(value, f"{self.key(name)}[{at}]") for at, value in enumerate(found)]

    def row(self, name: str, default: list[Any], kinds: type | tuple[type, ...]) -> list[Any]:
        found = self._get(name, default)
        if not isinstance(found, list) or not all(isinstance(value, kinds) for value in found):
            raise self.bad(name, "a list of values of one kind")
        return list(found)

    def row_for_each(self, name: str, default: float, count: int) -> list[Any]:
        found = self.row(name, [default] * count, (int, float)) or [default] * count
        if len(found) != count:
            raise self.bad(name, f"{count} numbers, one for each service grade")
        return found

    def whole(self, name: str, default: int | None = None, least: int = 0) -> int:
        found = self.number(name, default)
        if found < least or found % 1:
            raise self.bad(name, f"a whole number of {least} or more")
        return int(found)

    def time(self, name: str, default: int | None = None, least: int = 0) -> int:
        """In nanoseconds, of a value in microseconds."""
        return self.whole(name, default, least) * MICROSECOND

    def number(self, name: str, default: float | None = None) -> float:
        found = self._get(name, default)
        if isinstance(found, bool) or not is_finite(found):
            raise self.bad(name, "a number")
        return float(found)

    def flag(self, name: str) -> bool:
        found = self._get(name, False)
        if not isinstance(found, bool):
            raise self.bad(name, "true or false")
        return found

    def text(self, name: str, default: str | None = None) -> str:
        found = self._get(name, default)
        if not isinstance(found, str):
            raise self.bad(name, "a text")
        return found

    def word(self, name: str, table: Mapping[str, Choice], default: str | None = None) -> Choice:
        found = self.text(name, default)
        if found not in table:
            raise self.bad(name, "one of " + ", ".join(table))
        return table[found]
