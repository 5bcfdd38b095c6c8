"""A JSON object that records which of its keys were read, to find keys that the program does not use."""

from collections.abc import Iterator, Mapping

from .config_reader import JsonDocument, JsonObject

# The endpoint list has the format of discovery; its keys are not tracked.
UNTRACKED_PATH = "known"


class TrackedObject(Mapping[str, JsonDocument]):
    """A read-only view of a JSON object. Nested objects, also those in lists, are tracked as well."""

    def __init__(self, value: JsonObject, prefix: str = "") -> None:
        """Wrap `value`; `prefix` precedes its keys in paths and is empty or ends with a dot."""
        self.value = {
            key: child if f"{prefix}{key}" == UNTRACKED_PATH else _track(child, f"{prefix}{key}")
            for key, child in value.items()
        }
        self.prefix = prefix
        self.keys_read: set[str] = set()

    def __getitem__(self, key: str) -> JsonDocument:
        """Return the value and record that its key was read."""
        self.keys_read.add(key)
        return self.value[key]

    def __contains__(self, key: object) -> bool:
        """Whether the key exists; this does not count as reading it."""
        return key in self.value

    def __iter__(self) -> Iterator[str]:
        """Iterate over the keys."""
        return iter(self.value)

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self.value)

    def unread_keys(self) -> list[str]:
        """Return the paths of the keys that were never read, also those of nested objects that were read."""
        unread = [f"{self.prefix}{key}" for key in self.value if key not in self.keys_read]
        for key in self.keys_read & set(self.value):
            value = self.value[key]
            for child in value if isinstance(value, list) else [value]:
                if isinstance(child, TrackedObject):
                    unread += child.unread_keys()
        return unread


def _track(value: JsonDocument, path: str) -> JsonDocument:
    if isinstance(value, Mapping):
        return TrackedObject(value, f"{path}.")
    if isinstance(value, list):
        return [_track(child, f"{path}[{index}]") for index, child in enumerate(value)]
    return value
