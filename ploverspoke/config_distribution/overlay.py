"""What a version says: an overlay of the configuration that every dispatcher lays on its own file.

A body is a JSON object with `settings` and `discovery` for all, and with `zones` for those of one zone, each
laid on by JSON merge patch (RFC 7386). It is whole: it says nothing about the version before it.
"""

import json
from collections.abc import Mapping
from typing import Any

from ploverspoke.service.config_reader import ConfigError

SETTINGS, DISCOVERY, ZONES = "settings", "discovery", "zones"
PARTS = (SETTINGS, DISCOVERY)
OWN_SETTINGS = ("SlotNo", "Zone")  # which dispatcher it is: never the same for two
LONGEST_BODY = 1 << 20  # bytes
DEEPEST = 32


def read_body(text: str) -> dict[str, Any]:
    """A body, its structure checked: what it may speak of, not whether its values are good. Raises
    ConfigError."""
    if len(text.encode("utf-8", "surrogatepass")) > LONGEST_BODY:
        raise ConfigError(f"the body: expected {LONGEST_BODY} bytes at the most")
    try:
        body = json.loads(text, parse_constant=_no_number, object_pairs_hook=_once_each)
        text.encode()
    except ConfigError:
        raise
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"the body is no JSON: {error}"[:200]) from None
    if not isinstance(body, dict):
        raise ConfigError("the body: expected an object")
    for key in body:
        if key not in (*PARTS, ZONES):
            raise ConfigError(
                f"{key}: a dispatcher's own, expected settings, discovery and zones alone"[:200]
            )
    _check_parts({key: value for key, value in body.items() if key in PARTS}, "")
    zones = body.get(ZONES, {})
    if not isinstance(zones, dict):
        raise ConfigError("zones: expected an object")
    for name, parts in zones.items():
        if not isinstance(parts, dict):
            raise ConfigError(f"zones.{name}: expected an object"[:200])
        for key in parts:
            if key not in PARTS:
                raise ConfigError(f"zones.{name}.{key}: expected settings and discovery alone"[:200])
        _check_parts(parts, f"zones.{name}.")
    return body


def canonical(body: Mapping[str, Any]) -> str:
    """The same text for the same values, however they were written."""
    return json.dumps(body, sort_keys=True, separators=(",", ":"))


def merge_patch(target: Any, patch: Any) -> Any:
    """RFC 7386, section 2: objects are laid into one another, null takes a key away, all else replaces."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, Mapping) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def apply_overlay(own: Any, body: Mapping[str, Any]) -> Any:
    """A dispatcher's own configuration with a body laid on; the common part first, then that of its zone."""
    if not isinstance(own, Mapping):
        return own  # `parse_config` says what is wrong with it
    laid = merge_patch(own, {key: body[key] for key in PARTS if key in body})
    parts = body.get(ZONES, {}).get(zone_of(laid))
    return laid if parts is None else merge_patch(laid, parts)


def zone_of(configuration: Mapping[str, Any]) -> str | None:
    """The name of the zone that a dispatcher is in; None where it has none."""
    settings = configuration.get("settings")
    if not isinstance(settings, Mapping):
        return None
    names, number = settings.get("Localities"), settings.get("Zone", 0)
    if not isinstance(names, list) or not isinstance(number, int) or not 0 <= number < len(names):
        return None
    return names[number] if isinstance(names[number], str) else None


def _check_parts(parts: Mapping[str, Any], path: str) -> None:
    if not isinstance(parts.get(SETTINGS, {}), dict):
        raise ConfigError(f"{path}settings: expected an object")
    if not isinstance(parts.get(DISCOVERY, ""), str):
        raise ConfigError(f"{path}discovery: expected a text")
    for key in OWN_SETTINGS:
        if key in parts.get(SETTINGS, {}):
            raise ConfigError(f"{path}settings.{key}: a dispatcher's own, no version may set it")
    _check_depth(parts, path.rstrip(".") or "the body")


def _check_depth(value: Any, path: str) -> None:
    level, depth = [value], 0
    while level:
        depth += 1
        if depth > DEEPEST:
            raise ConfigError(f"{path}: expected {DEEPEST} levels at the most"[:200])
        level = [
            inner
            for one in level
            if isinstance(one, dict | list)
            for inner in (one.values() if isinstance(one, dict) else one)
        ]


def _once_each(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) < len(pairs):
        keys = [key for key, _ in pairs]
        twice = next(key for key in keys if keys.count(key) > 1)
        raise ConfigError(f"{twice}: twice in one object"[:200])
    return found


def _no_number(name: str) -> Any:
    raise ConfigError(f"the body: {name} is no number of JSON")
