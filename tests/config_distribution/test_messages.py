"""Messages of config servers and watchers: accepted messages, and the reasons for rejections."""

import zlib

import pytest

from ploverspoke.config_distribution.errors import MessageRejectedError
from ploverspoke.config_distribution.messages import (
    Heartbeat,
    UnverifiedVersion,
    VerifiedVersion,
    WatchStatus,
    pack_version,
    read_server_message,
    read_watch_status,
    read_watcher_greeting,
)
from ploverspoke.config_distribution.overlay import MAX_BODY_BYTES
from ploverspoke.config_distribution.state_machine import digest_of

from .samples import body, decoded, status, version, whole_version_message


def verified(message: object, base_body: str) -> VerifiedVersion:
    parsed = read_server_message(message)
    assert isinstance(parsed, UnverifiedVersion)
    return parsed.verify("fleet", base_body)


def test_delta_is_small_and_unpacks_to_the_same_version_as_the_whole() -> None:
    delta = pack_version("fleet", version(2), body(1))
    expected = (2, version(2).digest, body(2))
    assert verified(decoded(delta), body(1)) == verified(decoded(whole_version_message(2)), "") == expected
    assert len(delta.compressed_body) < 60 and len(whole_version_message(2).compressed_body) > 500


def corrupt(**fields: object) -> dict[str, object]:
    return {**decoded(whole_version_message(2)), **fields}


@pytest.mark.parametrize(
    ("message", "expected"),
    [
        (corrupt(v=2), "format version 2"),
        (corrupt(v=None), "format version None"),
        (corrupt(c="other"), "cluster 'other'"),
        (corrupt(n=True), "malformed version message"),
        (corrupt(n=-1), "malformed version message"),
        (corrupt(d=b"short"), "malformed version message"),
        (corrupt(d=digest_of("")), "wrong digest"),
        (corrupt(z="text"), "malformed version message"),
        (corrupt(z=b"garbage"), "cannot be unpacked"),
        (corrupt(z=whole_version_message(2).compressed_body[:-3]), "truncated"),
        (corrupt(z=whole_version_message(2).compressed_body + b"x"), "trailing data"),
        (corrupt(z=zlib.compress(b"x" * 50 * MAX_BODY_BYTES)), "over 1048576 bytes"),
        (corrupt(z=zlib.compress(b"\xff\xfe")), "cannot be unpacked"),
        (decoded(pack_version("fleet", version(2), body(7))), "a body that this watcher does not have"),
    ],
)
def test_corrupt_or_foreign_version_message_is_rejected(message: object, expected: str) -> None:
    with pytest.raises(MessageRejectedError, match=expected):
        verified(message, body(1))


def test_malformed_status_heartbeat_and_greeting_are_rejected() -> None:
    full = WatchStatus(3, digest_of("x"), 2, "settings.X is missing", 0, True)
    assert read_watch_status(decoded(full)) == full
    assert read_server_message(decoded(Heartbeat(4, True))) == Heartbeat(4, True)
    good = decoded(status(1))
    bad: list[object] = [
        None,
        [],
        {},
        {**good, "k": "beat"},
        {**good, "n": "1"},
        {**good, "f": -1},
        {**good, "w": None},
    ]
    for message in [*bad, {**good, "d": "text"}, {**good, "d": b"x"}, {**good, "n": 1 << 60}]:
        with pytest.raises(MessageRejectedError):
            read_watch_status(message)
    with pytest.raises(MessageRejectedError):
        read_server_message({"k": "beat", "n": 1, "l": 1})
    greeting = {"id": "n1", "store": "", "watch": 1, "cluster": "fleet"}
    assert read_watcher_greeting(greeting, "fleet") == "n1"
    for other in ({"id": ""}, {"id": 7}, {"id": "a\nb"}, {"id": "n" * 200}, {"watch": 2}, {"cluster": "x"}):
        with pytest.raises(MessageRejectedError):
            read_watcher_greeting({**greeting, **other}, "fleet")
