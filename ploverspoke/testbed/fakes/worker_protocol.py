"""What fake workers send to dispatchers: the chunked response with updates of a run, and load reports."""

from typing import Final

import msgspec

from .http_wire import CHUNKED_HEAD, LAST_CHUNK, encode_chunk, encode_response

NOT_STARTED_HEADER: Final = "Not-Started: 1\r\n"  # on a 503: the request may run elsewhere


class RunUpdate(msgspec.Struct, frozen=True, omit_defaults=True, rename={"worker": "from"}):
    """One line of the response to a request: a state of its run."""

    id: str  # of the request
    worker: str
    state: str  # "started", "running", "done" or "failed"
    share: float | msgspec.UnsetType = msgspec.UNSET  # of the work that is done, while it runs
    result: str | msgspec.UnsetType = msgspec.UNSET  # once it is done


class LoadReport(msgspec.Struct, frozen=True, rename={"free_slots": "x0"}):
    """A worker's answer to a load probe."""

    backlog: float  # requests that wait
    free_slots: float


def encode_run_update(update: RunUpdate, *, is_first: bool = False, is_last: bool = False) -> bytes:
    """Return the update as a chunk, after the head where it is the first, before the end where the last."""
    chunk = encode_chunk(msgspec.json.encode(update) + b"\n")
    return (CHUNKED_HEAD if is_first else b"") + chunk + (LAST_CHUNK if is_last else b"")


def encode_load_report(report: LoadReport) -> bytes:
    """Return the response to a load probe."""
    return encode_response(200, "OK", msgspec.json.encode(report))


def encode_not_started() -> bytes:
    """Return the response to a request that the worker gives back without having started it."""
    return encode_response(503, "Service Unavailable", b"", NOT_STARTED_HEADER)
