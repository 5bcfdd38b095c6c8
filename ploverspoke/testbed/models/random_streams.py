"""Random numbers of the models: one numpy Generator for each concern, all from one seed.

A stream depends only on the seed and its own name, so a concern that draws more or fewer numbers does not
change those of the others. Renaming a stream changes its numbers.
"""

from zlib import crc32

import numpy as np


class RandomDraws:
    """Draws single numbers of one stream, which it takes from numpy in blocks."""

    BLOCK_SIZE = 1024

    def __init__(self, generator: np.random.Generator) -> None:
        """Draw from the generator."""
        self.generator = generator
        self._fractions: list[float] = []
        self._normals: list[float] = []

    def fraction(self) -> float:
        """Draw uniformly from [0, 1)."""
        if not self._fractions:
            self._fractions = self.generator.random(self.BLOCK_SIZE).tolist()
        return self._fractions.pop()

    def normal(self) -> float:
        """Draw from the standard normal distribution."""
        if not self._normals:
            self._normals = self.generator.standard_normal(self.BLOCK_SIZE).tolist()
        return self._normals.pop()

    def below(self, count: int) -> int:
        """Draw an integer uniformly from [0, count)."""
        return int(self.fraction() * count)

    def happens(self, probability: float) -> bool:
        """Draw whether an event happens; no number is drawn if the probability is 0 or 1."""
        return probability > 0 and (probability >= 1 or self.fraction() < probability)


class RandomStreams:
    """All streams of one seed."""

    def __init__(self, seed: int) -> None:
        """Derive the streams from the seed."""
        self.seed = seed

    def generator(self, concern: str) -> np.random.Generator:
        """Return a generator at the start of the stream of that concern."""
        return np.random.default_rng(np.random.SeedSequence([self.seed, crc32(concern.encode())]))

    def draws(self, concern: str) -> RandomDraws:
        """Return draws of single numbers from the start of the stream of that concern."""
        return RandomDraws(self.generator(concern))
