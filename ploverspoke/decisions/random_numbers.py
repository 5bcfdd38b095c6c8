"""The chance that the decisions draw from: the same seed gives the same draws."""


class RandomNumbers:
    """A linear congruential generator; only the high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & 0xFFFF_FFFF_FFFF_FFFF
        self.fraction()

    def fraction(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & 0xFFFF_FFFF_FFFF_FFFF
        return (self.state >> 32) / 4294967296.0

    def below(self, n: int) -> int:
        return int(self.fraction() * n)
