"""What a replica keeps of its own beside the log: the roster as it was last told, so that a restart
begins with it.
"""

import json
import time
from collections.abc import Callable
from typing import Any

KEEP_EVERY = 1.0  # seconds, at the most


class RosterMemory:
    """Puts discovery's answers together into one list; `keep` is handed it whole, now and then."""

    def __init__(self, keep: Callable[[Any], None], now: Callable[[], float] = time.monotonic) -> None:
        self.keep = keep
        self.now = now
        self.entries: dict[str, Any] = {}
        self.kept_at = -KEEP_EVERY

    def told(self, body: bytes) -> None:
        """An answer that the router has taken, so its form is right."""
        told = json.loads(body)
        if told["full"]:
            self.entries.clear()
        for entry in told["servers"]:
            if entry.get("state") == "Gone":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        if self.now() - self.kept_at >= KEEP_EVERY or told["full"]:
            self.kept_at = self.now()
            self.keep({"version": told["version"], "full": True, "servers": list(self.entries.values())})
