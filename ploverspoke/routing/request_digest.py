"""Digests that tell whether a request is the one that was sent before with the same id.

A digest has two parts: of method, target and body, and of the headers that say whose request it is and what
it is about. Records of older versions have the first part alone.
"""

from enum import Enum, auto
from hashlib import blake2b

from ploverspoke.protocol.http_messages import Headers
from ploverspoke.protocol.workers import end_to_end_headers

PART_BYTES = 16

# Headers that differ between a request and its repeats: they tell of one try, its way or its trace.
PER_TRY_HEADERS = frozenset(
    {
        "accept-encoding",
        "b3",
        "baggage",
        "client-retry",
        "date",
        "forwarded",
        "request-id",
        "traceparent",
        "tracestate",
        "user-agent",
        "via",
        "work-hint",
        "x-real-ip",
        "x-request-start",
    }
)
PER_TRY_PREFIXES = ("x-b3-", "x-forwarded-")


class DigestMatch(Enum):
    """How the digest of a request compares with a recorded one."""

    SAME = auto()
    HEADERS_UNKNOWN = auto()  # the rest is the same; an older version did not record the headers
    DIFFERENT = auto()


def request_digest(method: str, target: str, body: bytes, headers: Headers) -> bytes:
    """Return the digest of a request."""
    return content_digest(method, target, body) + _headers_digest(headers)


def content_digest(method: str, target: str, body: bytes) -> bytes:
    """Return the first part of the digest."""
    head = f"{method} {target}\n".encode("utf-8", "surrogatepass")
    return blake2b(head + body, digest_size=PART_BYTES).digest()


def compare_digests(recorded: bytes, received: bytes) -> DigestMatch:
    """Compare the digest of a request with the recorded digest of one with the same id."""
    if recorded == received:
        return DigestMatch.SAME
    has_no_headers = len(recorded) == PART_BYTES
    is_content_same = has_no_headers and received[:PART_BYTES] == recorded
    return DigestMatch.HEADERS_UNKNOWN if is_content_same else DigestMatch.DIFFERENT


def _headers_digest(headers: Headers) -> bytes:
    lines = [
        f"{name}:{value}\n"
        for name, value in sorted(end_to_end_headers(headers).items())
        if name not in PER_TRY_HEADERS and not name.startswith(PER_TRY_PREFIXES)
    ]
    return blake2b("".join(lines).encode("utf-8", "surrogatepass"), digest_size=PART_BYTES).digest()
