"""Responses that the dispatcher itself sends to clients, without a worker."""

from typing import NamedTuple

from ploverspoke.protocol.clients import HttpRequest
from ploverspoke.transport.units import MILLISECOND

from .answers import FinalAnswer

OWN_TARGET_PREFIX = "/-/"  # of requests that the dispatcher itself answers
STATUS_TARGETS = ("/-/ready", "/-/healthy")
NO_LEADER_RETRY_AFTER_NS = 200 * MILLISECOND  # advice to clients while the store has no leader


class Response(NamedTuple):
    """One response; `retry_after` (ns) and `location` become headers if they are given."""

    status: int
    body: bytes
    retry_after: int = 0
    location: str = ""


UNSUCCESSFUL_RESPONSES = {  # by final answer; they carry no result
    FinalAnswer.REJECTED: Response(503, b"nacked"),
    FinalAnswer.FAILED: Response(504, b"abandoned"),
    FinalAnswer.INVALID_REQUEST: Response(400, b"no worker can use it"),
}


def status_response(message: HttpRequest, is_marked_not_ready: bool) -> Response:
    """The response to a status request about this process."""
    if message.target.partition("?")[0] not in STATUS_TARGETS:
        return Response(404, b"not found")
    if message.method != "GET":
        return Response(405, b"ask by GET")
    return Response(503, b"leaving") if is_marked_not_ready else Response(200, b"ready")


def redirect_response(leader: str, target: str) -> Response:
    """The response of a replica that does not lead; "": no leader is known, but one soon will be."""
    if not leader:
        return Response(503, b"no replica leads", NO_LEADER_RETRY_AFTER_NS)
    return Response(307, b"another replica leads", location=f"http://{leader}{target}")
