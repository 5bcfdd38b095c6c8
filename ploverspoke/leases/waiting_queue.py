"""The holders that wait for each lease, in the order of the next grants. No I/O; times are nanoseconds."""

from collections import defaultdict
from collections.abc import Callable, Collection

from ploverspoke.transport.units import LONG_AGO

# A holder that has sent no request for this fraction of its lease's duration is skipped.
MAX_SILENCE_FRACTION = 0.6


class WaitingHolder:
    """A holder that wants a lease and does not have it."""

    def __init__(self, holder: str, duration: int, waiting_since: int, requested_at: int) -> None:
        """`waiting_since` determines its place in the queue; `requested_at` is when its last request came."""
        self.holder = holder
        self.duration = duration
        self.waiting_since = waiting_since
        self.requested_at = requested_at

    def is_silent(self, now: int) -> bool:
        """Return whether it has sent no request for so long that it may be dead."""
        return now - self.requested_at > self.duration * MAX_SILENCE_FRACTION


class WaitingQueues:
    """The queues of all leases by name; a lease that no holder waits for has none."""

    def __init__(self) -> None:
        """Begin without any waiting holders."""
        self.by_name: dict[str, list[WaitingHolder]] = {}
        self.names_by_holder: defaultdict[str, dict[str, None]] = defaultdict(dict)  # in order of arrival

    def names(self) -> list[str]:
        """Return the names of the leases that holders wait for."""
        return list(self.by_name)

    def holders(self, name: str) -> list[str]:
        """Return the holders that wait for a lease, the next one first."""
        return [waiting.holder for waiting in self.by_name.get(name, ())]

    def total(self) -> int:
        """Return the number of waiting holders, each counted once for each lease."""
        return sum(len(queue) for queue in self.by_name.values())

    def clear(self) -> None:
        """Remove all waiting holders."""
        self.by_name.clear()
        self.names_by_holder.clear()

    def add(self, name: str, waiting: WaitingHolder) -> None:
        """Add a holder, or update the entry of a holder that already waits."""
        queue = self.by_name.setdefault(name, [])
        existing = next((other for other in queue if other.holder == waiting.holder), None)
        if existing is not None:
            existing.requested_at, existing.duration = waiting.requested_at, waiting.duration
            return
        # Ordered by when the holders began to wait, even if another lease server led at that time.
        later = (i for i, other in enumerate(queue) if other.waiting_since > waiting.waiting_since)
        queue.insert(next(later, len(queue)), waiting)
        self.names_by_holder[waiting.holder][name] = None

    def remove(self, name: str, holder: str) -> None:
        """Remove a holder from the queue of a lease, if it waits there."""
        names = self.names_by_holder.get(holder, {})
        if name not in names:
            return
        del names[name]
        if not names:
            del self.names_by_holder[holder]
        remaining = [waiting for waiting in self.by_name[name] if waiting.holder != holder]
        if remaining:
            self.by_name[name] = remaining
        else:
            del self.by_name[name]

    def remove_from_all(self, holder: str, keep: Collection[str] = ()) -> None:
        """Remove a holder from all queues except those of the leases in `keep`."""
        for name in list(self.names_by_holder.get(holder, ())):
            if name not in keep:
                self.remove(name, holder)

    def move_to_front(self, name: str, holder: str) -> None:
        """Move a holder to the front of the queue of a lease, if it waits there."""
        queue = self.by_name.get(name, [])
        for waiting in queue:
            if waiting.holder == holder:
                waiting.waiting_since = LONG_AGO
        queue.sort(key=lambda waiting: waiting.waiting_since)

    def next_waiting(
        self, name: str, exclude: Collection[str], has_room: Callable[[str], bool], now: int
    ) -> WaitingHolder | None:
        """Return the first holder that is not in `exclude` and has room for one more lease.

        Silent holders before it are removed.
        """
        for waiting in list(self.by_name.get(name, ())):
            if waiting.holder in exclude or not has_room(waiting.holder):
                continue
            if not waiting.is_silent(now):
                return waiting
            # Its next request adds it again, and says how long it has waited.
            self.remove(name, waiting.holder)
        return None
