"""Random numbers of the models: one numpy Generator for each concern, all from one seed.

A stream depends on the seed and its own name only: one concern that draws more or less shifts no other.
"""

from zlib import crc32

import numpy as np


class RandomDraws:
    """Single numbers of one stream, drawn from numpy in blocks."""

    BLOCK = 1024

    def __init__(self, generator: np.random.Generator) -> None:
        """Draw from that generator."""
        self.generator = generator
        self._fractions: list[float] = []
        self._normals: list[float] = []

    def fraction(self) -> float:
        """Draw uniformly from [0, 1)."""
        if not self._fractions:
            self._fractions = self.generator.random(self.BLOCK).tolist()
        return self._fractions.pop()

    def normal(self) -> float:
        """Draw from the standard normal distribution."""
        if not self._normals:
            self._normals = self.generator.standard_normal(self.BLOCK).tolist()
        return self._normals.pop()

    def below(self, count: int) -> int:
        """Draw uniformly from 0 up to, not including, the count."""
        return int(self.fraction() * count)

    def happens(self, probability: float) -> bool:
        """Draw whether it happens; nothing is drawn where that is certain."""
        return probability > 0 and (probability >= 1 or self.fraction() < probability)


class RandomStreams:
    """All streams of one seed."""

    def __init__(self, seed: int) -> None:
        """Derive streams from that seed."""
        self.seed = seed

    def generator(self, concern: str) -> np.random.Generator:
        """Return a generator at the start of that concern's stream."""
        return np.random.default_rng(np.random.SeedSequence([self.seed, crc32(concern.encode())]))

    def draws(self, concern: str) -> RandomDraws:
        """Return single draws from the start of that concern's stream."""
        return RandomDraws(self.generator(concern))
