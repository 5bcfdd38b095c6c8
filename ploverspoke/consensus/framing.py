"""Authenticated frames between replicas, and between replicas and their clients. Opens no sockets.

A frame is the length of the body (4 bytes, big-endian), the MAC, and the body in msgpack.

A connection begins with a greeting from each side: the id of the sender, its cluster, and a nonce. The MAC of
each later frame is BLAKE2b over the sequence number of the frame and its body, keyed with the shared secret
and both nonces. So frames that are forged, replayed from another connection, omitted or reordered are
detected.
"""

import hmac
import secrets
from collections.abc import Mapping
from hashlib import blake2b

import msgspec

from .errors import ConsensusError

LENGTH_BYTES = 4
MAC_BYTES = 16
HEADER_BYTES = LENGTH_BYTES + MAC_BYTES
NONCE_BYTES = 16
KEY_BYTES = 32
MAX_BLAKE2_KEY_BYTES = 64
SEQUENCE_NUMBER_BYTES = 8
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_GREETING_BYTES = 4096
# A command in the log; the rest of a body is for the message around it.
MAX_COMMAND_BYTES = MAX_BODY_BYTES - 64 * 1024


class FrameError(ConsensusError):
    """The other side is not a replica or client of this cluster, or its data was altered in transit."""


class FrameTooLargeError(FrameError):
    """The body of a frame exceeds the size limit."""

    def __init__(self, size: int, limit: int) -> None:
        """Keep the size of the body and the limit, in bytes."""
        super().__init__(f"a frame of {size} bytes exceeds the limit of {limit}")
        self.size = size
        self.limit = limit


class FrameEncodeError(FrameError):
    """A message holds a value that msgpack cannot encode, as half of a surrogate pair."""

    def __init__(self, reason: str) -> None:
        """Keep the reason that the encoder gives."""
        super().__init__(f"a message cannot be encoded: {reason}")
        self.reason = reason


class FrameAuthenticationError(FrameError):
    """A MAC does not match."""

    def __init__(self) -> None:
        """State the possible causes."""
        super().__init__("a wrong MAC: the secrets differ, or the frame was altered")


class FrameDecodeError(FrameError):
    """The body of a frame cannot be decoded, or is not the expected message."""

    def __init__(self, reason: str) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason


class FrameCodec:
    """Encodes and decodes the frames of one connection."""

    def __init__(self, secret: bytes, greeting: Mapping[str, object]) -> None:
        """Prepare a connection; `greeting` is the first message to the other side."""
        self.secret = secret
        self.nonce = secrets.token_bytes(NONCE_BYTES)
        self.greeting_body = msgspec.msgpack.encode({**greeting, "nonce": self.nonce})
        self.peer_greeting: dict[str, object] | None = None  # None: not received yet
        self._send_key = b""
        self._receive_key = b""
        self._sent_frames = 0
        self._received_frames = 0
        self._receive_buffer = bytearray()
        self._encoder = msgspec.msgpack.Encoder()

    def greeting_frame(self) -> bytes:
        """Return the first frame to send."""
        return _build_frame(self.greeting_body, _compute_mac(derive_key(self.secret), 0, self.greeting_body))

    def encode(self, message: object) -> bytes:
        """Return the frame of a message: any value that msgspec encodes.

        Raises FrameTooLargeError or FrameEncodeError; the connection can be used further after either.
        """
        try:
            body = self._encoder.encode(message)
        except (ValueError, TypeError, OverflowError) as error:
            raise FrameEncodeError(str(error)) from error
        if len(body) > MAX_BODY_BYTES:
            raise FrameTooLargeError(len(body), MAX_BODY_BYTES)
        self._sent_frames += 1
        return _build_frame(body, _compute_mac(self._send_key, self._sent_frames, body))

    def decode(self, data: bytes) -> list[object]:
        """Return the messages that `data` completes, as plain values. Raises FrameError.

        The greeting is not returned, but stored in `peer_greeting`.
        """
        return [decode_body(body) for body in self.decode_bodies(data)]

    def decode_bodies(self, data: bytes) -> list[bytes]:
        """Return the bodies of the frames that `data` completes, for a typed decoder. Raises FrameError."""
        self._receive_buffer += data
        bodies: list[bytes] = []
        while len(self._receive_buffer) >= LENGTH_BYTES:
            length = int.from_bytes(self._receive_buffer[:LENGTH_BYTES], "big")
            limit = MAX_BODY_BYTES if self.peer_greeting is not None else MAX_GREETING_BYTES
            if length > limit:
                raise FrameTooLargeError(length, limit)
            end = HEADER_BYTES + length
            if len(self._receive_buffer) < end:
                break
            mac = bytes(self._receive_buffer[LENGTH_BYTES:HEADER_BYTES])
            body = bytes(self._receive_buffer[HEADER_BYTES:end])
            del self._receive_buffer[:end]
            if self.peer_greeting is None:
                self._accept_greeting(mac, body)
            else:
                self._received_frames += 1
                _check_mac(mac, _compute_mac(self._receive_key, self._received_frames, body))
                bodies.append(body)
        return bodies

    def unread_bytes(self) -> int:
        """Return the received bytes of a frame that is not complete yet."""
        return len(self._receive_buffer)

    def drop_unread(self) -> None:
        """Drop the received bytes of a frame that is not complete: the connection has ended."""
        self._receive_buffer = bytearray()

    def _accept_greeting(self, mac: bytes, body: bytes) -> None:
        _check_mac(mac, _compute_mac(derive_key(self.secret), 0, body))
        greeting = decode_body(body)
        if not isinstance(greeting, dict) or not isinstance(greeting.get("nonce"), bytes):
            raise FrameDecodeError(reason="the first frame is not a greeting")
        peer_nonce: bytes = greeting["nonce"]
        if peer_nonce == self.nonce:
            raise FrameDecodeError(reason="the greeting of this side was sent back")
        self.peer_greeting = greeting
        self._send_key = derive_key(self.secret, self.nonce + peer_nonce)
        self._receive_key = derive_key(self.secret, peer_nonce + self.nonce)


def derive_key(secret: bytes, salt: bytes = b"") -> bytes:
    """Return the MAC key: for greetings without a salt, for later frames with both nonces as the salt."""
    return blake2b(salt, key=secret[:MAX_BLAKE2_KEY_BYTES], digest_size=KEY_BYTES).digest()


def _build_frame(body: bytes, mac: bytes) -> bytes:
    return len(body).to_bytes(LENGTH_BYTES, "big") + mac + body


def _compute_mac(key: bytes, sequence_number: int, body: bytes) -> bytes:
    data = sequence_number.to_bytes(SEQUENCE_NUMBER_BYTES, "big") + body
    return blake2b(data, key=key, digest_size=MAC_BYTES).digest()


def _check_mac(received: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(received, expected):
        raise FrameAuthenticationError


def decode_body(body: bytes) -> object:
    """Return the message in the body of a frame. Raises FrameDecodeError."""
    try:
        return msgspec.msgpack.decode(body)
    except msgspec.DecodeError as error:
        raise FrameDecodeError(reason=f"the body is not msgpack: {error}") from error
