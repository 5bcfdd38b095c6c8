"""The dispatcher with a watch: the service of `service/service.py`, its configuration overlaid by versions.

The active configuration is the dispatcher's own file with the last version applied that passed the checks of
a file. Where none did, or no server ever answered, it is the file alone.
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
from ploverspoke.service.service import Service, create_service, run_service
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
    """A dispatcher's own configuration, without any version."""

    document: JsonDocument
    environment: Mapping[str, str]
    reread: Callable[[], JsonDocument]  # the document as it is now, at SIGHUP; raises ConfigError

    def with_body(self, body: str) -> Config:
        """The configuration with a version's body applied; empty: alone. Raises ConfigError."""
        document = apply_overlay(self.document, read_body(body)) if body else self.document
        return parse_config(document, self.environment)


def read_own_config(environment: Mapping[str, str]) -> OwnConfig:
    """The own configuration of the dispatcher with this environment. Raises ConfigError."""
    reread = partial(read_config_document, environment)
    return OwnConfig(reread(), environment, reread)


class InitialConfig(NamedTuple):
    """What a dispatcher begins with."""

    config: Config
    applied: VerifiedVersion  # from the cache, or NO_VERSION


def initial_config(own: OwnConfig, watch_config: WatchConfig) -> InitialConfig:
    """The own configuration with the cached version, or alone; logs which. Raises ConfigError."""
    own_alone = own.with_body("")
    cached = read_cache(watch_config)
    version, problem = cached.version, cached.problem
    if version != NO_VERSION:
        try:
            config = own.with_body(version.body)
        except ValueError as error:
            problem = f"version {version.number}: {error}"
        else:
            digest = short_digest(version.digest)
            log_line(f"config: version {version.number} applied ({digest}), from the cache")
            return InitialConfig(config, version)
    suffix = f": the cache is unusable: {problem}" if problem else ""
    log_line(f"config: no version applied, own configuration alone{suffix}")
    return InitialConfig(own_alone, NO_VERSION)


class VersionApplier:
    """Applies versions to the configuration of one running service."""

    def __init__(self, service: Service, own: OwnConfig, applied: VerifiedVersion) -> None:
        """`service` was started with `applied` on its own configuration."""
        self.service = service
        self.own = own
        self.body = applied.body

    def apply(self, version: VerifiedVersion) -> None:
        """Make a version active. A rejected one changes nothing.

        A key of the dispatcher's own file may not be missing. One that only an earlier version has brought
        may: otherwise no version that has added a key could be rolled back.

        Raises VersionRejectedError with the key at fault.
        """
        service, before = self.service, self.service.config
        try:
            new = self.own.with_body(version.body)
            service.config = before._replace(
                document=without_known_endpoints(ConfigSection(self.own.document).value)
            )
            service.apply_config(new)
        except ValueError as error:
            service.config = before
            raise VersionRejectedError(version.number, str(error)) from error
        except Exception:  # whatever a check raises, the configuration before it stays in effect
            service.config = before
            raise
        service.config = service.config._replace(document=new.document)
        self.body = version.body

    def reread(self) -> Config:
        """At SIGHUP: the own configuration as it is now, with the active version. Raises ConfigError."""
        document = self.own.reread()
        config = OwnConfig(document, self.own.environment, self.own.reread).with_body(self.body)
        missing = first_missing_key(self.service.config.document, config.document)
        if missing is not None:
            raise InvalidValueError(key=missing, problem="is missing: the configuration in force has it")
        self.own.document = document  # only one that passed the checks: later versions are applied to it
        return config


def attach_watch(
    service: Service,
    watch_config: WatchConfig,
    own: OwnConfig,
    applied: VerifiedVersion = NO_VERSION,
    seed: int | None = None,
) -> WatchClient:
    """A watch for a service that was built from `own` with `applied`; it is still to be started.

    Nothing is global: many may live in one loop, each with a cache of its own. `seed` is that of the watch's
    random numbers; None: the system's.

    Raises ConfigError where the service's name is not fit for a watcher.
    """
    name = service.config.name
    if not is_watcher_name(name):
        problem = f"is {name!r}: config servers expect 1 to {MAX_NAME_CHARACTERS} characters"
        raise InvalidValueError(key="name", problem=problem)
    applier = VersionApplier(service, own, applied)
    client = WatchClient(service.loop, watch_config, name, applier.apply, applied, seed)
    service.load_config = applier.reread
    service.admin_server.commands["config"] = partial(admin_reply, client)
    return client


def admin_reply(client: WatchClient) -> bytes:
    """The reply to the call `config` at the admin port: the version and the metrics, or the rejection."""
    versions = client.watcher.versions
    if versions.rejection:
        return admin.error_reply(f"version {versions.received.number} rejected: {versions.rejection}")
    lines = [admin.counter_line(name, value) for name, value in client.metrics()._asdict().items()]
    metrics = admin.counters_reply(lines).removeprefix(b"+OK\n")
    return admin.ok_reply(f"version {versions.applied_version} applied") + metrics


def _run(watch_file: Path) -> None:
    watch_config = read_watch_config(watch_file)
    own = read_own_config(os.environ)
    config, applied = initial_config(own, watch_config)
    service = create_service(config)
    service.inherit_socket(os.environ)
    client = attach_watch(service, watch_config, own, applied)
    service.on_ready = client.start
    try:
        run_service(service)
    finally:
        client.close()


def main(watch_file: Path) -> int:
    """Run the dispatcher until SIGTERM and give the exit code: 2 where a file is wrong."""
    block_signals()
    return run_with_exit_code(partial(_run, watch_file))
