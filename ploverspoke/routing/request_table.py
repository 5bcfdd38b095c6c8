"""Requests that are open or still have an active attempt."""

from collections.abc import Iterator

from ploverspoke.transport.memory_account import MemoryAccount, MemoryKind
from ploverspoke.transport.slot_table import SlotTable

from .requests import Request

REQUEST_BYTES = 4 * 1024  # of the objects of a request here and in the decision logic, without its message


class RequestTable:
    """Numbers each request."""

    def __init__(self, memory: MemoryAccount | None = None) -> None:
        """Create an empty table, whose requests are counted in `memory`."""
        self.memory = memory or MemoryAccount()
        self.slots: SlotTable[Request] = SlotTable()

    def __len__(self) -> int:
        """The number of requests in the table."""
        return len(self.slots)

    def __iter__(self) -> Iterator[Request]:
        """Iterate over all requests; the table may change during the iteration."""
        return iter(self.slots)

    def get(self, number: int) -> Request | None:
        """The request with this number, None if it was removed."""
        return self.slots.get(number)

    def add(self, request: Request) -> None:
        """Give the request its number."""
        request.number = self.slots.add(request)
        self.memory.add(MemoryKind.OPEN_REQUESTS, _cost(request))

    def remove_if_ended(self, request: Request) -> None:
        """Remove the request once it has no client and no attempt."""
        is_ended = request.client is None and not request.has_active_attempt()
        if is_ended and self.slots.remove(request.number) is not None:
            self.memory.add(MemoryKind.OPEN_REQUESTS, -_cost(request))

    def open_count(self) -> int:
        """The number of requests that wait for their answer."""
        return sum(request.client is not None for request in self.slots)

    def class_numbers(self) -> set[int]:
        """The numbers of the request classes that are in use."""
        return {request.class_number for request in self.slots}


def _cost(request: Request) -> int:
    """The bytes that an admitted request costs in memory."""
    return REQUEST_BYTES + request.message.cost
