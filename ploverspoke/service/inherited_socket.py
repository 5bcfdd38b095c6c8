"""A listening socket that whoever starts us holds, for this process and the one that it replaces."""

import socket
from collections.abc import Mapping

from .config_reader import ConfigError

NAMED_IN = "RELAY_PASSED_SOCKET"


def inherited_socket(environment: Mapping[str, str]) -> socket.socket | None:
    """None where none is named. It is shared: to be closed, never shut down. Raises ConfigError."""
    named = environment.get(NAMED_IN)
    if not named:
        return None
    fault = ConfigError(
        f"{NAMED_IN} is {named!r}: expected the number of a descriptor that listens for TCP"[:200]
    )
    if not (named.isascii() and named.isdigit() and len(named) < 8):
        raise fault
    try:
        passed = socket.socket(fileno=int(named))
    except OSError:
        raise fault from None
    inet = passed.family in (socket.AF_INET, socket.AF_INET6) and passed.type == socket.SOCK_STREAM
    if not inet or not passed.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        passed.detach()  # whatever it is, it is not ours to close
        raise fault
    passed.setblocking(False)
    return passed
