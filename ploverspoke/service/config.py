"""Reads the configuration of one dispatcher from its file, validates it and converts it to typed values.

The keys of the file are documented in README.md; this module and `settings.py` map them to the names in the
code.
"""

import json
from collections.abc import Mapping, Sequence
from dataclasses import replace
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple, cast

from ploverspoke.decisions.settings import DeploymentNames, Settings
from ploverspoke.protocol.discovery import EndpointListDocument, parse_endpoint_list
from ploverspoke.protocol.errors import EndpointListError
from ploverspoke.transport.units import MEBIBYTE

from .config_reader import Address, ConfigError, ConfigSection, InvalidValueError, JsonDocument, JsonObject
from .settings import parse_names, parse_settings

CONFIG_VARIABLE = "RELAY_CONFIG"
DEFAULT_NAME = "dispatcher"
DEFAULT_SOCKETS, MIN_SOCKETS = 1024, 64
DEFAULT_MEMORY_MB, MIN_MEMORY_MB = 192, 32
SEED_BASE = 16

# Logged at the start, and printed by `ploverspoke check`, if `Config.lacks_peers` is set.
NO_PEERS_MESSAGE = "load gossip is permitted but cannot be sent: the configuration has no addresses (peers)"
EMPTY_OBJECT: JsonObject = MappingProxyType({})


class Config(NamedTuple):
    """Everything that a dispatcher is configured with."""

    name: str
    listen: Address
    admin_address: Address | None  # address of the admin server; None if there is none
    discovery: str  # address of discovery, as written in the file
    seed: int
    descriptor_limit: int  # open file descriptors of the whole process
    memory_limit: int  # bytes, of the whole process
    known_endpoints: EndpointListDocument | None  # the latest known endpoint list
    settings: Settings
    names: DeploymentNames
    document: JsonObject = EMPTY_OBJECT  # the document of the file, without the endpoint list
    peers: Sequence[Address] = ()  # address of each dispatcher for load gossip, by its index
    lacks_peers: bool = False  # load gossip is permitted, but there are no addresses to send it to


def read_config(environment: Mapping[str, str]) -> Config:
    """Read and validate the file that RELAY_CONFIG names.

    Keys missing in the file are taken from RELAY_LISTEN, RELAY_DISCOVERY, RELAY_NAME and RELAY_ADMIN_ADDR.
    Raises ConfigError.
    """
    return parse_config(read_config_document(environment), environment)


def read_config_document(environment: Mapping[str, str]) -> JsonDocument:
    """Read and parse the file that RELAY_CONFIG names, without validating it. Raises ConfigError."""
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        raise InvalidValueError(
            key=CONFIG_VARIABLE, problem="is not set: expected the path of the configuration file"
        )
    try:
        document: JsonDocument = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(key=CONFIG_VARIABLE, problem=f"{path} cannot be read: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(key=CONFIG_VARIABLE, problem=f"{path} is not valid JSON: {error}") from error
    return document


def parse_config(document: JsonDocument, environment: Mapping[str, str]) -> Config:
    """Validate a configuration document and return it typed; see `read_config`. Raises ConfigError."""
    top = ConfigSection(document)
    if "settings" not in top.value:
        raise top.invalid("settings", "an object")
    # The order of these reads decides which invalid key is reported; some values are read again below.
    listen = top.address("listen", environment.get("RELAY_LISTEN"))
    top.address("discovery", environment.get("RELAY_DISCOVERY"))
    seed = _parse_seed(top)
    known_endpoints = _parse_known_endpoints(top)
    limits = top.section("limits")
    settings = parse_settings(top.value["settings"], "settings")
    peers = _parse_peers(top, settings)
    return Config(
        name=top.text("name", environment.get("RELAY_NAME", DEFAULT_NAME)),
        listen=listen,
        admin_address=_parse_admin_address(top, environment.get("RELAY_ADMIN_ADDR")),
        discovery=top.text("discovery", environment.get("RELAY_DISCOVERY")),
        seed=seed,
        descriptor_limit=limits.integer("sockets", DEFAULT_SOCKETS, minimum=MIN_SOCKETS),
        memory_limit=limits.integer("memory_mb", DEFAULT_MEMORY_MB, minimum=MIN_MEMORY_MB) * MEBIBYTE,
        known_endpoints=known_endpoints,
        settings=replace(settings, gossip_allowed=bool(peers)),
        names=parse_names(top.value["settings"], "settings"),
        document=without_known_endpoints(top.value),
        peers=peers,
        lacks_peers=settings.gossip_allowed and not peers,
    )


def without_known_endpoints(document: JsonObject) -> JsonObject:
    """Return a configuration document without its endpoint list, which is not part of its settings."""
    return {key: value for key, value in document.items() if key != "known"}


def _parse_admin_address(top: ConfigSection, default: str | None) -> Address | None:
    if default is None and top.value.get("admin_addr") is None:
        return None
    return top.address("admin_addr", default)


def _parse_seed(top: ConfigSection) -> int:
    text = top.text("seed", "0")
    try:
        return int(text, SEED_BASE)
    except ValueError as error:
        raise top.invalid("seed", "a hexadecimal number as a string") from error


def _parse_known_endpoints(top: ConfigSection) -> EndpointListDocument | None:
    known = top.value.get("known")
    if known is None:
        return None
    try:
        parse_endpoint_list(known)
    except EndpointListError as error:
        raise top.invalid("known", f"an endpoint list as discovery sends it ({error})") from error
    return cast(EndpointListDocument, known)


def _parse_peers(top: ConfigSection, settings: Settings) -> list[Address]:
    """Return one address for each dispatcher; none if load gossip is not configured."""
    texts = top.values("peers", [], str)
    if not texts:
        return []
    if not settings.gossip_allowed:
        raise InvalidValueError(
            key="settings.Limits.Peers", problem="is not true: required if there are peers"
        )
    if len(texts) != settings.dispatcher_count or settings.dispatcher_index >= len(texts):
        raise top.invalid("peers", "settings.PeersTotal addresses, and settings.SlotNo below that number")
    peers = [ConfigSection({"peers": text}).address("peers") for text in texts]
    if len(set(peers)) < len(peers):
        raise top.invalid("peers", "distinct addresses")
    return peers
