"""Who waits for which lease, in the order in which they are granted one. No I/O; times are nanoseconds."""

from collections.abc import Collection

from ploverspoke.transport.units import LONG_AGO

SILENCE_LIMIT = 0.6  # of a duration: who has sent no request for so long is passed over


class WaitingHolder:
    """A holder that wants a lease and does not have it."""

    def __init__(self, holder: str, duration: int, waiting_since: int, requested_at: int) -> None:
        """`waiting_since` gives its place in the queue, `requested_at` when its last request came."""
        self.holder = holder
        self.duration = duration
        self.waiting_since = waiting_since
        self.requested_at = requested_at

    def is_silent(self, now: int) -> bool:
        """Return whether it has sent no request for so long that it may be dead."""
        return now - self.requested_at > self.duration * SILENCE_LIMIT


class WaitingQueues:
    """The queues of all leases, by name; there is none for a lease that nobody waits for."""

    def __init__(self) -> None:
        """Begin without anybody that waits."""
        self.by_name: dict[str, list[WaitingHolder]] = {}

    def names(self) -> list[str]:
        """Return the leases that somebody waits for."""
        return list(self.by_name)

    def holders(self, name: str) -> list[str]:
        """Return who waits for a lease, the next one first."""
        return [waiting.holder for waiting in self.by_name.get(name, ())]

    def total(self) -> int:
        """Return how many wait, each counted once for each lease."""
        return sum(len(queue) for queue in self.by_name.values())

    def clear(self) -> None:
        """Forget everybody."""
        self.by_name.clear()

    def add(self, name: str, waiting: WaitingHolder) -> None:
        """Add a holder, or note a further request of one that waits."""
        queue = self.by_name.setdefault(name, [])
        known = next((other for other in queue if other.holder == waiting.holder), None)
        if known is not None:
            known.requested_at, known.duration = waiting.requested_at, waiting.duration
            return
        # In the order in which they began to wait, also where another lease server led by then.
        later = (i for i, other in enumerate(queue) if other.waiting_since > waiting.waiting_since)
        queue.insert(next(later, len(queue)), waiting)

    def remove(self, name: str, holder: str) -> None:
        """Forget that a holder waits for a lease; nothing happens where it does not."""
        remaining = [waiting for waiting in self.by_name.get(name, ()) if waiting.holder != holder]
        if remaining:
            self.by_name[name] = remaining
        else:
            self.by_name.pop(name, None)

    def remove_from_all(self, holder: str, keep: Collection[str] = ()) -> None:
        """Forget that a holder waits, but for the leases in `keep`."""
        for name in self.names():
            if name not in keep:
                self.remove(name, holder)

    def move_to_front(self, name: str, holder: str) -> None:
        """Let a holder go before all others that wait for a lease, where it waits."""
        queue = self.by_name.get(name, [])
        for waiting in queue:
            if waiting.holder == holder:
                waiting.waiting_since = LONG_AGO
        queue.sort(key=lambda waiting: waiting.waiting_since)

    def next_waiting(self, name: str, exclude: Collection[str], now: int) -> WaitingHolder | None:
        """Return the first holder that is not in `exclude`; silent ones before it are forgotten."""
        for waiting in list(self.by_name.get(name, ())):
            if waiting.holder in exclude:
                continue
            if not waiting.is_silent(now):
                return waiting
            self.remove(name, waiting.holder)  # its next request gives how long it has waited
        return None
