"""The replicated versions: compare-and-swap, repeated requests, limits and snapshots."""

import json

from ploverspoke.config_distribution.overlay import canonical_json
from ploverspoke.config_distribution.state_machine import (
    MAX_VERSIONS,
    ConfigStateMachine,
    PublishCommand,
    PublishResult,
    digest_of,
)

from .samples import body


def publish(state: ConfigStateMachine, text: str, expected_version: int, request: str) -> PublishResult:
    canonical_digest = digest_of(canonical_json(json.loads(text)))
    state.apply(0, PublishCommand(text, canonical_digest, expected_version, "me", request).encode())
    return state.results[request]


def test_publish_is_applied_once_and_only_on_the_expected_version() -> None:
    state, seen = ConfigStateMachine(), []
    state.on_version = lambda version: seen.append(version.number)
    assert publish(state, body(1), 0, "a") == PublishResult(True, 1, "")
    conflict = PublishResult(False, 1, "version 1 is in force, and 0 was expected")
    assert publish(state, body(2), 0, "b") == conflict
    assert publish(state, body(2), 1, "c") == PublishResult(True, 2, "")
    assert publish(state, body(2), 1, "c") == PublishResult(True, 2, "")  # repeated: no new version
    assert publish(state, body(2), 1, "b").accepted is False  # a repeated request stays rejected
    same = json.dumps(json.loads(body(2)), indent=3)
    assert publish(state, same, 2, "d") == PublishResult(True, 2, "version 2 says the same")
    state.apply(0, b"\x91\xa4what")  # a command of a later release
    assert seen == [1, 2]
    other = ConfigStateMachine()
    other.restore_snapshot(state.take_snapshot())
    assert other.version_rows() == state.version_rows() and other.results == state.results
    for number in range(3, 2 * MAX_VERSIONS):
        assert publish(other, body(number), number - 1, f"n{number}").version == number
    assert [row.number for row in other.version_rows()] == list(range(MAX_VERSIONS, 2 * MAX_VERSIONS))
    large = [json.dumps({"settings": {"x": f"{number}" * 900_000}}) for number in range(9)]
    for at, text in enumerate(large):
        publish(other, text, 2 * MAX_VERSIONS - 1 + at, f"l{at}")
    assert 2 <= len(other.versions) <= 6
    assert other.latest_number() == 2 * MAX_VERSIONS - 1 + len(large)
