"""The possible outcomes of an exchange with a worker."""

from enum import Enum, auto


class ExchangeOutcome(Enum):
    """The outcome of one request to a worker, grouped by who determines it."""

    # Reported by the worker.
    SUCCEEDED = auto()
    FAILED = auto()
    NOT_STARTED = auto()  # refused by the worker, or returned before it started
    REJECTED = auto()  # the request is invalid, and no other worker would accept it
    KILLED = auto()  # the worker stopped the request while it was running
    # Determined by the state of the connection.
    CONNECTION_REFUSED = auto()
    CONNECT_FAILED = auto()
    SEND_INCOMPLETE = auto()  # the connection broke before the last byte of the request was written
    CONNECTION_LOST = auto()  # the connection broke or ended after that, before the last line of the response
    MALFORMED_RESPONSE = auto()
    # Determined by this process.
    TIMED_OUT = auto()
    CANCELLED = auto()
    NOT_SENT = auto()  # abandoned before the first byte was written
    NO_DESCRIPTOR = auto()  # all file descriptors for connections to workers are in use
