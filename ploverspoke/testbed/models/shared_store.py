"""The store that all workers share; it limits concurrent fetches and queues the others."""

from collections import deque
from collections.abc import Callable

from ..experiment_files.tables import StoreOptions
from .random_streams import RandomStreams
from .virtual_clock import Clock

SAMPLE_BLOCK_SIZE = 4096  # fetch times drawn at once


class Fetch:
    """One fetch, and the function to call when it has finished."""

    __slots__ = ("is_cancelled", "on_fetched")

    def __init__(self, on_fetched: Callable[[], None]) -> None:
        """Call `on_fetched` when the fetch has finished."""
        self.on_fetched = on_fetched
        self.is_cancelled = False

    def cancel(self) -> None:
        """Do not call `on_fetched`; a fetch that has started still runs to its end."""
        self.is_cancelled = True


class SharedStore:
    """Fetches data for workers; each fetch takes a time drawn from the store's distribution."""

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
        """Fetch now, or when few enough fetches are active, then call `on_fetched`."""
        fetch = Fetch(on_fetched)
        if self._active_count < self.options.max_concurrent:
            self._start(fetch)
        else:
            self._queue.append(fetch)
        return fetch

    def _start(self, fetch: Fetch) -> None:
        self._active_count += 1
        if not self._fetch_times:
            self._fetch_times = self.options.fetch_time.sample(self._generator, SAMPLE_BLOCK_SIZE).tolist()
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
