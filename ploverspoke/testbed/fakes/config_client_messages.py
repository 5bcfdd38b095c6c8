"""What the process of config clients reads and sends, and the bodies of configuration that it publishes."""

from typing import Any, Literal, NamedTuple

import msgspec

from ..checkers.distribution_history import PublicationKind

LATENCY_OBJECTIVE_US = 200_000
DEADLINE_US = 500_000
PARTS = ("a", "b")  # each version brings one request class for each: a mix of versions shows


class ConfigClientsSpec(msgspec.Struct):
    """Whom the config clients call, and how often."""

    seed: int
    history: str  # file
    secret: str
    servers: dict[str, str]  # address of each config server, by name
    names: dict[str, str]  # a server's name by the address that servers give of it
    dispatchers: dict[str, list[str]]  # by name: the addresses for clients and for administrators
    discovery: str  # host
    publishers: int
    publish_interval: int  # mean, ns, of one publisher
    retry_share: float  # share of publications that are retried where no answer came
    probe_interval: int  # ns between two rounds at one dispatcher
    pause_interval: int  # mean, ns; then nothing follows a refused version for `pause`; 0: never
    pause: int  # ns


class ConfigClientsOpened(msgspec.Struct):
    """The first message of the process."""

    discovery: str  # address


Action = Literal["start", "publish last", "read servers"]


class ConfigClientsCommand(msgspec.Struct):
    """A message to the process.

    "start" begins to publish and probe; "publish last" ends publishing with one body that is accepted and one
    that dispatchers refuse; "read servers" records what all servers have.
    """

    action: Action


class ConfigClientsReply(msgspec.Struct):
    """The answer to a command, once it is done."""

    action: Action
    lateness: int  # ns, the largest so far


class PublishReply(msgspec.Struct):
    """A server's answer to a publication."""

    done: bool
    version: int
    why: str
    unknown: bool = False  # whether it is committed
    leader: str | None = None  # where the server does not lead; "": it knows no leader


class Publication(NamedTuple):
    """One body to publish; each has its tag, by which it is known at dispatchers."""

    id: str
    tag: int
    kind: PublicationKind
    refused_key: str  # that a refusal has to name
    expected_version: int
    body: str


class InvalidPart(msgspec.Struct, frozen=True):
    """What is wrong with a body, and the key that a refusal has to name."""

    key: str
    settings: dict[str, Any] = {}
    top_level: dict[str, Any] = {}


VALID = InvalidPart("")
# By the kind of publication that they belong to: refused by dispatchers, or by the servers themselves.
INVALID_PARTS = {
    PublicationKind.REJECTED_BY_DISPATCHERS: [
        InvalidPart("settings.Limits.MaxHandOffs", {"Limits": {"MaxHandOffs": 0}}),
        InvalidPart("settings.RoundUs", {"RoundUs": -1}),
        InvalidPart("settings.Discovery", {"Discovery": None}),
    ],
    PublicationKind.REJECTED_BY_SERVERS: [
        InvalidPart("listen", top_level={"listen": "127.0.0.1:1"}),
        InvalidPart("settings.SlotNo", {"SlotNo": 1}),
        InvalidPart("zones", top_level={"zones": []}),
    ],
}


def request_classes_of(tag: int) -> list[dict[str, Any]]:
    """Return the request classes of the body with that tag; 0 is the dispatcher's own file."""
    return [
        {
            "Name": f"g{tag}{part}",
            "Repeat": "free",
            "ExpectedTimeUs": LATENCY_OBJECTIVE_US,
            "AbandonTimeUs": DEADLINE_US,
        }
        for part in PARTS
    ]


def encode_body(tag: int, discovery: str, invalid_part: InvalidPart) -> str:
    """Return a body of configuration as JSON."""
    settings = {"ServiceGrades": request_classes_of(tag), **invalid_part.settings}
    body = {"settings": settings, "discovery": discovery, **invalid_part.top_level}
    return msgspec.json.encode(body).decode()
