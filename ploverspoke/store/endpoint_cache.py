"""What a replica keeps of its own beside the log: the roster as it was last told, so that a restart
begins with it.
"""

import json
import time
from collections.abc import Callable
from typing import Any

KEEP_EVERY = 1.0  # seconds, at the most


class EndpointCache:
    """Puts discovery's answers together into one list; `keep` is handed it whole, now and then."""

    def __init__(
        self, keep: Callable[[Any], None], known: Any = None, now: Callable[[], float] = time.monotonic
    ) -> None:
        """`known` is the list that the watch goes on from: what is told next are its changes."""
        self.keep = keep
        self.now = now
        self.entries: dict[str, Any] = {}
        self.whole = known is not None
        if known is not None:
            self.entries = {entry["id"]: entry for entry in known["servers"]}
        self.kept_at = -KEEP_EVERY

    def told(self, body: bytes) -> None:
        """An answer that the router has taken, so its form is right."""
        told = json.loads(body)
        if told["full"]:
            self.whole = True
            self.entries.clear()
        for entry in told["servers"]:
            if entry.get("state") == "Gone":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        # Changes alone are no list: kept as one, a replica that restarted twice knew no worker any more.
        if self.whole and (told["full"] or self.now() - self.kept_at >= KEEP_EVERY):
            self.kept_at = self.now()
            self.keep({"version": told["version"], "full": True, "servers": list(self.entries.values())})
