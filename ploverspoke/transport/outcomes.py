"""Every way in which an exchange on a connection can end, as values of one type."""

from enum import Enum, auto


class ExchangeOutcome(Enum):
    # The worker said so.
    SERVED = auto()
    FAILED = auto()
    RETURNED = auto()  # not started, or turned away
    REJECTED = auto()  # the request itself is of no use to any worker
    LOST = auto()  # the job was killed
    # The connection said so.
    REFUSED = auto()
    NEVER_UP = auto()
    UNSENT = auto()  # broke before the last byte of the request was written
    BROKEN = auto()  # broke or ended after that, before the answer's last line
    GARBLED = auto()  # what came is not what the protocol promises
    # We said so.
    TIMED_OUT = auto()
    RECALLED = auto()
    WITHHELD = auto()  # given up while nothing had been written
    NO_SOCKET = auto()  # none of our descriptors was to be had
