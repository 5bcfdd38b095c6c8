"""Numbers the request classes while classes are added, removed and changed. Does no I/O.

A number stands for one class with one set of rules. Open requests keep their number, so the number of a
class that was removed or changed keeps its rules until the last of these requests has ended; only then is it
reused.
"""

from collections.abc import Collection, Sequence
from dataclasses import replace
from typing import NamedTuple

from ploverspoke.decisions.settings import RequestClass, Settings


class NumberedSettings(NamedTuple):
    """Settings in which the request classes are indexed by their numbers."""

    settings: Settings
    predecessors: dict[int, int]  # by new number: the old number whose running times the class takes over


class RequestClassTable:
    """The numbers of the active request classes, and the class name of every number in the table."""

    def __init__(self, class_names: Sequence[str]) -> None:
        """Number the classes in the given order."""
        self.numbers = {name: number for number, name in enumerate(class_names)}  # of active classes
        self.names = list(class_names)  # by number, also of classes that are no longer active

    def apply(
        self, old: Settings, new: Settings, class_names: Sequence[str], numbers_in_use: Collection[int]
    ) -> NumberedSettings:
        """Number the classes of new settings; a class with unchanged rules keeps its number.

        The classes of `new` are in the order of `class_names`. `numbers_in_use` are the class numbers of open
        requests.
        """
        free_numbers = self._free_numbers(numbers_in_use)
        numbers: dict[str, int] = {}
        predecessors: dict[int, int] = {}
        for name, request_class in zip(class_names, new.classes, strict=True):
            old_number = self.numbers.get(name)
            if old_number is not None and old.classes[old_number] == request_class:
                numbers[name] = old_number
                continue
            numbers[name] = self._assign_number(name, free_numbers)
            if old_number is not None:
                predecessors[numbers[name]] = old_number
        self.numbers = numbers
        classes = self._classes_by_number(old, new)
        active = tuple(sorted(numbers.values()))
        return NumberedSettings(replace(new, classes=classes, active_classes=active), predecessors)

    def _free_numbers(self, numbers_in_use: Collection[int]) -> list[int]:
        """The numbers that neither an active class nor an open request uses."""
        active = self.numbers.values()
        return [
            number
            for number in range(len(self.names))
            if number not in numbers_in_use and number not in active
        ]

    def _assign_number(self, name: str, free_numbers: list[int]) -> int:
        """Assign a free number to the class, or a new one if none is free."""
        if free_numbers:
            number = free_numbers.pop()
            self.names[number] = name
        else:
            number = len(self.names)
            self.names.append(name)
        return number

    def _classes_by_number(self, old: Settings, new: Settings) -> tuple[RequestClass, ...]:
        """The rules by class number: the new ones for active classes, the previous ones for other numbers."""
        classes = list(old.classes) + [new.classes[0]] * (len(self.names) - len(old.classes))
        for request_class, number in zip(new.classes, self.numbers.values(), strict=True):
            classes[number] = request_class
        return tuple(classes)
