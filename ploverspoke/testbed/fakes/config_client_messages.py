"""The messages of the config client process, and the configuration bodies that it publishes."""

from typing import Any, Literal, NamedTuple

import msgspec

from ..checkers.distribution_history import PublicationKind

LATENCY_OBJECTIVE_US = 200_000
DEADLINE_US = 500_000
# Each version defines one request class for each suffix, so that a mix of two versions is visible to probes.
CLASS_SUFFIXES = ("a", "b")


class ConfigClientsSpec(msgspec.Struct, rename={"server_names_by_address": "names"}):
    """The servers and dispatchers that the config clients call, and how often."""

    seed: int
    history: str  # path of the history file
    secret: str
    servers: dict[str, str]  # addresses of the config servers, by name
    # Names of the config servers, by the address that replies give for the leader.
    server_names_by_address: dict[str, str]
    dispatchers: dict[str, list[str]]  # by name: client address, admin address
    discovery: str  # host on which the fake discovery listens
    publishers: int
    publish_interval: int  # ns, mean for one publisher
    retry_share: float  # share of publications that are retried if no reply came
    probe_interval: int  # ns between two rounds of probes of one dispatcher
    pause_interval: int  # ns until the next pause; 0: no pauses
    pause: int  # ns for which nothing is published after a rejected version


class ConfigClientsOpened(msgspec.Struct):
    """The first message of the process."""

    discovery: str  # host:port


Action = Literal["start", "publish last", "read servers"]


class ConfigClientsCommand(msgspec.Struct):
    """A command to the process.

    "start" starts publishing and probing. "publish last" stops publishing, then publishes one body that is
    accepted and one that dispatchers reject. "read servers" records the versions and watchers of all servers.
    """

    action: Action


class ConfigClientsReply(msgspec.Struct):
    """The reply to a command, sent when the command is done."""

    action: Action
    lateness: int  # ns, largest so far


class PublishReply(msgspec.Struct, rename={"accepted": "done", "reason": "why", "is_unknown": "unknown"}):
    """A server's reply to a publish request."""

    accepted: bool
    version: int
    reason: str
    is_unknown: bool = False  # the publication may be committed or not
    leader: str | None = None  # only from a server that does not lead; "": it knows no leader


class Publication(NamedTuple):
    """One body to publish. Dispatchers that apply it know the request classes with its tag."""

    id: str
    tag: int
    kind: PublicationKind
    rejected_key: str  # key that a rejection has to name
    expected_version: int
    body: str


class BodyDefect(msgspec.Struct, frozen=True):
    """Content that makes a body invalid, and the key that a rejection has to name."""

    key: str
    settings: dict[str, Any] = {}
    top_level: dict[str, Any] = {}


NO_DEFECT = BodyDefect("")
# By the kind of publication: rejected by dispatchers, or by the config servers themselves.
BODY_DEFECTS = {
    PublicationKind.REJECTED_BY_DISPATCHERS: [
        BodyDefect("settings.Limits.MaxHandOffs", {"Limits": {"MaxHandOffs": 0}}),
        BodyDefect("settings.RoundUs", {"RoundUs": -1}),
        BodyDefect("settings.Discovery", {"Discovery": None}),
    ],
    PublicationKind.REJECTED_BY_SERVERS: [
        BodyDefect("listen", top_level={"listen": "127.0.0.1:1"}),
        BodyDefect("settings.SlotNo", {"SlotNo": 1}),
        BodyDefect("zones", top_level={"zones": []}),
    ],
}


def request_classes_of(tag: int) -> list[dict[str, Any]]:
    """Return the request classes of the body with that tag; tag 0 is the dispatcher's own file."""
    return [
        {
            "Name": f"g{tag}{suffix}",
            "Repeat": "free",
            "ExpectedTimeUs": LATENCY_OBJECTIVE_US,
            "AbandonTimeUs": DEADLINE_US,
        }
        for suffix in CLASS_SUFFIXES
    ]


def encode_body(tag: int, discovery: str, defect: BodyDefect) -> str:
    """Return a configuration body as JSON."""
    settings = {"ServiceGrades": request_classes_of(tag), **defect.settings}
    body = {"settings": settings, "discovery": discovery, **defect.top_level}
    return msgspec.json.encode(body).decode()
