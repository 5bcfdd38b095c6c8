"""The requests that are open or still have an attempt out, and the ids that must not be used again."""

from collections import deque
from collections.abc import Iterator

from ploverspoke.transport.slot_table import SlotTable

from .requests import Request

MIN_RECENT_IDS = 4096  # remembered, of the latest requests


class RequestTable:
    """Numbers each request, and remembers the ids of the latest ones, ended or not."""

    def __init__(self) -> None:
        """Begin without requests."""
        self.slots: SlotTable[Request] = SlotTable()
        self.body_bytes = 0  # of all requests in the table
        self.recent_ids: set[str] = set()
        self.recent_id_order: deque[str] = deque()

    def __len__(self) -> int:
        """The number of requests in the table."""
        return len(self.slots)

    def __iter__(self) -> Iterator[Request]:
        """All requests in the table; it may change meanwhile."""
        return iter(self.slots)

    def get(self, number: int) -> Request | None:
        """The request with this number, None if it was removed."""
        return self.slots.get(number)

    def add(self, request: Request) -> None:
        """Give the request its number."""
        request.number = self.slots.add(request)
        self.body_bytes += len(request.message.body)
        # A duplicate may arrive just after the answer: the id outlives the request.
        self.recent_ids.add(request.request_id)
        self.recent_id_order.append(request.request_id)
        remembered = len(self.recent_id_order)
        if remembered > MIN_RECENT_IDS and remembered > 2 * len(self.slots):
            self.recent_ids.discard(self.recent_id_order.popleft())

    def remove_if_ended(self, request: Request) -> None:
        """Remove the request once it has no client and no attempt."""
        is_ended = request.client is None and not request.has_active_attempt()
        if is_ended and self.slots.remove(request.number) is not None:
            self.body_bytes -= len(request.message.body)

    def open_count(self) -> int:
        """The number of requests that wait for their answer."""
        return sum(request.client is not None for request in self.slots)

    def class_numbers(self) -> set[int]:
        """The numbers of the request classes that are in use."""
        return {request.class_number for request in self.slots}
