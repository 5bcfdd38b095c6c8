"""Builds a replica's configuration from its own file and the shared configuration.

`settings` and `discovery` come from the store once a configuration was committed there. Limits, seed and
addresses always come from the file of each machine.
"""

import json
import os
from collections.abc import Mapping

from ploverspoke.consensus.cluster_config import ReplicaConfig
from ploverspoke.protocol.discovery import EndpointListDocument
from ploverspoke.service.config import Config, parse_config
from ploverspoke.service.config_reader import ConfigSection

SHARED_KEYS = ("settings", "discovery")


def merge_config(
    document: object, shared_body: str, replica_config: ReplicaConfig, endpoints: EndpointListDocument | None
) -> Config:
    """Merge a dispatcher's own document with the shared configuration and the latest known endpoints.

    `shared_body` is JSON, or "" if none was committed. Raises ConfigError, which names the invalid key.
    """
    name = replica_config.name
    listen = replica_config.replicas[name].client
    ConfigSection({"clients": listen}, f"replicas.{name}").address("clients")
    merged: dict[str, object] = dict(ConfigSection(document).value)
    if shared_body:
        merged |= _select_shared(json.loads(shared_body))
    if endpoints is not None and merged.get("known") is None:
        merged["known"] = endpoints
    return parse_config({**merged, "listen": listen, "name": name}, os.environ)


def _select_shared(shared: Mapping[str, object]) -> dict[str, object]:
    return {key: value for key, value in shared.items() if key in SHARED_KEYS}
