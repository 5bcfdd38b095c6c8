"""Has a TCP connection end with a reset."""

import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)  # SO_LINGER on, 0 s


def reset_on_close(connection: socket.socket) -> None:
    """Have the peer read a reset in place of an end once the socket is closed. Raises OSError."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
