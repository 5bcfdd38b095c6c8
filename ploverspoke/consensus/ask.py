"""Asks a running replica something, as its tools do."""

import socket
from typing import Any

from .frames import BadFrame, Frames
from .links import ASKS

TIME_OUT = 3.0


def ask(where: str, secret: bytes, question: dict[str, Any]) -> Any:
    """Raises OSError where nobody answers, BadFrame where it is not one of ours."""
    host, _, port = where.rpartition(":")
    frames = Frames(secret, {"id": ASKS, "store": ""})
    with socket.create_connection((host.strip("[]"), int(port)), TIME_OUT) as connection:
        connection.settimeout(TIME_OUT)
        connection.sendall(frames.hello())
        while frames.other is None:
            frames.feed(_some(connection))
        connection.sendall(frames.write(question))
        while True:
            answers = frames.feed(_some(connection))
            if answers:
                return answers[0]


def _some(connection: socket.socket) -> bytes:
    data = connection.recv(65536)
    if not data:
        raise BadFrame("the replica hung up: another secret, or another store")
    return data
