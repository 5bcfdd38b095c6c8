"""The table of numbered slots."""

import random

import pytest

from ploverspoke.transport.slot_table import SlotTable


@pytest.mark.parametrize("seed", range(5))
def test_a_stale_number_finds_no_item(seed: int) -> None:
    random_numbers, table = random.Random(seed), SlotTable[str]()
    present: dict[int, str] = {}
    removed: list[int] = []
    for step in range(500):
        if present and random_numbers.random() < 0.5:
            number = random_numbers.choice(list(present))
            assert table.remove(number) == present.pop(number)
            removed.append(number)
        else:
            number = table.add(str(step))
            assert number not in present and number not in removed
            present[number] = str(step)
        assert all(table.get(number) == item for number, item in present.items())
        assert all(table.get(number) is None and table.remove(number) is None for number in removed[-20:])
        assert len(table) == len(present) and sorted(table) == sorted(present.values())
