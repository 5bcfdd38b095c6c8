"""The number of each request class, while classes are added, dropped and changed. No I/O.

A number stands for one class under one set of rules. Open requests keep theirs, so a number whose class was
dropped or changed keeps its rules until the last of them has ended; only then it is given out again.
"""

from collections.abc import Collection, Sequence
from dataclasses import replace
from typing import NamedTuple

from ploverspoke.decisions.settings import RequestClass, Settings


class NumberedSettings(NamedTuple):
    """Settings whose request classes stand at the numbers of the table."""

    settings: Settings
    predecessors: dict[int, int]  # by new number, the number whose running times the class takes along


class RequestClassTable:
    """The numbers of the active request classes, and the names of all that a number was given to."""

    def __init__(self, class_names: Sequence[str]) -> None:
        """Number the classes in their order."""
        self.numbers = {name: number for number, name in enumerate(class_names)}  # of active classes
        self.names = list(class_names)  # by number, also of classes that are no longer active

    def apply(
        self, old: Settings, new: Settings, class_names: Sequence[str], in_use: Collection[int]
    ) -> NumberedSettings:
        """Number the classes of new settings; one whose rules are the same keeps its number.

        `new` has its classes in the order of `class_names`; `in_use` has the numbers of open requests.
        """
        free_numbers = self._free_numbers(in_use)
        numbers: dict[str, int] = {}
        predecessors: dict[int, int] = {}
        for name, request_class in zip(class_names, new.classes, strict=True):
            before = self.numbers.get(name)
            if before is not None and old.classes[before] == request_class:
                numbers[name] = before
                continue
            numbers[name] = self._assign_number(name, free_numbers)
            if before is not None:
                predecessors[numbers[name]] = before
        self.numbers = numbers
        classes = self._classes_by_number(old, new)
        active = tuple(sorted(numbers.values()))
        return NumberedSettings(replace(new, classes=classes, active_classes=active), predecessors)

    def _free_numbers(self, in_use: Collection[int]) -> list[int]:
        """The numbers that neither an active class nor an open request has."""
        active = self.numbers.values()
        return [number for number in range(len(self.names)) if number not in in_use and number not in active]

    def _assign_number(self, name: str, free_numbers: list[int]) -> int:
        """A free number for the class, or else a new one."""
        if free_numbers:
            number = free_numbers.pop()
            self.names[number] = name
        else:
            number = len(self.names)
            self.names.append(name)
        return number

    def _classes_by_number(self, old: Settings, new: Settings) -> tuple[RequestClass, ...]:
        """The rules at each number: new ones where the class is active, else those that were there."""
        classes = list(old.classes) + [new.classes[0]] * (len(self.names) - len(old.classes))
        for request_class, number in zip(new.classes, self.numbers.values(), strict=True):
            classes[number] = request_class
        return tuple(classes)
