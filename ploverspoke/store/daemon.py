"""Runs a dispatcher as a replica of a store: `service/service.py` with a replicated request log."""

import asyncio
import os
from pathlib import Path

from ploverspoke.consensus.cluster_config import ReplicaConfig, read_replica_config
from ploverspoke.consensus.server import run_replica_process
from ploverspoke.service.config import Config, read_config_document
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.service import Service
from ploverspoke.transport.garbage_collection import freeze_startup_objects
from ploverspoke.transport.rate_limited_log import log_line

from .class_rules import rules_of_classes
from .endpoint_cache import EndpointCache
from .node import StoreNode
from .request_log import ReplicatedRequestLog
from .shared_config import merge_config


class StoreDaemon:
    """A store replica and the dispatcher that uses it, in one process."""

    def __init__(self, config: ReplicaConfig) -> None:
        """`config` is the replica's configuration; the dispatcher's own file is read by `run`."""
        self.config = config
        self.node = StoreNode(config)
        self.shared_body = ""  # JSON of the shared configuration; "" if none was committed
        self.applied_version = 0  # of the shared configuration; 0: none
        self.rejected_version = 0

    async def run(self, new: bool, join: str) -> None:
        """Serve until SIGTERM or SIGINT.

        `new`: this is the first start of a new store. `join`: the fingerprint of the store to join, or "".

        Raises ConfigError, ClusterMismatchError, CorruptionError, StorageError or OSError.
        """
        read_config_document(os.environ)  # reports an invalid file before anything is opened
        try:
            await self.node.open(new, join)
            latest = self.node.latest_known_configuration()
            self.shared_body, self.applied_version = latest.body, latest.version
            log_line(f"store: {self.config.name} starts with configuration {latest.version}")
            self.service = self._build_service(self.read_config())
            self.node.on_configuration = self.request_log.on_configuration_committed
            freeze_startup_objects()
            await self.service.run()
        finally:
            await self.node.close()

    def read_config(self) -> Config:
        """Read the dispatcher's file and merge it with the shared configuration. Raises ConfigError."""
        document = read_config_document(os.environ)
        return merge_config(document, self.shared_body, self.config, self.node.saved_endpoints())

    def _build_service(self, config: Config) -> Service:
        settings = config.settings
        class_rules = rules_of_classes(config.names.request_classes, settings.classes)
        request_log = ReplicatedRequestLog(self.node, class_rules, settings.full_may_have_run)
        request_log.apply_configuration = self.apply_latest_configuration
        self.request_log = request_log
        service = Service(asyncio.get_running_loop(), config, request_log)
        service.load_config = self.read_config
        endpoint_cache = EndpointCache(self.node.save_endpoints, config.known_endpoints)
        service.router.endpoints.on_list_received = endpoint_cache.update
        request_log.on_leadership_lost = service.router.completion.leave_all_to_leader
        return service

    def apply_latest_configuration(self) -> bool:
        """Make the latest version in the replicated state the active one, unless it is.

        Returns False if this replica cannot apply it; the previous one stays active then.
        """
        latest = self.node.requests.configuration()
        if latest is None or latest.version == self.applied_version:
            return True
        if latest.version == self.rejected_version:
            return False
        previous_body, self.shared_body = self.shared_body, latest.body
        try:
            self.service.apply_committed_config(self.read_config())
        except (ConfigError, ValueError) as error:
            self.shared_body, self.rejected_version = previous_body, latest.version
            log_line(f"store: configuration {latest.version} rejected, the previous one stays: {error}")
            return False
        self.applied_version, self.rejected_version = latest.version, 0
        self._update_rules()
        log_line(f"store: configuration {latest.version} applied")
        return True

    def _update_rules(self) -> None:
        """Record requests from now on under the rules of the active settings."""
        active = self.service.router.active_settings
        settings = active.current
        class_rules = rules_of_classes(active.classes.names, settings.classes)
        active_rules = [class_rules[number] for number in settings.active_classes]
        self.request_log.change_rules(class_rules, active_rules, settings.full_may_have_run)


def main(store: Path, new: bool = False, join: str = "") -> int:
    """Run the daemon with the replica's file `store` and return the exit code of `run_replica_process`.

    See `StoreDaemon.run` for `new` and `join`.
    """
    return run_replica_process(lambda: StoreDaemon(read_replica_config(store)).run(new, join))
