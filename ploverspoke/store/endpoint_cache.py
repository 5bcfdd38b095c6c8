"""Saves the latest known endpoint list, so that a replica can restart without waiting for discovery."""

import json
import time
from collections.abc import Callable

from ploverspoke.protocol.discovery import EndpointListDocument

SAVE_INTERVAL_S = 1.0  # minimum time between two saves of changes
REMOVED_STATE = "Gone"  # in an answer of discovery, the `state` of a removed endpoint


class EndpointCache:
    """Merges discovery's answers into one list and passes it to `save`, for changes at most once a second."""

    def __init__(
        self,
        save: Callable[[EndpointListDocument], None],
        known: EndpointListDocument | None = None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        """`known` is the list from which the watch resumes: the first answer may contain only changes to it.

        `now` returns the time of a monotonic clock in seconds.
        """
        self.save = save
        self.now = now
        self.endpoints: dict[object, dict[str, object]] = {}  # by id
        self.is_complete = known is not None
        if known is not None:
            self.endpoints = {endpoint["id"]: endpoint for endpoint in known["servers"]}
        self.saved_at = -SAVE_INTERVAL_S

    def update(self, body: bytes) -> None:
        """Merge the body of an answer. The router must have accepted it: its form is not checked again."""
        answer: EndpointListDocument = json.loads(body)
        if answer["full"]:
            self.is_complete = True
            self.endpoints.clear()
        for endpoint in answer["servers"]:
            if endpoint.get("state") == REMOVED_STATE:
                self.endpoints.pop(endpoint["id"], None)
            else:
                self.endpoints[endpoint["id"]] = endpoint
        # Changes without a full list must not be saved as one: a replica that restarted twice would know no
        # workers.
        if self.is_complete and (answer["full"] or self.now() - self.saved_at >= SAVE_INTERVAL_S):
            self.saved_at = self.now()
            servers = list(self.endpoints.values())
            self.save({"version": answer["version"], "full": True, "servers": servers})
