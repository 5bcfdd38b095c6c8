"""Version bodies: validation, and application to a dispatcher's own configuration."""

import json

import pytest

from ploverspoke.config_distribution.overlay import MAX_BODY_BYTES, apply_overlay, merge_patch, read_body
from ploverspoke.service.config_reader import ConfigError


def test_overlay_is_a_merge_patch_with_the_zone_part_last() -> None:
    own = {
        "name": "n7",
        "discovery": "a:1",
        "settings": {
            "SlotNo": 7,
            "Zone": 1,
            "Localities": ["a", "b"],
            "Limits": {"MaxOpen": 5, "Cancel": True},
        },
    }
    overlay: dict[str, object] = {
        "settings": {"Limits": {"MaxOpen": 9, "Cancel": None}, "Round": [1, 2]},
        "zones": {
            "a": {"discovery": "x:1"},
            "b": {"discovery": "b:1", "settings": {"Limits": {"MaxOpen": 3}}},
        },
    }
    applied = apply_overlay(own, read_body(json.dumps(overlay)))
    assert isinstance(applied, dict)
    assert applied["settings"] == {
        "SlotNo": 7,
        "Zone": 1,
        "Localities": ["a", "b"],
        "Limits": {"MaxOpen": 3},
        "Round": [1, 2],
    }
    assert (applied["name"], applied["discovery"], own["discovery"]) == ("n7", "b:1", "a:1")
    without_zone = apply_overlay({**own, "settings": {"Zone": 5}}, overlay)
    assert isinstance(without_zone, dict)
    assert without_zone["discovery"] == "a:1"
    # Examples of RFC 7386, appendix A.
    for target, patch, result in (
        ({"a": "b"}, {"a": None}, {}),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
        ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
        ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ):
        assert merge_patch(target, patch) == result


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"name": "n1"}', "name: a dispatcher's own"),
        ('{"limits": {}}', "limits: a dispatcher's own"),
        ('{"settings": {"SlotNo": 1}}', "settings.SlotNo"),
        ('{"zones": {"a": {"settings": {"Zone": 1}}}}', "zones.a.settings.Zone"),
        ('{"zones": {"a": {"peers": []}}}', "zones.a.peers"),
        ('{"zones": {"a": 1}}', "zones.a: expected an object"),
        ('{"settings": []}', "settings: expected an object"),
        ('{"settings": null}', "settings: expected an object"),
        ('{"discovery": 1}', "discovery: expected a text"),
        ('{"settings": {"A": 1, "A": 2}}', "A: twice"),
        ('{"settings": {"A": NaN}}', "NaN"),
        ("[]", "expected an object"),
        ("{", "not valid JSON"),
        ("[" * 100_000, "not valid JSON"),
        ('{"settings": ' + '{"a":' * 40 + "1" + "}" * 41, "levels"),
        ('{"settings": {"a": "' + "x" * MAX_BODY_BYTES + '"}}', "bytes at the most"),
    ],
)
def test_invalid_body_is_rejected_with_its_key(text: str, expected: str) -> None:
    with pytest.raises(ConfigError, match=expected):
        read_body(text)
