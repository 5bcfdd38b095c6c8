"""The dispatcher with a watch: the program of `service/service.py`, its configuration laid over by versions.

What is in force is the dispatcher's own file with the last version laid on that passed the same checks as a
file does. Where none did, or no server was ever heard, the file alone.
"""

import asyncio
import gc
import os
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

from ploverspoke.protocol import admin
from ploverspoke.service.config import Config, parse_config, read_config_document
from ploverspoke.service.config_reader import ConfigError, first_missing_key
from ploverspoke.service.exit_codes import run_with_exit_code
from ploverspoke.service.handover import ProcessRegistry
from ploverspoke.service.inherited_socket import inherited_socket
from ploverspoke.service.service import Service
from ploverspoke.service.startup import block_signals
from ploverspoke.transport.rate_limited_log import log_line

from .client import WatchClient, read_cache
from .cluster_config import WatchConfig, read_watch_config
from .messages import LONGEST_NAME, is_name
from .overlay import apply_overlay, read_body
from .watcher import NOTHING, AppliedVersion


def merge_config(own: Any, body: str, environment: Mapping[str, str]) -> Config:
    """A dispatcher's own configuration with a version's body laid on ("": none). Raises ConfigError."""
    return parse_config(apply_overlay(own, read_body(body)) if body else own, environment)


def without_list(own: Mapping[str, Any]) -> dict[str, Any]:
    """A configuration without the list of workers, as a briefing keeps it."""
    return {key: value for key, value in own.items() if key != "known"}


def initial_config(
    own: Any, orders: WatchConfig, environment: Mapping[str, str]
) -> tuple[Config, AppliedVersion]:
    """At start: the file with the version of the cache, or the file alone, and it is said. Raises
    ConfigError."""
    alone = merge_config(own, "", environment)
    taken, why = read_cache(orders)
    if taken is not NOTHING:
        try:
            briefing = merge_config(own, taken.body, environment)
            log_line(f"config: version {taken.number} in force ({taken.digest.hex()[:16]}), from the cache")
            return briefing, taken
        except ValueError as error:
            why = f"version {taken.number}: {error}"
    log_line(
        f"config: no version in force, the file alone{': the cache is of no use: ' + why if why else ''}"
    )
    return alone, NOTHING


class VersionApplier:
    """Lays versions on one service's own configuration."""

    def __init__(
        self,
        service: Service,
        own: Any,
        read_own: Callable[[], Any],
        taken: AppliedVersion,
        environment: Mapping[str, str],
    ) -> None:
        self.service = service
        self.own = own
        self.read_own = read_own
        self.body = taken.body
        self.environment = environment

    def take(self, number: int, body: str) -> str:
        """Why it is not in force, or "": then it is. A refused one changes nothing.

        What the file has may not be missing. What only an earlier version has brought may: else none could
        be rolled back that has added a key.
        """
        service, before = self.service, self.service.briefing
        try:
            new = merge_config(self.own, body, self.environment)
            service.briefing = before._replace(document=without_list(self.own))
            service.take_configuration(new)
        except Exception as error:
            service.briefing = before
            if isinstance(error, ValueError):
                return str(error)
            raise
        service.briefing = service.briefing._replace(document=new.document)
        self.body = body
        return ""

    def read(self) -> Config:
        """At SIGHUP: the file again, the version in force laid on. Raises ConfigError."""
        own = self.read_own()
        briefing = merge_config(own, self.body, self.environment)
        missing = first_missing_key(self.service.briefing.document, briefing.document)
        if missing is not None:
            raise ConfigError(f"{missing} is missing: the configuration in force has it")
        self.own = own  # only what will be taken: the versions after it rest on it
        return briefing


def attach(
    service: Service,
    orders: WatchConfig,
    own: Any,
    *,
    read_own: Callable[[], Any] | None = None,
    taken: AppliedVersion = NOTHING,
    seed: int | None = None,
    environment: Mapping[str, str] | None = None,
    begin: bool = True,
) -> WatchClient:
    """Watches for a service that was built from `own` with `taken` laid on. Nothing is global: many may live
    in one loop, each with a cache of its own.

    `read_own` gives its configuration anew at SIGHUP; by default it stays what it was. `seed` is of the
    watch's chance.
    """
    if not is_name(service.briefing.name):
        raise ConfigError(
            f"name is {service.briefing.name!r}: config servers expect 1 to {LONGEST_NAME} characters"
        )
    read = read_own if read_own is not None else lambda: own
    laying = VersionApplier(service, own, read, taken, environment if environment is not None else {})
    client = WatchClient(service.loop, orders, service.briefing.name, laying.take, taken, seed)
    service.read = laying.read
    service.operators.calls["config"] = partial(answer, client)
    if begin:
        client.begin()
    return client


def answer(client: WatchClient) -> bytes:
    """To `config` at the operators' door."""
    watch = client.watch
    if watch.reason:
        return admin.error_reply(f"version {watch.came.number} refused: {watch.reason}")
    lines = [admin.counter_line(key, value) for key, value in client.figures().items()]
    return admin.ok_reply(f"version {watch.in_force} in force") + admin.counters_reply(lines)[len("+OK\n") :]


def _run(watch_file: Path) -> None:
    orders = read_watch_config(watch_file)
    own = read_config_document(os.environ)
    briefing, taken = initial_config(own, orders, os.environ)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    service = Service(loop, briefing)
    service.listening = inherited_socket(os.environ)
    if service.listening is not None:
        service.neighbours = ProcessRegistry(os.environ.get("TMPDIR"))
    client = attach(
        service,
        orders,
        own,
        read_own=partial(read_config_document, os.environ),
        taken=taken,
        environment=os.environ,
        begin=False,
    )
    service.on_ready = client.begin
    gc.collect()
    gc.freeze()
    loop.run_until_complete(service.run())
    client.close()


def main(watch_file: Path) -> int:
    """Exit 0: told to end. 2: the configuration or the watch's file cannot be used; says why."""
    block_signals()
    return run_with_exit_code(partial(_run, watch_file))
