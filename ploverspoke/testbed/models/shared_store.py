"""The store that all workers share: a limited number of concurrent fetches, the others wait in a queue."""

from collections import deque
from collections.abc import Callable

from ..experiment_files.tables import StoreOptions
from .random_streams import RandomStreams
from .virtual_clock import Clock

SAMPLE_BLOCK = 4096  # fetch times drawn at once


class Fetch:
    """One fetch, and the call that gets its result."""

    __slots__ = ("is_cancelled", "on_fetched")

    def __init__(self, on_fetched: Callable[[], None]) -> None:
        """Call `on_fetched` at the end."""
        self.on_fetched = on_fetched
        self.is_cancelled = False

    def cancel(self) -> None:
        """Do not make the call; a fetch that has begun is finished all the same."""
        self.is_cancelled = True


class SharedStore:
    """Fetches data for workers, each after a time from the store's distribution."""

    def __init__(self, options: StoreOptions, clock: Clock, streams: RandomStreams) -> None:
        """Draw fetch times from the stream "store"."""
        self.options = options
        self.clock = clock
        self.slowdowns: dict[int, float] = {}  # fault number -> factor
        self._generator = streams.generator("store")
        self._fetch_times: list[float] = []
        self._active_count = 0
        self._queue: deque[Fetch] = deque()

    def fetch(self, on_fetched: Callable[[], None]) -> Fetch:
        """Fetch now or when a slot is free, then call `on_fetched`."""
        fetch = Fetch(on_fetched)
        if self._active_count < self.options.max_concurrent:
            self._start(fetch)
        else:
            self._queue.append(fetch)
        return fetch

    def _start(self, fetch: Fetch) -> None:
        self._active_count += 1
        if not self._fetch_times:
            self._fetch_times = self.options.fetch_time.sample(self._generator, SAMPLE_BLOCK).tolist()
        duration = self._fetch_times.pop()
        for factor in self.slowdowns.values():
            duration *= factor
        self.clock.call_at(self.clock.now() + int(duration), self._finish, fetch)

    def _finish(self, fetch: Fetch) -> None:
        self._active_count -= 1
        while self._queue and self._active_count < self.options.max_concurrent:
            next_fetch = self._queue.popleft()
            if not next_fetch.is_cancelled:
                self._start(next_fetch)
        if not fetch.is_cancelled:
            fetch.on_fetched()
