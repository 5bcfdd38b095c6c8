"""The dispatcher as a daemon with a store: the program of `service/service.py` with a scribe.

What the replicas share of the configuration comes from the store once it is there (`store configure`); what
is a machine's own, its limits and seed, from its file.
"""

import asyncio
import gc
import json
import os
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

from ploverspoke.consensus.cluster_config import ReplicaConfig, read_replica_config
from ploverspoke.consensus.storage import ClusterMismatchError, CorruptionError, StorageError
from ploverspoke.decisions.settings import Idempotency
from ploverspoke.service.config import Config, address, parse_config, read_config_document
from ploverspoke.service.config_reader import ConfigError, ConfigSection
from ploverspoke.service.exit_codes import run_with_exit_code
from ploverspoke.service.service import Service
from ploverspoke.transport.rate_limited_log import log_line

from .endpoint_cache import EndpointCache
from .node import CONFIGURATION, ROSTER, StoreNode
from .request_log import ReplicatedRequestLog
from .state_machine import Configuration

REPEATS = {
    Idempotency.IDEMPOTENT: "redoable",
    Idempotency.IDEMPOTENT_WITH_KEY: "labelled",
    Idempotency.NON_IDEMPOTENT: "irreversible",
}
SHARED = ("settings", "discovery")


def merge_config(told: Any, shared: str, orders: ReplicaConfig, roster: Any) -> Config:
    """One replica's file, what the store shares, and the roster as last known. Raises ConfigError."""
    listen = orders.replicas[orders.name][1]
    address(ConfigSection({"clients": listen}, f"replicas.{orders.name}"), "clients", None)
    whole = dict(ConfigSection(told).value)
    if shared:
        whole |= {key: value for key, value in json.loads(shared).items() if key in SHARED}
    if roster is not None and whole.get("known") is None:
        whole["known"] = roster
    return parse_config({**whole, "listen": listen, "name": orders.name}, os.environ)


class StoreDaemon:
    def __init__(self, orders: ReplicaConfig) -> None:
        self.orders = orders
        self.node = StoreNode(orders)
        self.shared = ""

    async def run(self, new: bool, join: str) -> None:
        read_config_document(os.environ)  # a bad file is told before anything is opened
        try:
            await self.node.open(new, join)
            kept = self.node.disk.kept(CONFIGURATION)
            self.shared = kept[1] if kept is not None else ""
            briefing = self.read()
            settings = briefing.settings
            scribe = ReplicatedRequestLog(
                self.node,
                [REPEATS[each.idempotency] for each in settings.classes],
                [each.retry_scope.value for each in settings.classes],
                settings.full_may_have_run,
            )
            self.service = Service(asyncio.get_running_loop(), briefing, scribe)
            self.service.read = self.read
            self.service.router.endpoints.on_list = EndpointCache(
                partial(self.node.keep, ROSTER), briefing.known
            ).told
            scribe.on_lost = self.service.router.completion.leave_all_to_leader
            self.node.on_configuration = self._configured
            gc.collect()
            gc.freeze()
            await self.service.run()
        finally:
            await self.node.close()

    def read(self) -> Config:
        return merge_config(
            read_config_document(os.environ), self.shared, self.orders, self.node.disk.kept(ROSTER)
        )

    def _configured(self, configuration: Configuration) -> None:
        """A new version was committed: it is taken as by SIGHUP, and whole at the next start."""
        before, self.shared = self.shared, configuration.body
        try:
            self.service.take_configuration(self.read())
            log_line(f"store: configuration {configuration.version} is taken")
        except (ConfigError, ValueError) as error:
            self.shared = before
            log_line(
                f"store: configuration {configuration.version} is not taken, the old one goes on: {error}"
            )


def main(store: Path, new: bool = False, join: str = "") -> int:
    """Exit 0: told to end. 2: the configuration or the store cannot be used; says why."""

    def run() -> None:
        uvloop.run(StoreDaemon(read_replica_config(store)).run(new, join))

    return run_with_exit_code(run, ClusterMismatchError, CorruptionError, StorageError)
