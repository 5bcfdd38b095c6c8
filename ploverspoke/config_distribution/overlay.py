"""The body of a version: an overlay on each dispatcher's own configuration.

A body is a JSON object with `settings` and `discovery` for all dispatchers, and with `zones` for the
dispatchers of one zone, each applied as a JSON merge patch (RFC 7386). It is complete: it does not depend on
earlier versions.

Servers send the errors of this module to operators, so the error texts are part of the wire format.
"""

import json
from collections.abc import Mapping
from typing import NoReturn, TypeAlias

from ploverspoke.service.config_reader import ConfigError

SETTINGS, DISCOVERY, ZONES = "settings", "discovery", "zones"
OVERLAY_KEYS = (SETTINGS, DISCOVERY)
IDENTITY_SETTINGS = ("SlotNo", "Zone")  # both together identify a dispatcher; no two have the same pair
MAX_BODY_BYTES = 1 << 20
MAX_DEPTH = 32
MAX_ERROR_CHARACTERS = 200
WHOLE_BODY = "the body"  # stands for the key in errors about the whole body

JsonObject: TypeAlias = dict[str, object]


def read_body(text: str) -> JsonObject:
    """Parse a body and check its structure; dispatchers check the values.

    Raises ConfigError with the invalid key.
    """
    if len(text.encode("utf-8", "surrogatepass")) > MAX_BODY_BYTES:
        raise _body_error(WHOLE_BODY, f"expected {MAX_BODY_BYTES} bytes at the most")
    body = _parse(text)
    for key in body:
        if key not in (*OVERLAY_KEYS, ZONES):
            raise _body_error(key, "a dispatcher's own, expected settings, discovery and zones alone")
    _check_overlay({key: value for key, value in body.items() if key in OVERLAY_KEYS}, "")
    zones = body.get(ZONES, {})
    if not isinstance(zones, dict):
        raise _body_error(ZONES, "expected an object")
    for zone, overlay in zones.items():
        _check_zone(zone, overlay)
    return body


def canonical_json(document: Mapping[str, object]) -> str:
    """Return a canonical text, which is equal for documents with equal values."""
    return json.dumps(document, sort_keys=True, separators=(",", ":"))


def merge_patch(target: object, patch: object) -> object:
    """Apply a JSON merge patch (RFC 7386, section 2): merge objects, remove null keys, replace all else."""
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, Mapping) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = merge_patch(merged.get(key), value)
    return merged


def apply_overlay(own_config: object, body: JsonObject) -> object:
    """Apply a body to a dispatcher's own configuration: first the common overlay, then that of its zone."""
    if not isinstance(own_config, Mapping):
        return own_config  # `parse_config` reports the error
    patched = merge_patch(own_config, {key: body[key] for key in OVERLAY_KEYS if key in body})
    zones = body.get(ZONES)
    overlay = zones.get(zone_of(patched)) if isinstance(zones, dict) else None
    return patched if overlay is None else merge_patch(patched, overlay)


def zone_of(configuration: object) -> str | None:
    """Return the name of a dispatcher's zone; None if it has none."""
    settings = configuration.get(SETTINGS) if isinstance(configuration, Mapping) else None
    if not isinstance(settings, Mapping):
        return None
    zone_names, number = settings.get("Localities"), settings.get("Zone", 0)
    if not isinstance(zone_names, list) or not isinstance(number, int) or not 0 <= number < len(zone_names):
        return None
    return zone_names[number] if isinstance(zone_names[number], str) else None


# ---- Checks ----


def _body_error(key: str, problem: str) -> ConfigError:
    return ConfigError(problem, key=key, max_length=MAX_ERROR_CHARACTERS)


def _parse(text: str) -> JsonObject:
    try:
        body = json.loads(text, parse_constant=_reject_constant, object_pairs_hook=_unique_keys)
        text.encode()
    except ConfigError:
        raise
    except (ValueError, RecursionError) as error:
        problem = f"the body is not valid JSON: {error}"
        raise ConfigError(problem, max_length=MAX_ERROR_CHARACTERS) from error
    if not isinstance(body, dict):
        raise _body_error(WHOLE_BODY, "expected an object")
    return body


def _check_zone(zone: str, overlay: object) -> None:
    if not isinstance(overlay, dict):
        raise _body_error(f"zones.{zone}", "expected an object")
    for key in overlay:
        if key not in OVERLAY_KEYS:
            raise _body_error(f"zones.{zone}.{key}", "expected settings and discovery alone")
    _check_overlay(overlay, f"zones.{zone}.")


def _check_overlay(overlay: JsonObject, path: str) -> None:
    settings = overlay.get(SETTINGS, {})
    if not isinstance(settings, dict):
        raise ConfigError(problem="expected an object", key=f"{path}settings")
    if not isinstance(overlay.get(DISCOVERY, ""), str):
        raise ConfigError(problem="expected a text", key=f"{path}discovery")
    for key in IDENTITY_SETTINGS:
        if key in settings:
            problem = "a dispatcher's own, no version may set it"
            raise ConfigError(problem, key=f"{path}settings.{key}")
    _check_depth(overlay, path.rstrip(".") or WHOLE_BODY)


def _check_depth(document: object, path: str) -> None:
    level, depth = [document], 0
    while level:
        depth += 1
        if depth > MAX_DEPTH:
            raise _body_error(path, f"expected {MAX_DEPTH} levels at the most")
        level = [child for value in level for child in _children(value)]


def _children(value: object) -> list[object]:
    if isinstance(value, dict):
        return list(value.values())
    return value if isinstance(value, list) else []


def _unique_keys(pairs: list[tuple[str, object]]) -> JsonObject:
    json_object = dict(pairs)
    if len(json_object) < len(pairs):
        keys = [key for key, _ in pairs]
        repeated = next(key for key in keys if keys.count(key) > 1)
        raise _body_error(repeated, "twice in one object")
    return json_object


def _reject_constant(name: str) -> NoReturn:
    raise _body_error(WHOLE_BODY, f"{name} is no number of JSON")
