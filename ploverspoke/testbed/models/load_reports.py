"""Load reports of a worker, as old and as noisy as the experiment says."""

from collections import deque
from typing import NamedTuple

from .random_streams import RandomDraws


class LoadSample(NamedTuple):
    """The load of one worker."""

    queue_length: float
    free_slots: float


class _TimedSample(NamedTuple):
    """A sample and when it was taken."""

    at: int
    sample: LoadSample


class LoadReporter:
    """Delays samples and adds noise to them."""

    def __init__(self, noise: float, draws: RandomDraws) -> None:
        """Take the noise as the standard deviation relative to the value."""
        self.noise = noise
        self.draws = draws
        self._history: deque[_TimedSample] = deque()

    def clear(self) -> None:
        """Forget older samples."""
        self._history.clear()

    def report(self, sample: LoadSample, now: int, age: int) -> LoadSample:
        """Return the newest sample that is at least `age` ns old, else the oldest one, with noise."""
        if age:
            sample = self._delayed(sample, now, age)
        if not self.noise:
            return sample
        return LoadSample(self._with_noise(sample.queue_length), self._with_noise(sample.free_slots))

    def _delayed(self, sample: LoadSample, now: int, age: int) -> LoadSample:
        self._history.append(_TimedSample(now, sample))
        while len(self._history) > 1 and self._history[1].at <= now - age:
            self._history.popleft()
        return self._history[0].sample

    def _with_noise(self, value: float) -> float:
        return max(0.0, value * (1 + self.noise * self.draws.normal()))
