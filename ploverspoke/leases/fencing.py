"""Fencing at the receiver of effects: once it has seen a fencing token, it rejects all lower ones."""

from collections import OrderedDict

MAX_NAMES = 100_000


class FencingTokenGuard:
    """Remembers the latest token of each lease, in memory.

    A user that has to keep the tokens across restarts stores `latest_tokens` itself.
    """

    def __init__(self, max_names: int = MAX_NAMES) -> None:
        """Remember at most `max_names` leases; the least recently used ones are dropped."""
        self.max_names = max_names
        self.latest_tokens: OrderedDict[str, int] = OrderedDict()
        self.rejected = 0

    def allows(self, name: str, token: int) -> bool:
        """Return whether an effect under this token may happen; if so, remember the token."""
        if token <= 0 or token < self.latest_tokens.get(name, 0):
            self.rejected += 1
            return False
        self.latest_tokens[name] = token
        self.latest_tokens.move_to_end(name)
        while len(self.latest_tokens) > self.max_names:
            self.latest_tokens.popitem(last=False)
        return True
