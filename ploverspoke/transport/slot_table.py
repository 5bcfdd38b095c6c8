"""A table of numbered items; each number is unique to one item and becomes stale when the item is removed."""

from collections.abc import Iterator
from typing import Generic, TypeVar

from .errors import SlotTableFullError

Item = TypeVar("Item")

SLOT_BITS = 20  # the low bits of a number are the slot; the high bits count the items that the slot has held
SLOT_MASK = (1 << SLOT_BITS) - 1


class SlotTable(Generic[Item]):
    """Stores items by number; slots are reused, numbers are not."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.items: list[Item | None] = []
        self.numbers: list[int] = []  # number of the item that each slot holds, or held last
        self.vacant: list[int] = []  # slots without an item

    def add(self, item: Item) -> int:
        """Store the item and return its number. Raises SlotTableFullError."""
        if self.vacant:
            slot = self.vacant.pop()
            self.numbers[slot] += 1 << SLOT_BITS
        else:
            slot = len(self.items)
            if slot >> SLOT_BITS:
                raise SlotTableFullError(1 << SLOT_BITS)
            self.items.append(None)
            self.numbers.append(slot + (1 << SLOT_BITS))
        self.items[slot] = item
        return self.numbers[slot]

    def get(self, number: int) -> Item | None:
        """Return the item, or None if the number is stale."""
        slot = number & SLOT_MASK
        if slot >= len(self.items) or self.numbers[slot] != number:
            return None
        return self.items[slot]

    def remove(self, number: int) -> Item | None:
        """Remove and return the item; returns None if the number is stale."""
        item = self.get(number)
        if item is not None:
            slot = number & SLOT_MASK
            self.items[slot] = None
            self.vacant.append(slot)
        return item

    def __len__(self) -> int:
        """The number of items."""
        return len(self.items) - len(self.vacant)

    def __iter__(self) -> Iterator[Item]:
        """Iterate over a copy, so that items may be removed during the iteration."""
        return iter([item for item in self.items if item is not None])
