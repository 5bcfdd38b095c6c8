"""A listening socket that the process inherits and shares with the process that it replaces."""

import socket
from collections.abc import Mapping

from .config_reader import InvalidValueError

SOCKET_VARIABLE = "RELAY_PASSED_SOCKET"
MAX_DESCRIPTOR_DIGITS = 7
MAX_MESSAGE_LENGTH = 200  # in characters, of an error that quotes the variable


def open_inherited_socket(environment: Mapping[str, str]) -> socket.socket | None:
    """Return the listening TCP socket whose descriptor RELAY_PASSED_SOCKET names; None if it is unset.

    The socket is shared with other processes: it may be closed but must never be shut down. Raises
    ConfigError if the variable names anything else; that descriptor stays open.
    """
    value = environment.get(SOCKET_VARIABLE)
    if not value:
        return None
    invalid_error = InvalidValueError(
        key=SOCKET_VARIABLE,
        problem=f"is {value!r}: expected the descriptor number of a listening TCP socket",
        max_length=MAX_MESSAGE_LENGTH,
    )
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_DESCRIPTOR_DIGITS):
        raise invalid_error
    try:
        inherited = socket.socket(fileno=int(value))
    except OSError as error:
        raise invalid_error from error
    if not _is_listening_tcp(inherited):
        inherited.detach()  # keeps the descriptor open: this process does not own it
        raise invalid_error
    inherited.setblocking(False)
    return inherited


def _is_listening_tcp(candidate: socket.socket) -> bool:
    is_tcp = candidate.family in (socket.AF_INET, socket.AF_INET6) and candidate.type == socket.SOCK_STREAM
    return is_tcp and bool(candidate.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN))
