"""Random numbers of the decisions: the same seed gives the same draws."""

from collections.abc import Sequence

# Parameters of Knuth's MMIX generator.
MULTIPLIER = 6364136223846793005
INCREMENT = 1442695040888963407
STATE_MASK = 0xFFFF_FFFF_FFFF_FFFF  # 64 bits
FRACTION_BITS = 32
FRACTION_SCALE = float(1 << FRACTION_BITS)


class RandomNumbers:
    """A linear congruential generator; only the high bits are used."""

    def __init__(self, seed: int) -> None:
        """Initialize the state with a seed and drop the first number."""
        self.state = seed & STATE_MASK
        self.fraction()

    def fraction(self) -> float:
        """Draw a number of at least 0 and less than 1."""
        self.state = (self.state * MULTIPLIER + INCREMENT) & STATE_MASK
        return (self.state >> FRACTION_BITS) / FRACTION_SCALE

    def weighted(self, weights: Sequence[float]) -> int:
        """Draw an index with a probability proportional to its weight."""
        draw, drawn = self.fraction() * sum(weights), 0
        while drawn < len(weights) - 1 and draw >= weights[drawn]:
            draw -= weights[drawn]
            drawn += 1
        return drawn

    def below(self, limit: int) -> int:
        """Draw an integer of at least 0 and less than the limit."""
        return int(self.fraction() * limit)
