"""Random numbers of the decisions: the same seed gives the same draws."""

from collections.abc import Sequence


class RandomNumbers:
    """A linear congruential generator; only the high bits are used."""

    def __init__(self, seed: int) -> None:
        """Begin at a seed; its first draw is dropped."""
        self.state = seed & 0xFFFF_FFFF_FFFF_FFFF
        self.fraction()

    def fraction(self) -> float:
        """At least 0 and less than 1."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & 0xFFFF_FFFF_FFFF_FFFF
        return (self.state >> 32) / 4294967296.0

    def weighted(self, weights: Sequence[float]) -> int:
        """An index, drawn with a chance proportional to its weight."""
        draw, drawn = self.fraction() * sum(weights), 0
        while drawn < len(weights) - 1 and draw >= weights[drawn]:
            draw -= weights[drawn]
            drawn += 1
        return drawn

    def below(self, limit: int) -> int:
        """At least 0 and less than the limit."""
        return int(self.fraction() * limit)
