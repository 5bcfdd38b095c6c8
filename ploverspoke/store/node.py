"""A replica that keeps the ledger, and this replica's own copy of the configuration beside it."""

import time
from collections.abc import Callable
from typing import Any

from ploverspoke.consensus.cluster_config import ReplicaConfig
from ploverspoke.consensus.node import ReplicaNode, Reply
from ploverspoke.consensus.storage import ReplicaStorage

from .state_machine import CONFIGURE, Configuration, RequestStateMachine

CONFIGURATION, ROSTER = "configuration", "roster"  # what is kept of this replica's own


class StoreNode(ReplicaNode):
    def __init__(self, config: ReplicaConfig, storage: ReplicaStorage | None = None) -> None:
        self.ledger = RequestStateMachine()
        super().__init__(config, self.ledger, storage)
        self.ledger.on_time = self.clock.advance_to
        self.on_configuration: Callable[[Configuration], None] | None = None
        self.configuration_known = 0  # the version that is kept on the disk

    def on_storage_opened(self) -> None:
        kept = self.storage.load_value(CONFIGURATION)
        self.configuration_known = kept[0] if kept is not None else 0
        self.ledger.on_configuration = self._configured

    def state_status(self) -> dict[str, Any]:
        return {
            "open": len(self.ledger.open),
            "answered": len(self.ledger.answered),
            "configuration": getattr(self.ledger.configuration(), "version", 0),
        }

    def handle_state_request(self, request: dict[str, Any], reply: Reply) -> bool:
        verb = request.get("ask")
        if verb == "configure":
            token = request.get("token", 0)
            if not isinstance(token, int):
                return False
            command = [CONFIGURE, str(request["body"]), str(request["by"]), time.time_ns(), token]
            self.propose(command, lambda yes: reply(self._configured_or_not(yes, token)))
        elif verb == "configurations":
            reply([[c.version, c.by, c.at, c.body] for c in self.ledger.configurations])
        else:
            return False
        return True

    def _configured_or_not(self, yes: bool, token: int) -> dict[str, Any]:
        if yes and token < self.ledger.configured_under:
            return {"done": False, "why": f"published under token {self.ledger.configured_under} since"}
        configuration = self.ledger.configuration()
        return {"done": yes, "version": configuration.version if yes and configuration is not None else 0}

    def _configured(self, configuration: Configuration) -> None:
        if configuration.version <= self.configuration_known:
            return
        self.configuration_known = configuration.version
        self.save_value(CONFIGURATION, [configuration.version, configuration.body])
        if self.on_configuration is not None:
            self.loop.call_soon(self.on_configuration, configuration)
