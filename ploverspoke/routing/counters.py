"""Counters of requests, attempts and configurations since the start of a dispatcher, all in one place."""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import Enum, auto

from ploverspoke.protocol import admin

from .answers import FinalAnswer


class UnansweredEnd(Enum):
    """How a request ends without an answer from this process; not shown to operators."""

    CLIENT_DISCONNECTED = auto()
    LEFT_TO_LEADER = auto()  # another replica of the store answers it


RequestEnd = FinalAnswer | UnansweredEnd

# The names of final answers that operators see, and the order in which they are shown.
STATUS_NAMES = {
    FinalAnswer.SUCCEEDED: "fulfilled",
    FinalAnswer.REJECTED: "throttled",
    FinalAnswer.FAILED: "faulted",
    FinalAnswer.INVALID_REQUEST: "faulted",
}
STATUSES = ("fulfilled", "throttled", "faulted")
ATTEMPTS_STATUS = "relayed"


class Counters:
    """Counts by name of the request class; a class that was removed from the settings keeps its counts."""

    def __init__(self) -> None:
        """Start with all counts at 0."""
        self.admitted = 0  # requests, including those that were rejected at once
        self.ends: dict[str, Counter[RequestEnd]] = {}
        self.attempts: Counter[str] = Counter()  # attempts that were written completely, by class
        self.configs_accepted = 0
        self.configs_invalid = 0

    def register_classes(self, class_names: Iterable[str]) -> None:
        """Include these classes in the counters from now on, even while their counts are 0."""
        for class_name in class_names:
            self.ends.setdefault(class_name, Counter())

    def count_admitted(self) -> None:
        """Count a request that was admitted."""
        self.admitted += 1

    def count_end(self, class_name: str, end: RequestEnd) -> None:
        """Count the one end of an admitted request."""
        self.ends.setdefault(class_name, Counter())[end] += 1

    def count_rejected(self, class_name: str) -> None:
        """Count a request that was rejected because there is no capacity for it."""
        self.count_admitted()
        self.count_end(class_name, FinalAnswer.REJECTED)

    def count_attempt(self, class_name: str) -> None:
        """Count an attempt that was written completely."""
        self.attempts[class_name] += 1

    def total_ended(self) -> int:
        """The requests that have ended, in all classes."""
        return sum(sum(ends.values()) for ends in self.ends.values())

    def operations(self) -> Iterator[str]:
        """Yield the lines that operators fetch, four for each request class."""
        for class_name, ends in self.ends.items():
            counts = Counter[str]()
            for end, count in ends.items():
                if isinstance(end, FinalAnswer):
                    counts[STATUS_NAMES[end]] += count
            for status in STATUSES:
                yield admin.operations_line(class_name, status, counts[status])
            yield admin.operations_line(class_name, ATTEMPTS_STATUS, self.attempts[class_name])
