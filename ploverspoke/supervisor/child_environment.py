"""The environment variables that the supervisor passes to a child process."""

from collections.abc import Mapping
from dataclasses import dataclass

CHILD_VARIABLE = "PLOVERSPOKE_CHILD"


@dataclass(frozen=True)
class ChildEnvironment:
    """One child's index among `count` children and the listening socket that it inherits."""

    index: int  # 0 to count - 1
    count: int
    socket_descriptor: int

    def to_environment(self) -> dict[str, str]:
        """Return the variable to add to the child's environment."""
        return {CHILD_VARIABLE: f"{self.index},{self.count},{self.socket_descriptor}"}

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> "ChildEnvironment":
        """Parse the variable of `to_environment`. Raises KeyError if it is missing, ValueError if invalid."""
        index, count, socket_descriptor = map(int, environment[CHILD_VARIABLE].split(","))
        return cls(index, count, socket_descriptor)
