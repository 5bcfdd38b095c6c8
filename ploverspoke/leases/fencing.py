"""The receiving side of effects: who has seen a token takes no lower one."""

from collections import OrderedDict

MOST_NAMES = 100_000


class FencingTokenGuard:
    """Kept in memory. What must outlive its process is written down by whoever uses it, through `seen`."""

    def __init__(self, most: int = MOST_NAMES) -> None:
        self.most = most
        self.seen: OrderedDict[str, int] = OrderedDict()
        self.refused = 0

    def takes(self, name: str, token: int) -> bool:
        """Whether an effect under this token may be had."""
        if token <= 0 or token < self.seen.get(name, 0):
            self.refused += 1
            return False
        self.seen[name] = token
        self.seen.move_to_end(name)
        while len(self.seen) > self.most:
            self.seen.popitem(last=False)
        return True
