"""Sample versions with numbered bodies for the tests of this folder."""

import json

import msgspec

from ploverspoke.config_distribution.messages import VersionMessage, WatchStatus, pack_version
from ploverspoke.config_distribution.overlay import canonical_json
from ploverspoke.config_distribution.state_machine import Version, digest_of

NO_STATUS = WatchStatus(0, b"", 0, "", 0)
CLUSTER = "fleet"


def body(number: int) -> str:
    return json.dumps({"settings": {"Number": number, "Same": list(range(400))}})


def version(number: int) -> Version:
    text = body(number)
    canonical_digest = digest_of(canonical_json(json.loads(text)))
    return Version(number, text, digest_of(text), canonical_digest, "me", f"id{number}")


def status(number: int) -> WatchStatus:
    """Return the status of a watcher that has applied this version."""
    return WatchStatus(number, version(number).digest, number, "", 0)


def decoded(message: msgspec.Struct) -> dict[str, object]:
    """Return a message as the receiver decodes it."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=dict[str, object])


def whole_version_message(number: int, cluster: str = CLUSTER) -> VersionMessage:
    return pack_version(cluster, version(number), None)
