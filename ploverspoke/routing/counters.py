"""What a dispatcher has done since its start, counted in this one place."""

from collections import Counter
from collections.abc import Iterable, Iterator

from ploverspoke.protocol import admin

# How a submission can end, and what the operators' page calls that. Who left got no answer and is not shown.
SHOWN_AS = {"satisfied": "fulfilled", "nacked": "throttled", "abandoned": "faulted", "rejected": "faulted"}
STATUSES = ("fulfilled", "throttled", "faulted")
LEFT, DROPPED = "left", "dropped"  # the client left; its answer is another replica's to give


class Counters:
    """Counts by the name of the service grade: a grade that was dropped keeps its own."""

    def __init__(self) -> None:
        self.taken = 0
        self.ends: dict[str, Counter[str]] = {}
        self.written: Counter[str] = Counter()  # attempts that a worker's connection took whole
        self.accepted = 0  # configurations
        self.invalid = 0

    def name(self, grades: Iterable[str]) -> None:
        """These are shown from now on, be it with 0."""
        for grade in grades:
            self.ends.setdefault(grade, Counter())

    def took(self) -> None:
        self.taken += 1

    def ended(self, grade: str, how: str) -> None:
        self.ends.setdefault(grade, Counter())[how] += 1

    def turned_away(self, grade: str) -> None:
        """Nacked at the door."""
        self.took()
        self.ended(grade, "nacked")

    def wrote(self, grade: str) -> None:
        self.written[grade] += 1

    def ended_in_all(self) -> int:
        return sum(sum(ends.values()) for ends in self.ends.values())

    def operations(self) -> Iterator[str]:
        for grade, ends in self.ends.items():
            shown = Counter[str]()
            for how, count in ends.items():
                if how in SHOWN_AS:
                    shown[SHOWN_AS[how]] += count
            for status in STATUSES:
                yield admin.operations_line(grade, status, shown[status])
            yield admin.operations_line(grade, "relayed", self.written[grade])
