"""Load reports of a worker, with the age and the noise that the experiment configures."""

from collections import deque
from typing import NamedTuple

from .random_streams import RandomDraws


class LoadSample(NamedTuple):
    """The load of one worker."""

    queue_length: float
    free_slots: float


class _TimedSample(NamedTuple):
    """A sample, and when it was taken."""

    at: int  # ns from the start of the run
    sample: LoadSample


class LoadReporter:
    """Delays samples and adds noise to them."""

    def __init__(self, noise: float, draws: RandomDraws) -> None:
        """`noise` is the standard deviation, as a share of the value."""
        self.noise = noise
        self.draws = draws
        self._history: deque[_TimedSample] = deque()

    def clear(self) -> None:
        """Forget all samples."""
        self._history.clear()

    def report(self, sample: LoadSample, now: int, age: int) -> LoadSample:
        """Return, with noise, the newest sample that is at least `age` ns old, or else the oldest sample."""
        if age:
            sample = self._delayed_sample(sample, now, age)
        if not self.noise:
            return sample
        return LoadSample(self._with_noise(sample.queue_length), self._with_noise(sample.free_slots))

    def _delayed_sample(self, sample: LoadSample, now: int, age: int) -> LoadSample:
        self._history.append(_TimedSample(now, sample))
        while len(self._history) > 1 and self._history[1].at <= now - age:
            self._history.popleft()
        return self._history[0].sample

    def _with_noise(self, value: float) -> float:
        return max(0.0, value * (1 + self.noise * self.draws.normal()))
