"""RandomNumbers for the models: numpy Generator streams, one for each concern, all from one seed.

A stream depends on the seed and its own name only, so one concern that draws more or less shifts no other.
"""

from zlib import crc32

import numpy as np


class RandomDraws:
    """Single numbers out of one stream, drawn in blocks: one call of numpy for each would be most of the
    time.
    """

    BLOCK = 1024

    def __init__(self, generator: np.random.Generator) -> None:
        self.generator = generator
        self.fractions: list[float] = []
        self.normals: list[float] = []

    def fraction(self) -> float:
        """Uniform in [0, 1)."""
        if not self.fractions:
            self.fractions = self.generator.random(self.BLOCK).tolist()
        return self.fractions.pop()

    def normal(self) -> float:
        if not self.normals:
            self.normals = self.generator.standard_normal(self.BLOCK).tolist()
        return self.normals.pop()

    def below(self, count: int) -> int:
        return int(self.fraction() * count)

    def happens(self, share: float) -> bool:
        """With that chance; draws nothing where it is certain."""
        return share > 0 and (share >= 1 or self.fraction() < share)


class RandomStreams:
    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, concern: str) -> np.random.Generator:
        return np.random.default_rng(np.random.SeedSequence([self.seed, crc32(concern.encode())]))

    def draws(self, concern: str) -> RandomDraws:
        return RandomDraws(self.generator(concern))
