"""Why client connections end."""

from enum import Enum


class CloseReason(Enum):
    """Why a client connection ended, and which side closed it; for logs and counters."""

    CLIENT_LEFT = "client_left"  # the client closed or reset the connection
    CLIENT_ASKED = "client_asked"  # the client asked for a close after the response
    INVALID_REQUEST = "invalid_request"  # answered with 4xx, even if it was not received completely
    SENT_TOO_MUCH = "sent_too_much"  # the client sent too much ahead of its response
    NOTHING_SENT = "nothing_sent"  # a new connection sent no request in time
    RESPONSE_NOT_READ = "response_not_read"
    NO_CAPACITY = "no_room"  # for this connection or its request
    EVICTED = "evicted"  # idle, closed to make room for another connection
    SHUTDOWN = "shutdown"  # shutdown, or handover to another process
    OTHER_LEADER = "other_leader"  # another replica of the store answers the request


def reason_after_response(status: int, has_dropped: bool, is_ending: bool, has_capacity: bool) -> CloseReason:
    """Why a connection ends with a response; `is_ending`: the process shuts down or hands over."""
    if 400 <= status < 500:
        return CloseReason.INVALID_REQUEST
    if has_dropped:
        return CloseReason.SENT_TOO_MUCH
    if is_ending:
        return CloseReason.SHUTDOWN
    return CloseReason.CLIENT_ASKED if has_capacity else CloseReason.NO_CAPACITY
