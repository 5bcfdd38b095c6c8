"""Which number each service grade has while grades come, go and change their rules. No I/O.

A number stands for one grade under one set of rules. Submissions keep theirs, so a number whose grade was
dropped or changed keeps its values until the last of them has ended; only then it is given out again.
"""

from collections.abc import Collection, Mapping
from typing import Any

EACH_GRADE = (
    "expected_time",
    "abandon_time",
    "benefit",
    "overdue_benefit",
    "repeat",
    "repeat_group",
    "repeat_window",
    "machine_kind_needed",
    "running_time_stretch",
    "most_hand_offs",
)


class RequestClassTable:
    def __init__(self, grades: list[str]) -> None:
        self.numbers = {grade: number for number, grade in enumerate(grades)}  # those in force
        self.names = list(grades)  # by number, also of those no longer in force

    def follow(
        self, old: Mapping[str, Any], new: Mapping[str, Any], grades: list[str], in_use: Collection[int]
    ) -> tuple[dict[str, Any], dict[int, int]]:
        """New orders in these numbers, and which number takes over the samples of which.

        `new` is numbered as `grades` are; `in_use`: the numbers that open submissions have.
        """
        vacant = [n for n in range(len(self.names)) if n not in in_use and n not in self.numbers.values()]
        numbers: dict[str, int] = {}
        takes_over: dict[int, int] = {}
        for place, grade in enumerate(grades):
            before = self.numbers.get(grade)
            if before is not None and all(old[row][before] == new[row][place] for row in EACH_GRADE):
                numbers[grade] = before
                continue
            if vacant:
                number = vacant.pop()
                self.names[number] = grade
            else:
                number = len(self.names)
                self.names.append(grade)
            numbers[grade] = number
            if before is not None:
                takes_over[number] = before
        orders = dict(new)
        for row in EACH_GRADE:
            values = list(old[row]) + [None] * (len(self.names) - len(old[row]))
            for place, grade in enumerate(grades):
                values[numbers[grade]] = new[row][place]
            orders[row] = values
        self.numbers = numbers
        orders["grades"] = sorted(numbers.values())
        return orders, takes_over
