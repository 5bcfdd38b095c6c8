"""Ends TCP connections with a reset."""

import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 s


def reset_on_close(connection: socket.socket) -> None:
    """Make the close of the socket send a reset instead of a normal end. Raises OSError."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
