"""The check that a run fits on the machine."""

import pytest

from ploverspoke.testbed.processes.capacity_check import (
    MEBIBYTE,
    CapacityError,
    ResourceDemand,
    check_capacity,
)


def test_demand_beyond_the_machine_is_rejected_by_its_name() -> None:
    demands = [
        ResourceDemand("dispatchers", 250, 40 * MEBIBYTE, 100),
        ResourceDemand("workers", 1, MEBIBYTE, 20_001),
    ]
    with pytest.raises(CapacityError, match="workers: 20001 descriptors in one process, 20000"):
        check_capacity(demands, 24 << 30, 20_000)
    with pytest.raises(CapacityError, match=r"10001 MiB wanted .250 dispatchers of 40 MiB"):
        check_capacity(demands, 4 << 30, 30_000)
    assert check_capacity(demands, 24 << 30, 30_000) == "251 processes, 10001 MiB"
