"""The body of a version: an overlay on the own configuration of every dispatcher.

A body is a JSON object with `settings` and `discovery` for all dispatchers, and with `zones` for those of one
zone, each applied as a JSON merge patch (RFC 7386). It is complete: it does not depend on earlier versions.

Errors of this module reach operators through the replies of servers, so their texts are part of the wire.
"""

import json
from collections.abc import Mapping
from typing import NoReturn, TypeAlias

from ploverspoke.service.config_reader import ConfigError

SETTINGS, DISCOVERY, ZONES = "settings", "discovery", "zones"
PARTS = (SETTINGS, DISCOVERY)
IDENTITY_SETTINGS = ("SlotNo", "Zone")  # which dispatcher it is: never the same for two
MAX_BODY_BYTES = 1 << 20
MAX_DEPTH = 32
MAX_ERROR_CHARACTERS = 200
WHOLE_BODY = "the body"  # in place of a key

JsonObject: TypeAlias = dict[str, object]


def read_body(text: str) -> JsonObject:
    """A body whose structure is checked; its values are left to the dispatcher's own checks.

    Raises ConfigError with the key.
    """
    if len(text.encode("utf-8", "surrogatepass")) > MAX_BODY_BYTES:
        raise _error(WHOLE_BODY, f"expected {MAX_BODY_BYTES} bytes at the most")
    body = _parse(text)
    for key in body:
        if key not in (*PARTS, ZONES):
            raise _error(key, "a dispatcher's own, expected settings, discovery and zones alone")
    _check_parts({key: value for key, value in body.items() if key in PARTS}, "")
    zones = body.get(ZONES, {})
    if not isinstance(zones, dict):
        raise _error(ZONES, "expected an object")
    for zone, parts in zones.items():
        _check_zone(zone, parts)
    return body


def canonical_json(document: Mapping[str, object]) -> str:
    """The same text for the same values, however they were written."""
    return json.dumps(document, sort_keys=True, separators=(",", ":"))


def merge_patch(target: object, patch: object) -> object:
    """RFC 7386, section 2: objects are merged, null removes a key, all else replaces."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, Mapping) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def apply_overlay(own: object, body: JsonObject) -> object:
    """A dispatcher's own configuration with a body applied: the common part first, then that of its zone."""
    if not isinstance(own, Mapping):
        return own  # `parse_config` reports what is wrong with it
    patched = merge_patch(own, {key: body[key] for key in PARTS if key in body})
    zones = body.get(ZONES)
    parts = zones.get(zone_of(patched)) if isinstance(zones, dict) else None
    return patched if parts is None else merge_patch(patched, parts)


def zone_of(configuration: object) -> str | None:
    """The name of the zone that a dispatcher is in; None where it has none."""
    settings = configuration.get(SETTINGS) if isinstance(configuration, Mapping) else None
    if not isinstance(settings, Mapping):
        return None
    zone_names, number = settings.get("Localities"), settings.get("Zone", 0)
    if not isinstance(zone_names, list) or not isinstance(number, int) or not 0 <= number < len(zone_names):
        return None
    return zone_names[number] if isinstance(zone_names[number], str) else None


# ---- Checks ----


def _error(key: str, problem: str) -> ConfigError:
    return ConfigError(problem, key=key, longest=MAX_ERROR_CHARACTERS)


def _parse(text: str) -> JsonObject:
    try:
        body = json.loads(text, parse_constant=_reject_constant, object_pairs_hook=_unique_keys)
        text.encode()
    except ConfigError:
        raise
    except (ValueError, RecursionError) as error:
        problem = f"the body is no JSON: {error}"
        raise ConfigError(problem, longest=MAX_ERROR_CHARACTERS) from error
    if not isinstance(body, dict):
        raise _error(WHOLE_BODY, "expected an object")
    return body


def _check_zone(zone: str, parts: object) -> None:
    if not isinstance(parts, dict):
        raise _error(f"zones.{zone}", "expected an object")
    for key in parts:
        if key not in PARTS:
            raise _error(f"zones.{zone}.{key}", "expected settings and discovery alone")
    _check_parts(parts, f"zones.{zone}.")


def _check_parts(parts: JsonObject, path: str) -> None:
    settings = parts.get(SETTINGS, {})
    if not isinstance(settings, dict):
        raise ConfigError(problem="expected an object", key=f"{path}settings")
    if not isinstance(parts.get(DISCOVERY, ""), str):
        raise ConfigError(problem="expected a text", key=f"{path}discovery")
    for key in IDENTITY_SETTINGS:
        if key in settings:
            problem = "a dispatcher's own, no version may set it"
            raise ConfigError(problem, key=f"{path}settings.{key}")
    _check_depth(parts, path.rstrip(".") or WHOLE_BODY)


def _check_depth(document: object, path: str) -> None:
    level, depth = [document], 0
    while level:
        depth += 1
        if depth > MAX_DEPTH:
            raise _error(path, f"expected {MAX_DEPTH} levels at the most")
        level = [child for value in level for child in _children(value)]


def _children(value: object) -> list[object]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []


def _unique_keys(pairs: list[tuple[str, object]]) -> JsonObject:
    found = dict(pairs)
    if len(found) < len(pairs):
        keys = [key for key, _ in pairs]
        repeated = next(key for key in keys if keys.count(key) > 1)
        raise _error(repeated, "twice in one object")
    return found


def _reject_constant(name: str) -> NoReturn:
    raise _error(WHOLE_BODY, f"{name} is no number of JSON")
