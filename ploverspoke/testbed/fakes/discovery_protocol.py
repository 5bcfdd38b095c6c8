"""What fake discoveries and dispatchers send each other: queries for the endpoint list, and its versions."""

from collections.abc import Sequence
from urllib.parse import parse_qs, urlsplit

import msgspec

from .http_wire import HttpMessage, encode_response

LIST_PATH = "/api/targets"


class ListedEndpoint(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One worker as the endpoint list shows it."""

    id: str
    addr: str  # host:port
    zone: str
    kind: str
    state: str  # "Ready", "Terminating" or "Gone"
    cell: int | msgspec.UnsetType = msgspec.UNSET  # its rack
    weight: float | msgspec.UnsetType = msgspec.UNSET
    started_ms: int  # Unix time; 0: long ago


class EndpointListUpdate(msgspec.Struct, frozen=True, rename={"is_full": "full", "endpoints": "servers"}):
    """The whole list, or the entries that have changed since the version of a watch."""

    version: int
    is_full: bool
    endpoints: Sequence[ListedEndpoint]


class ListQuery(msgspec.Struct, frozen=True):
    """A query for the list: a watch where it names a version, else for the whole list at once."""

    path: str
    version: int | None
    hold_ms: int  # how long a watch may wait for a change

    @property
    def hold_seconds(self) -> float:
        """How long a watch may wait for a change."""
        return self.hold_ms / 1000


def parse_list_query(request: HttpMessage) -> ListQuery:
    """Read the target of a request.

    Raises:
        ValueError: a number in it is none.
    """
    target = urlsplit(request.target)
    parameters = parse_qs(target.query)
    version = int(parameters["from"][0]) if "from" in parameters else None
    return ListQuery(target.path, version, int(parameters.get("hold_ms", ["0"])[0]))


def encode_list_update(update: EndpointListUpdate) -> bytes:
    """Return the response with that list."""
    return encode_response(200, "OK", msgspec.json.encode(update))
