"""Why connections of clients end."""

from enum import Enum


class CloseReason(Enum):
    """Who ended a client's connection, and why; for logs and counters."""

    CLIENT_LEFT = "client_left"  # it closed or reset the connection
    CLIENT_ASKED = "client_asked"  # for a close after the response
    INVALID_REQUEST = "invalid_request"  # answered with 4xx, also where it was not received completely
    SENT_TOO_MUCH = "sent_too_much"  # ahead of its response
    NOTHING_SENT = "nothing_sent"  # in the time that a new connection is given
    RESPONSE_NOT_READ = "response_not_read"
    NO_CAPACITY = "no_room"  # for this connection or its request
    EVICTED = "evicted"  # idle, to make room for another
    SHUTDOWN = "shutdown"  # or the handover to another process
    OTHER_LEADER = "other_leader"  # another replica of the store answers its request


def reason_after_response(status: int, has_dropped: bool, is_ending: bool, has_capacity: bool) -> CloseReason:
    """Why a connection ends with a response; `is_ending`: the process shuts down or hands over."""
    if 400 <= status < 500:
        return CloseReason.INVALID_REQUEST
    if has_dropped:
        return CloseReason.SENT_TOO_MUCH
    if is_ending:
        return CloseReason.SHUTDOWN
    return CloseReason.CLIENT_ASKED if has_capacity else CloseReason.NO_CAPACITY
