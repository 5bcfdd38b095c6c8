"""HTTP with discovery: writes requests for the endpoint list and its changes, and reads the responses."""

from collections.abc import Callable, Mapping
from typing import NamedTuple, TypedDict

import httptools

from ploverspoke.transport.units import MILLISECOND

from . import wire_names as wire
from .errors import EndpointListError, HttpSyntaxError, WatchRejectedError
from .http_messages import HttpMessageReader, encode_head
from .json_values import is_finite, parse_json

MAX_LIST_SIZE = 1024 * 1024  # bytes of the response body; the parsed list takes ten times as much memory
OVERLOAD_STATUSES = (429, 503)


class EndpointEntry(NamedTuple):
    """One worker of an endpoint list; zone, machine kind and state are the names used by discovery."""

    name: str
    address: str
    zone: str
    machine_kind: str
    rack: int
    state: str
    weight: float
    started_ms: int  # Unix time; 0: unknown


class InvalidEntryError(EndpointListError):
    """An entry of a list is invalid; the error carries the valid entries before it."""

    def __init__(self, *, reason: str, entries_before: list[EndpointEntry]) -> None:
        """`reason` describes the problem of the invalid entry."""
        super().__init__(reason=reason)
        self.entries_before = entries_before


class EndpointListDocument(TypedDict):
    """An endpoint list in the JSON form used by discovery and in configurations."""

    version: int
    full: bool  # false: only the entries that changed
    servers: list[dict[str, object]]


class EndpointList(NamedTuple):
    """A parsed endpoint list: the response to a watch request."""

    version: int
    is_complete: bool  # false: only the entries that changed
    entries: list[EndpointEntry]


def encode_watch_request(version: int | None, max_wait: int, address: str) -> bytes:
    """Return a request for the changes since `version`, or for the complete list if `version` is None.

    Discovery may wait up to `max_wait` ns for a change before it responds.
    """
    target = wire.ENDPOINTS_PATH
    if version is not None:
        target += f"?{wire.LIST_SINCE}={version}&{wire.LIST_MAX_WAIT}={max_wait // MILLISECOND}"
    return encode_head(f"GET {target} HTTP/1.1", {"Host": address})


class EndpointListReader(HttpMessageReader[httptools.HttpResponseParser]):
    """Reads one response with an endpoint list."""

    max_body_size = MAX_LIST_SIZE

    def __init__(self, on_complete: Callable[[bytes, bool], None]) -> None:
        """`on_complete` receives the body, and whether the connection can carry another request."""
        super().__init__(httptools.HttpResponseParser)
        self.on_complete = on_complete

    def close(self) -> None:
        """Break the reference cycles with the parser and the listener, which would delay the release."""
        self.drop_message()
        del self.parser
        del self.on_complete

    def on_message_complete(self) -> None:
        """Pass on the body. Raises WatchRejectedError or HttpSyntaxError if the status is not 200."""
        status = self.parser.get_status_code()
        if status < 200:
            return
        if status in OVERLOAD_STATUSES:
            self.fail(WatchRejectedError(f"answered {status}"))
        if status != 200:
            self.fail(HttpSyntaxError(f"answered {status}"))
        self.on_complete(bytes(self.body), self.keeps_alive())


def read_endpoint_list(body: bytes) -> EndpointList:
    """Return the list in the body of a response. Raises EndpointListError."""
    return parse_endpoint_list(parse_json(body))


def parse_endpoint_list(document: object) -> EndpointList:
    """Return the list in a JSON document. Raises EndpointListError."""
    if not isinstance(document, Mapping):
        raise EndpointListError(reason="the list is not a JSON object")
    version, is_complete = document.get(wire.LIST_VERSION), document.get(wire.LIST_IS_COMPLETE)
    entries = document.get(wire.LIST_ENDPOINTS)
    if not isinstance(version, int) or not isinstance(is_complete, bool) or not isinstance(entries, list):
        raise EndpointListError(reason="the list lacks version, full or servers")
    parsed: list[EndpointEntry] = []
    for entry in entries:
        try:
            parsed.append(_parse_entry(entry))
        except EndpointListError as error:
            raise InvalidEntryError(reason=error.reason, entries_before=parsed) from error
    return EndpointList(version, is_complete, parsed)


def _parse_entry(entry: object) -> EndpointEntry:
    if not isinstance(entry, Mapping):
        raise EndpointListError(reason="an entry of the list is no object")
    name, address = entry.get(wire.ENDPOINT_NAME), entry.get(wire.ENDPOINT_ADDRESS, "")
    if not isinstance(name, str) or not isinstance(address, str):
        raise EndpointListError(reason="an entry of the list lacks id or addr")
    weight, started_ms = entry.get(wire.ENDPOINT_WEIGHT, 1.0), entry.get(wire.ENDPOINT_STARTED, 0)
    if not is_finite(weight) or not is_finite(started_ms):
        raise EndpointListError(reason=f"weight or started_ms of {name} is not a number")
    rack = entry.get(wire.ENDPOINT_RACK, 0)
    return EndpointEntry(
        name,
        address,
        str(entry.get(wire.ENDPOINT_ZONE)),
        str(entry.get(wire.ENDPOINT_MACHINE_KIND)),
        rack if isinstance(rack, int) else 0,
        str(entry.get(wire.ENDPOINT_STATE)),
        float(weight),
        int(started_ms),
    )
