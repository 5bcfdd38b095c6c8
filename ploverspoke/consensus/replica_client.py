"""Asks a running replica something, as its tools do."""

import socket
from typing import Any

from .framing import FrameCodec, FrameError
from .peer_links import ADMIN_CLIENT_ID

TIME_OUT = 3.0


def send_admin_request(where: str, secret: bytes, question: dict[str, Any]) -> Any:
    """Raises OSError where nobody answers, FrameError where it is not one of ours."""
    host, _, port = where.rpartition(":")
    frames = FrameCodec(secret, {"id": ADMIN_CLIENT_ID, "store": ""})
    with socket.create_connection((host.strip("[]"), int(port)), TIME_OUT) as connection:
        connection.settimeout(TIME_OUT)
        connection.sendall(frames.greeting_frame())
        while frames.peer_greeting is None:
            frames.decode(_some(connection))
        connection.sendall(frames.encode(question))
        while True:
            answers = frames.decode(_some(connection))
            if answers:
                return answers[0]


def _some(connection: socket.socket) -> bytes:
    data = connection.recv(65536)
    if not data:
        raise FrameError("the replica hung up: another secret, or another store")
    return data
