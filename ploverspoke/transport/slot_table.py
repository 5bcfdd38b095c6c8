"""Tables of numbered slots. A number names one tenant of a slot: once that has left, the number is stale."""

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")

SLOT_BITS = 20


class SlotTable(Generic[T]):
    def __init__(self) -> None:
        self.items: list[T | None] = []
        self.numbers: list[int] = []  # of the tenant that has a slot, or had it last
        self.vacant: list[int] = []

    def add(self, item: T) -> int:
        """Seat the item; its number is never given to another."""
        if self.vacant:
            slot = self.vacant.pop()
            self.numbers[slot] += 1 << SLOT_BITS
        else:
            slot = len(self.items)
            if slot >> SLOT_BITS:
                raise OverflowError("no slot left")
            self.items.append(None)
            self.numbers.append(slot + (1 << SLOT_BITS))
        self.items[slot] = item
        return self.numbers[slot]

    def get(self, number: int) -> T | None:
        """The item, or None where the number is stale."""
        slot = number & ((1 << SLOT_BITS) - 1)
        if slot >= len(self.items) or self.numbers[slot] != number:
            return None
        return self.items[slot]

    def remove(self, number: int) -> T | None:
        item = self.get(number)
        if item is not None:
            slot = number & ((1 << SLOT_BITS) - 1)
            self.items[slot] = None
            self.vacant.append(slot)
        return item

    def __len__(self) -> int:
        return len(self.items) - len(self.vacant)

    def __iter__(self) -> Iterator[T]:
        return iter([item for item in self.items if item is not None])
