"""The briefing: all that a dispatcher is told at its start, read and checked in this one place."""

import ipaddress
import json
from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Any, NamedTuple

from ploverspoke.decisions.settings import DeploymentNames, Settings
from ploverspoke.protocol.discovery import parse_endpoint_list
from ploverspoke.protocol.errors import EndpointListError
from ploverspoke.transport.units import MEBIBYTE

from .config_reader import ConfigError, ConfigSection
from .settings import parse_names, parse_settings

FEWEST_SOCKETS = 64
LEAST_MEMORY_MB = 32


class Config(NamedTuple):
    name: str
    listen: tuple[str, int]
    admin: tuple[str, int] | None  # where operators call; None: nowhere
    discovery: str
    seed: int
    sockets: int  # descriptors that the whole program may hold
    memory: int  # bytes that it may take
    known: Mapping[str, Any] | None  # the list of workers as it was last had, in discovery's form
    settings: Settings
    names: DeploymentNames
    document: Mapping[str, Any] = {}  # all of it as it stood there, but for the list of workers
    peers: Sequence[tuple[str, int]] = ()  # where each dispatcher hears the others, by its number
    cannot_tell: bool = False  # messages to others are permitted, and there are no addresses


def read_config(environment: Mapping[str, str]) -> Config:
    """Raises ConfigError."""
    return parse_config(read_config_document(environment), environment)


def read_config_document(environment: Mapping[str, str]) -> Any:
    """From the file that RELAY_CONFIG names; what it leaves out, from the other variables. Raises
    ConfigError."""
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set: expected the path of the configuration")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as error:
        raise ConfigError(f"RELAY_CONFIG: {path} cannot be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"RELAY_CONFIG: {path} is no JSON: {error}") from None
    return told


def parse_config(told: Any, environment: Mapping[str, str]) -> Config:
    """What a configuration says, checked. Raises ConfigError."""
    top = ConfigSection(told)
    if "settings" not in top.value:
        raise top.bad("settings", "an object")
    listen = address(top, "listen", environment.get("RELAY_LISTEN"))
    address(top, "discovery", environment.get("RELAY_DISCOVERY"))
    admin = environment.get("RELAY_ADMIN_ADDR")
    has_admin = admin is not None or top.value.get("admin_addr") is not None
    seed = top.text("seed", "0")
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise top.bad("seed", "a hexadecimal number in a text") from None
    known = top.value.get("known")
    if known is not None:
        try:
            parse_endpoint_list(known)
        except EndpointListError as error:
            raise top.bad("known", f"a list in discovery's form ({error})") from None
    limits = top.part("limits")
    settings = parse_settings(top.value["settings"], "settings")
    peers = _peers(top, settings)
    # Nothing is told where there is no way to.
    cannot_tell = settings.gossip_allowed and not peers
    settings = replace(settings, gossip_allowed=bool(peers))
    return Config(
        top.text("name", environment.get("RELAY_NAME", "dispatcher")),
        listen,
        address(top, "admin_addr", admin) if has_admin else None,
        top.text("discovery", environment.get("RELAY_DISCOVERY")),
        seed_number,
        limits.whole("sockets", 1024, least=FEWEST_SOCKETS),
        limits.whole("memory_mb", 192, least=LEAST_MEMORY_MB) * MEBIBYTE,
        known,
        settings,
        parse_names(top.value["settings"], "settings"),
        {key: value for key, value in top.value.items() if key != "known"},
        peers,
        cannot_tell,
    )


def _peers(top: ConfigSection, settings: Settings) -> list[tuple[str, int]]:
    """One address for each dispatcher; told to others only where the settings permit messages, too."""
    texts = top.row("peers", [], str)
    if not texts:
        return []
    if not settings.gossip_allowed:
        raise ConfigError("settings.Limits.Peers is not true: expected that beside peers")
    if len(texts) != settings.dispatcher_count or settings.dispatcher_index >= len(texts):
        raise top.bad("peers", "an address for each of settings.PeersTotal, settings.SlotNo among them")
    found = [address(ConfigSection({"peers": text}), "peers", None) for text in texts]
    if len(set(found)) < len(found):
        raise top.bad("peers", "addresses that differ")
    return found


def address(top: ConfigSection, name: str, default: str | None) -> tuple[str, int]:
    host, _, port = top.text(name, default).rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 0 < int(port) < 65536:
            raise ValueError
    except ValueError:
        raise top.bad(name, "an address and a port, as 127.0.0.1:8081") from None
    return host.strip("[]"), int(port)
