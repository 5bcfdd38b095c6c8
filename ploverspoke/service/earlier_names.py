"""Attributes that other packages still call by an earlier name. To go with the last of these calls."""

from typing import Any


class EarlierName:
    """Passes an attribute on to the one that has taken its place."""

    def __init__(self, name: str) -> None:
        """`name`: the attribute's name now."""
        self.name = name

    def __get__(self, instance: Any, owner: type | None = None) -> Any:
        """Return the value of the attribute."""
        return getattr(instance, self.name)

    def __set__(self, instance: Any, value: Any) -> None:
        """Set the attribute."""
        setattr(instance, self.name, value)
