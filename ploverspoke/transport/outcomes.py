"""Every way in which an exchange with a worker can end."""

from enum import Enum, auto


class ExchangeOutcome(Enum):
    """The outcome of one request to a worker; the comments say who determined it."""

    # Reported by the worker.
    SUCCEEDED = auto()
    FAILED = auto()
    NOT_STARTED = auto()  # refused by the worker, or given back before it began
    REJECTED = auto()  # the request is invalid: no other worker would accept it
    KILLED = auto()  # the worker stopped the request while it ran
    # Determined by the state of the connection.
    CONNECTION_REFUSED = auto()
    CONNECT_FAILED = auto()
    SEND_INCOMPLETE = auto()  # the connection broke before the last byte of the request was written
    CONNECTION_LOST = auto()  # it broke or ended after that, before the last line of the response
    MALFORMED_RESPONSE = auto()
    # Determined by this process.
    TIMED_OUT = auto()
    CANCELLED = auto()
    NOT_SENT = auto()  # given up before the first byte was written
    NO_DESCRIPTOR = auto()  # all file descriptors for connections to workers are in use
