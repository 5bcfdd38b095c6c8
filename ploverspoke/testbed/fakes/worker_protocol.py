"""The responses of fake workers: chunked ones with the progress of an execution, and load reports."""

from typing import Final

import msgspec

from .http_wire import CHUNKED_HEAD, LAST_CHUNK, encode_chunk, encode_response

NOT_STARTED_HEADER: Final = "Not-Started: 1\r\n"  # on a 503: the request may be sent to another worker


class ExecutionUpdate(msgspec.Struct, frozen=True, omit_defaults=True, rename={"worker": "from"}):
    """One line of the response to a request: the state of its execution."""

    id: str  # request id
    worker: str
    state: str  # "started", "running", "done" or "failed"
    share: float | msgspec.UnsetType = msgspec.UNSET  # share of the work that is done, in state "running"
    result: str | msgspec.UnsetType = msgspec.UNSET  # in state "done"


class LoadReport(msgspec.Struct, frozen=True, rename={"free_slots": "x0"}):
    """A worker's answer to a load probe."""

    backlog: float  # queued requests
    free_slots: float


def encode_execution_update(
    update: ExecutionUpdate, *, is_first: bool = False, is_last: bool = False
) -> bytes:
    """Return the update as a chunk, with the response head before the first and the end after the last."""
    chunk = encode_chunk(msgspec.json.encode(update) + b"\n")
    return (CHUNKED_HEAD if is_first else b"") + chunk + (LAST_CHUNK if is_last else b"")


def encode_load_report(report: LoadReport) -> bytes:
    """Return the response to a load probe."""
    return encode_response(200, "OK", msgspec.json.encode(report))


def encode_not_started() -> bytes:
    """Return the response with which a worker returns a request that it has not started."""
    return encode_response(503, "Service Unavailable", b"", NOT_STARTED_HEADER)
