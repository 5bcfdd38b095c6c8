"""The store that all workers share: so many fetches at once, the others wait; a jam makes each take
longer.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

from ..experiment_files.tables import StoreOptions
from .random_streams import RandomStreams
from .virtual_clock import Clock

DRAWN = 4096


class Fetch:
    __slots__ = ("done", "off", "what")

    def __init__(self, done: Callable[..., None], what: Any) -> None:
        self.done = done
        self.what = what
        self.off = False


class SharedStore:
    def __init__(self, told: StoreOptions, clock: Clock, streams: RandomStreams) -> None:
        self.told = told
        self.clock = clock
        self.generator = streams.generator("store")
        self.drawn: list[float] = []
        self.at_work = 0
        self.waiting: deque[Fetch] = deque()
        self.jams: dict[int, float] = {}  # factor, by the trouble's number

    def fetch(self, done: Callable[..., None], what: Any) -> Fetch:
        fetch = Fetch(done, what)
        if self.at_work < self.told.max_concurrent:
            self._begin(fetch)
        else:
            self.waiting.append(fetch)
        return fetch

    def call_off(self, fetch: Fetch) -> None:
        """Nobody waits for it; one that is at work is worked through all the same."""
        fetch.off = True

    def _begin(self, fetch: Fetch) -> None:
        self.at_work += 1
        if not self.drawn:
            self.drawn = self.told.fetch_time.sample(self.generator, DRAWN).tolist()
        takes = self.drawn.pop()
        for factor in self.jams.values():
            takes *= factor
        self.clock.at(self.clock.now() + int(takes), self._over, fetch)

    def _over(self, fetch: Fetch) -> None:
        self.at_work -= 1
        while self.waiting and self.at_work < self.told.max_concurrent:
            following = self.waiting.popleft()
            if not following.off:
                self._begin(following)
        if not fetch.off:
            fetch.done(fetch.what)
