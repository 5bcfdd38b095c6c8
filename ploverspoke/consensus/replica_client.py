"""Sends a request of a command-line tool to a running replica and waits for the reply."""

import socket
from typing import TypeVar

import msgspec

from .admin_messages import AdminRequest, StatusRow, WireMap, encode_request
from .cluster_config import split_address
from .framing import FrameCodec, FrameError
from .peer_links import ADMIN_CLIENT_ID

TIMEOUT_S = 3.0  # to connect, and for each read
READ_SIZE_BYTES = 65536
CONNECTION_CLOSED = "the replica closed the connection: the secret or the store may differ"

ReplyT = TypeVar("ReplyT")


class ReplyError(FrameError):
    """A replica's reply is not of the type that was expected."""

    def __init__(self, address: str, reason: str) -> None:
        """`address` is the address of the replica for peers."""
        super().__init__(reason)
        self.address = address
        self.reason = reason


class RequestRejectedError(ReplyError):
    """A replica rejected a request; `reason` is the one that it gave."""


def call_replica(address: str, secret: bytes, request: AdminRequest, reply_type: type[ReplyT]) -> ReplyT:
    """Send a request to the replica at `address` ("host:port" for peers) and return its typed reply.

    Raises OSError if nothing answers there, FrameError if it is not a replica with this secret,
    RequestRejectedError if the reply is not a `reply_type` but a rejection with a reason, ReplyError for any
    other reply that is not a `reply_type`.
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
    """Send one message and return the reply, both as plain maps and lists.

    Raises OSError if nothing answers at `address`, FrameError if it is not a replica with this secret.
    """
    frames = FrameCodec(secret, {"id": ADMIN_CLIENT_ID, "store": ""})
    with socket.create_connection(split_address(address), TIMEOUT_S) as connection:
        connection.settimeout(TIMEOUT_S)
        connection.sendall(frames.greeting_frame())
        while frames.peer_greeting is None:
            frames.decode(_receive(connection))
        connection.sendall(frames.encode(message))
        while True:
            replies = frames.decode(_receive(connection))
            if replies:
                return replies[0]


def _receive(connection: socket.socket) -> bytes:
    data = connection.recv(READ_SIZE_BYTES)
    if not data:
        raise FrameError(CONNECTION_CLOSED)
    return data
