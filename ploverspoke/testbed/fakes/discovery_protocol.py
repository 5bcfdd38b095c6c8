"""The protocol between dispatchers and fake discoveries: queries for the endpoint list, and their answers."""

from collections.abc import Sequence
from urllib.parse import parse_qs, urlsplit

import msgspec

from .http_wire import HttpMessage, encode_response

LIST_PATH = "/api/targets"


class ListedEndpoint(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, rename={"rack": "cell"}):
    """One worker in the endpoint list."""

    id: str
    addr: str  # host:port
    zone: str
    kind: str
    state: str  # "Ready", "Terminating" or "Gone"
    rack: int | msgspec.UnsetType = msgspec.UNSET
    weight: float | msgspec.UnsetType = msgspec.UNSET
    started_ms: int  # Unix time of the worker's start; 0: long ago


class EndpointListUpdate(msgspec.Struct, frozen=True, rename={"is_full": "full", "endpoints": "servers"}):
    """The whole endpoint list, or the entries that changed since the version of a watch."""

    version: int
    is_full: bool
    endpoints: Sequence[ListedEndpoint]


class ListQuery(msgspec.Struct, frozen=True):
    """A query for the endpoint list: a watch if it names a version, else a request for the whole list."""

    path: str
    version: int | None
    hold_ms: int  # longest time that a watch waits for a change

    @property
    def hold_seconds(self) -> float:
        """The longest time that a watch waits for a change."""
        return self.hold_ms / 1000


def parse_list_query(request: HttpMessage) -> ListQuery:
    """Parse the target of a request.

    Raises:
        ValueError: a parameter is not a number.
    """
    target = urlsplit(request.target)
    parameters = parse_qs(target.query)
    version = int(parameters["from"][0]) if "from" in parameters else None
    return ListQuery(target.path, version, int(parameters.get("hold_ms", ["0"])[0]))


def encode_list_update(update: EndpointListUpdate) -> bytes:
    """Return the HTTP response with that update."""
    return encode_response(200, "OK", msgspec.json.encode(update))
