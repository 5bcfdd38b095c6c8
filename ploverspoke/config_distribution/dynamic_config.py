"""A dispatcher with dynamic configuration: the service of `service/service.py`, which watches config servers.

The active configuration is the dispatcher's own configuration file, overlaid with the last version that
passed all checks. If no version has passed them, or no server has ever answered, it is the file alone.
"""

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import NamedTuple

from ploverspoke.protocol import admin
from ploverspoke.service.config import Config, parse_config, read_config_document, without_known_endpoints
from ploverspoke.service.config_reader import (
    ConfigSection,
    InvalidValueError,
    JsonDocument,
    first_missing_key,
)
from ploverspoke.service.exit_codes import run_with_exit_code
from ploverspoke.service.program import create_service, run_service
from ploverspoke.service.service import Service
from ploverspoke.service.startup import block_signals
from ploverspoke.transport.rate_limited_log import log_line

from .cache import read_cache
from .client import WatchClient
from .cluster_config import WatchConfig, read_watch_config
from .errors import VersionRejectedError
from .messages import MAX_NAME_CHARACTERS, NO_VERSION, VerifiedVersion, is_watcher_name
from .overlay import apply_overlay, read_body
from .state_machine import short_digest


@dataclass
class OwnConfig:
    """A dispatcher's own configuration file, without any distributed version."""

    document: JsonDocument
    environment: Mapping[str, str]
    read_document: Callable[[], JsonDocument]  # reads the file again, at SIGHUP; raises ConfigError

    def with_body(self, body: str) -> Config:
        """Return the configuration overlaid with a version's body, if not empty. Raises ConfigError."""
        document = apply_overlay(self.document, read_body(body)) if body else self.document
        return parse_config(document, self.environment)


def read_own_config(environment: Mapping[str, str]) -> OwnConfig:
    """Read the configuration file that the environment names. Raises ConfigError."""
    read_document = partial(read_config_document, environment)
    return OwnConfig(read_document(), environment, read_document)


class InitialConfig(NamedTuple):
    """The configuration that a dispatcher starts with."""

    config: Config
    applied: VerifiedVersion  # from the cache, or NO_VERSION


def load_initial_config(own_config: OwnConfig, watch_config: WatchConfig) -> InitialConfig:
    """Return the own configuration, with the cached version if usable, and log which. Raises ConfigError."""
    config_without_version = own_config.with_body("")
    cached = read_cache(watch_config)
    version, problem = cached.version, cached.problem
    if version != NO_VERSION:
        try:
            config = own_config.with_body(version.body)
        except ValueError as error:
            problem = f"version {version.number}: {error}"
        else:
            digest = short_digest(version.digest)
            log_line(f"config: version {version.number} applied ({digest}), from the cache")
            return InitialConfig(config, version)
    suffix = f": the cache is unusable: {problem}" if problem else ""
    log_line(f"config: no version applied, own configuration alone{suffix}")
    return InitialConfig(config_without_version, NO_VERSION)


class VersionApplier:
    """Applies versions to a running service."""

    def __init__(self, service: Service, own_config: OwnConfig, applied: VerifiedVersion) -> None:
        """`service` was started with its own configuration overlaid with `applied`."""
        self.service = service
        self.own_config = own_config
        self.body = applied.body

    def apply(self, version: VerifiedVersion) -> None:
        """Make a version active. A rejected version changes nothing.

        A version may not remove a key of the dispatcher's own file. It may remove a key that only an earlier
        version has added; otherwise no version that added a key could be rolled back.

        Raises VersionRejectedError with the invalid key.
        """
        service, previous_config = self.service, self.service.config
        try:
            new_config = self.own_config.with_body(version.body)
            service.config = previous_config._replace(
                document=without_known_endpoints(ConfigSection(self.own_config.document).value)
            )
            service.apply_config(new_config)
        except ValueError as error:
            service.config = previous_config
            raise VersionRejectedError(version.number, str(error)) from error
        except Exception:  # after any error of a check, the previous configuration stays active
            service.config = previous_config
            raise
        service.config = service.config._replace(document=new_config.document)
        self.body = version.body

    def reload_config(self) -> Config:
        """Read the own configuration again at SIGHUP and apply the active version. Raises ConfigError."""
        document = self.own_config.read_document()
        config = OwnConfig(document, self.own_config.environment, self.own_config.read_document).with_body(
            self.body
        )
        missing = first_missing_key(self.service.config.document, config.document)
        if missing is not None:
            raise InvalidValueError(key=missing, problem="is missing: the configuration in force has it")
        self.own_config.document = document  # only after all checks, since later versions are applied to it
        return config


def attach_watch(
    service: Service,
    watch_config: WatchConfig,
    own_config: OwnConfig,
    applied: VerifiedVersion = NO_VERSION,
    seed: int | None = None,
) -> WatchClient:
    """Create a watch client, not yet started, for a service built from `own_config` with `applied`.

    There is no global state: many clients can run in one event loop, each with its own cache. `seed` is for
    the random numbers of the watch; None: seeded by the system.

    Raises ConfigError if the service's name is not valid for a watcher.
    """
    name = service.config.name
    if not is_watcher_name(name):
        problem = f"is {name!r}: config servers expect 1 to {MAX_NAME_CHARACTERS} characters"
        raise InvalidValueError(key="name", problem=problem)
    applier = VersionApplier(service, own_config, applied)
    client = WatchClient(service.loop, watch_config, name, applier.apply, applied, seed)
    service.load_config = applier.reload_config
    service.admin_server.commands["config"] = partial(admin_reply, client)
    return client


def admin_reply(client: WatchClient) -> bytes:
    """Return the reply to `config` at the admin port: version and metrics, or the reason of a rejection."""
    versions = client.watcher.versions
    if versions.rejection:
        return admin.error_reply(f"version {versions.received.number} rejected: {versions.rejection}")
    lines = [admin.counter_line(name, value) for name, value in client.metrics()._asdict().items()]
    metrics = admin.counters_reply(lines).removeprefix(b"+OK\n")
    return admin.ok_reply(f"version {versions.applied_version} applied") + metrics


def _run_dispatcher(watch_file: Path) -> None:
    watch_config = read_watch_config(watch_file)
    own_config = read_own_config(os.environ)
    config, applied = load_initial_config(own_config, watch_config)
    service = create_service(config)
    service.inherit_socket(os.environ)
    client = attach_watch(service, watch_config, own_config, applied)
    service.on_started = client.start
    service.is_configured = client.is_current
    try:
        run_service(service)
    finally:
        client.close()


def main(watch_file: Path) -> int:
    """Run the dispatcher until SIGTERM and return the exit code: 2 if a file is invalid."""
    block_signals()
    return run_with_exit_code(partial(_run_dispatcher, watch_file))
