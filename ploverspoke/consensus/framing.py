"""Frames among replicas, and between them and their clients: msgpack behind a length, each with a MAC.

A connection begins with a greeting of both sides: who sends it, of which cluster, and a nonce. The MAC of
each later frame is BLAKE2b, keyed with the shared secret and both nonces, over the number of the frame and
its body. So nothing can be forged, replayed from another connection, left out or reordered unseen. Opens no
sockets.

A frame is the length of the body (4 bytes, big-endian), the MAC, and the body.
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
NUMBER_BYTES = 8
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_GREETING_BYTES = 4096


class FrameError(ConsensusError):
    """The other side is not a replica or client of this cluster, or what it sent was changed on the way."""


class FrameTooLargeError(FrameError):
    """A body is over the limit."""

    def __init__(self, size: int, limit: int) -> None:
        """Keep the size of the body and the limit, in bytes."""
        super().__init__(f"a frame of {size} bytes, over the limit of {limit}")
        self.size = size
        self.limit = limit


class FrameAuthenticationError(FrameError):
    """A MAC does not match."""

    def __init__(self) -> None:
        """State the possible cause."""
        super().__init__("a wrong MAC: another secret, or the frame was changed")


class FrameDecodeError(FrameError):
    """The body of a frame does not hold what it should."""

    def __init__(self, reason: str) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason


class FrameCodec:
    """The frames of one connection, both ways."""

    def __init__(self, secret: bytes, greeting: Mapping[str, object]) -> None:
        """Prepare a connection; `greeting` is the first message to the other side."""
        self.secret = secret
        self.nonce = secrets.token_bytes(NONCE_BYTES)
        self.greeting_body = msgspec.msgpack.encode({**greeting, "nonce": self.nonce})
        self.peer_greeting: dict[str, object] | None = None  # None: not received yet
        self._send_key = b""
        self._receive_key = b""
        self._sent = 0
        self._received = 0
        self._unread = bytearray()
        self._encoder = msgspec.msgpack.Encoder()

    def greeting_frame(self) -> bytes:
        """Return the first frame to send."""
        return _frame(self.greeting_body, _mac(derive_key(self.secret), 0, self.greeting_body))

    def encode(self, message: object) -> bytes:
        """Return the frame of a message, any value that msgspec encodes. Raises FrameTooLargeError."""
        body = self._encoder.encode(message)
        if len(body) > MAX_BODY_BYTES:
            raise FrameTooLargeError(len(body), MAX_BODY_BYTES)
        self._sent += 1
        return _frame(body, _mac(self._send_key, self._sent, body))

    def decode(self, data: bytes) -> list[object]:
        """Return the messages that `data` completes, as plain values. Raises FrameError.

        A greeting is none of them; it is put in `peer_greeting`.
        """
        return [_decode_body(body) for body in self.receive(data)]

    def receive(self, data: bytes) -> list[bytes]:
        """Return the bodies of the frames that `data` completes, for a typed decoder. Raises FrameError."""
        self._unread += data
        bodies: list[bytes] = []
        while len(self._unread) >= LENGTH_BYTES:
            length = int.from_bytes(self._unread[:LENGTH_BYTES], "big")
            limit = MAX_BODY_BYTES if self.peer_greeting is not None else MAX_GREETING_BYTES
            if length > limit:
                raise FrameTooLargeError(length, limit)
            end = HEADER_BYTES + length
            if len(self._unread) < end:
                break
            mac = bytes(self._unread[LENGTH_BYTES:HEADER_BYTES])
            body = bytes(self._unread[HEADER_BYTES:end])
            del self._unread[:end]
            if self.peer_greeting is None:
                self._accept_greeting(mac, body)
            else:
                self._received += 1
                _check_mac(mac, _mac(self._receive_key, self._received, body))
                bodies.append(body)
        return bodies

    def _accept_greeting(self, mac: bytes, body: bytes) -> None:
        _check_mac(mac, _mac(derive_key(self.secret), 0, body))
        greeting = _decode_body(body)
        if not isinstance(greeting, dict) or not isinstance(greeting.get("nonce"), bytes):
            raise FrameDecodeError(reason="no greeting")
        peer_nonce: bytes = greeting["nonce"]
        if peer_nonce == self.nonce:
            raise FrameDecodeError(reason="our own greeting, sent back")
        self.peer_greeting = greeting
        self._send_key = derive_key(self.secret, self.nonce + peer_nonce)
        self._receive_key = derive_key(self.secret, peer_nonce + self.nonce)


def derive_key(secret: bytes, salt: bytes = b"") -> bytes:
    """Return the key of MACs: of greetings without a salt, of later frames with both nonces as the salt."""
    return blake2b(salt, key=secret[:MAX_BLAKE2_KEY_BYTES], digest_size=KEY_BYTES).digest()


def _frame(body: bytes, mac: bytes) -> bytes:
    return len(body).to_bytes(LENGTH_BYTES, "big") + mac + body


def _mac(key: bytes, number: int, body: bytes) -> bytes:
    return blake2b(number.to_bytes(NUMBER_BYTES, "big") + body, key=key, digest_size=MAC_BYTES).digest()


def _check_mac(received: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(received, expected):
        raise FrameAuthenticationError


def _decode_body(body: bytes) -> object:
    try:
        return msgspec.msgpack.decode(body)
    except msgspec.DecodeError as error:
        raise FrameDecodeError(reason=f"no msgpack: {error}") from error
