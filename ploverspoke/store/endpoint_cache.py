"""The endpoint list as last known, kept beside the log, so that a restart need not wait for discovery."""

import json
import time
from collections.abc import Callable

from ploverspoke.protocol.discovery import EndpointListDocument

SAVE_INTERVAL = 1.0  # seconds between two saves of changes
GONE = "Gone"  # state of an endpoint that discovery removes


class EndpointCache:
    """Merges discovery's answers into one list and hands that to `save`, at most once a second."""

    def __init__(
        self,
        save: Callable[[EndpointListDocument], None],
        known: EndpointListDocument | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """`known` is the list that the watch goes on from: the first answer may hold its changes alone.

        `now` gives seconds of a monotonic clock.
        """
        self.save = save
        self.now = now
        self.endpoints: dict[object, dict[str, object]] = {}  # by id
        self.is_complete = known is not None
        if known is not None:
            self.endpoints = {endpoint["id"]: endpoint for endpoint in known["servers"]}
        self.saved_at = -SAVE_INTERVAL

    def update(self, body: bytes) -> None:
        """Merge the body of an answer that the router has accepted, so that its form is right."""
        answer: EndpointListDocument = json.loads(body)
        if answer["full"]:
            self.is_complete = True
            self.endpoints.clear()
        for endpoint in answer["servers"]:
            if endpoint.get("state") == GONE:
                self.endpoints.pop(endpoint["id"], None)
            else:
                self.endpoints[endpoint["id"]] = endpoint
        # Changes alone are no list: saved as one, a replica that restarted twice would know no worker.
        if self.is_complete and (answer["full"] or self.now() - self.saved_at >= SAVE_INTERVAL):
            self.saved_at = self.now()
            servers = list(self.endpoints.values())
            self.save({"version": answer["version"], "full": True, "servers": servers})
