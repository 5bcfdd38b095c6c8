"""Which number each service grade has while grades come, go and change their rules. No I/O.

A number stands for one grade under one set of rules. Submissions keep theirs, so a number whose grade was
dropped or changed keeps its values until the last of them has ended; only then it is given out again.
"""

from collections.abc import Collection, Sequence
from dataclasses import replace

from ploverspoke.decisions.settings import Settings


class RequestClassTable:
    def __init__(self, grades: Sequence[str]) -> None:
        self.numbers = {grade: number for number, grade in enumerate(grades)}  # those in force
        self.names = list(grades)  # by number, also of those no longer in force

    def follow(
        self, old: Settings, new: Settings, grades: Sequence[str], in_use: Collection[int]
    ) -> tuple[Settings, dict[int, int]]:
        """New orders in these numbers, and which number takes over the samples of which.

        `new` is numbered as `grades` are; `in_use`: the numbers that open submissions have.
        """
        vacant = [n for n in range(len(self.names)) if n not in in_use and n not in self.numbers.values()]
        numbers: dict[str, int] = {}
        takes_over: dict[int, int] = {}
        for place, grade in enumerate(grades):
            before = self.numbers.get(grade)
            if before is not None and old.classes[before] == new.classes[place]:
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
        classes = list(old.classes) + [new.classes[0]] * (len(self.names) - len(old.classes))
        for place, grade in enumerate(grades):
            classes[numbers[grade]] = new.classes[place]
        self.numbers = numbers
        active = tuple(sorted(numbers.values()))
        return replace(new, classes=tuple(classes), active_classes=active), takes_over
