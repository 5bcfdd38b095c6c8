"""A listening socket that the process inherits and shares with the process that it replaces."""

import socket
from collections.abc import Mapping

from .config_reader import InvalidValueError

VARIABLE = "RELAY_PASSED_SOCKET"
MAX_DIGITS = 7  # of a descriptor's number
MAX_MESSAGE_LENGTH = 200  # characters of an error that quotes the variable


def inherited_socket(environment: Mapping[str, str]) -> socket.socket | None:
    """Return the listening TCP socket whose descriptor RELAY_PASSED_SOCKET names, None where it is unset.

    The socket is shared with other processes: it may be closed and must never be shut down. Raises
    ConfigError where the variable names anything else; that descriptor is left open.
    """
    value = environment.get(VARIABLE)
    if not value:
        return None
    invalid = InvalidValueError(
        key=VARIABLE,
        problem=f"is {value!r}: expected the number of a descriptor that listens for TCP",
        longest=MAX_MESSAGE_LENGTH,
    )
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_DIGITS):
        raise invalid
    try:
        inherited = socket.socket(fileno=int(value))
    except OSError as error:
        raise invalid from error
    if not _is_listening_tcp(inherited):
        inherited.detach()  # this process does not own it
        raise invalid
    inherited.setblocking(False)
    return inherited


def _is_listening_tcp(candidate: socket.socket) -> bool:
    is_tcp = candidate.family in (socket.AF_INET, socket.AF_INET6) and candidate.type == socket.SOCK_STREAM
    return is_tcp and bool(candidate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
