"""Sends one request of a command-line tool to a running replica and waits for its reply."""

import socket
from typing import TypeVar

import msgspec

from .admin_messages import AdminRequest, StatusRow, WireMap, encode_request
from .cluster_config import split_address
from .framing import FrameCodec, FrameError
from .peer_links import ADMIN_CLIENT_ID

TIMEOUT = 3.0  # seconds, to connect and for each read
READ_SIZE = 65536  # bytes
CONNECTION_CLOSED = "the replica hung up: another secret, or another store"

ReplyT = TypeVar("ReplyT")


class ReplyError(FrameError):
    """A replica's reply is not of the type that was expected."""

    def __init__(self, address: str, reason: str) -> None:
        """`address` is the replica's, for peers."""
        super().__init__(reason)
        self.address = address
        self.reason = reason


class RequestRejectedError(ReplyError):
    """A replica rejected a request; `reason` is its own."""


def call_replica(address: str, secret: bytes, request: AdminRequest, reply_type: type[ReplyT]) -> ReplyT:
    """Send a request to the replica at `address` ("host:port" for peers) and give its typed reply.

    Raises OSError where nothing answers there, FrameError where it is no replica with this secret,
    RequestRejectedError where it gives no such reply but says why, ReplyError for any other reply.
    """
    raw = send_admin_request(address, secret, encode_request(request))
    try:
        reply = msgspec.convert(raw, reply_type)
    except msgspec.ValidationError as error:
        if isinstance(raw, dict) and raw.get("done") is False:
            raise RequestRejectedError(address, str(raw.get("why"))) from error
        raise ReplyError(address, f"an unexpected reply: {error}") from error
    if isinstance(reply, StatusRow) and isinstance(raw, dict):
        reply.fields = raw
    return reply


def send_admin_request(address: str, secret: bytes, message: WireMap) -> object:
    """Exchange one message for its reply, both as plain maps and lists.

    Raises OSError where nothing answers at `address`, FrameError where it is no replica with this secret.
    """
    frames = FrameCodec(secret, {"id": ADMIN_CLIENT_ID, "store": ""})
    with socket.create_connection(split_address(address), TIMEOUT) as connection:
        connection.settimeout(TIMEOUT)
        connection.sendall(frames.greeting_frame())
        while frames.peer_greeting is None:
            frames.decode(_receive(connection))
        connection.sendall(frames.encode(message))
        while True:
            replies = frames.decode(_receive(connection))
            if replies:
                return replies[0]


def _receive(connection: socket.socket) -> bytes:
    data = connection.recv(READ_SIZE)
    if not data:
        raise FrameError(CONNECTION_CLOSED)
    return data
