"""What replicas send one another: frames of msgpack behind a length, each with a MAC. Opens no sockets.

A connection begins with a greeting of both sides: who speaks, which store, a nonce each. The MAC of each
later frame
is BLAKE2 keyed with the shared secret and both nonces, over the frame's number and its body, so that
nothing can be forged, replayed from another connection, left out or put in another order unseen.
"""

import hmac
import secrets
from hashlib import blake2b
from typing import Any

import msgspec

MAC = 16
LONGEST = 4 * 1024 * 1024  # of one frame
LONGEST_GREETING = 4096
NONCE = 16


class FrameError(Exception):
    """The other side is not one of ours, or what it sent was changed on its way."""


class FrameCodec:
    """One connection's frames, both ways."""

    def __init__(self, secret: bytes, greeting: dict[str, Any]) -> None:
        """`greeting` is what the other side hears of us first."""
        self.secret = secret
        self.nonce = secrets.token_bytes(NONCE)
        self.greeting = msgspec.msgpack.encode({**greeting, "nonce": self.nonce})
        self.key_out = self.key_in = b""
        self.sent = 0
        self.received = 0
        self.unread = bytearray()
        self.peer_greeting: dict[str, Any] | None = None  # its greeting

    def greeting_frame(self) -> bytes:
        """The first bytes to write."""
        return self._framed(self.greeting, self._mac(secret_key(self.secret), 0, self.greeting))

    def encode(self, message: Any) -> bytes:
        body = msgspec.msgpack.encode(message)
        if len(body) > LONGEST:
            raise FrameError("too long to send")
        self.sent += 1
        return self._framed(body, self._mac(self.key_out, self.sent, body))

    def decode(self, data: bytes) -> list[Any]:
        """The messages that are whole; a greeting is kept in `other` and is none. Raises FrameError."""
        self.unread += data
        found: list[Any] = []
        while len(self.unread) >= 4:
            length = int.from_bytes(self.unread[:4], "big")
            if length > (LONGEST if self.peer_greeting is not None else LONGEST_GREETING):
                raise FrameError("a frame over the limit")
            whole = 4 + MAC + length
            if len(self.unread) < whole:
                break
            mac, body = bytes(self.unread[4 : 4 + MAC]), bytes(self.unread[4 + MAC : whole])
            del self.unread[:whole]
            if self.peer_greeting is None:
                self._greeted(mac, body)
            else:
                self.received += 1
                self._check(mac, self._mac(self.key_in, self.received, body))
                found.append(_decoded(body))
        return found

    def _greeted(self, mac: bytes, body: bytes) -> None:
        self._check(mac, self._mac(secret_key(self.secret), 0, body))
        other = _decoded(body)
        if not isinstance(other, dict) or not isinstance(other.get("nonce"), bytes):
            raise FrameError("no greeting")
        if other["nonce"] == self.nonce:
            raise FrameError("our own greeting, sent back")
        self.peer_greeting = other
        both = self.nonce, other["nonce"]
        self.key_out = secret_key(self.secret, both[0] + both[1])
        self.key_in = secret_key(self.secret, both[1] + both[0])

    @staticmethod
    def _framed(body: bytes, mac: bytes) -> bytes:
        return len(body).to_bytes(4, "big") + mac + body

    @staticmethod
    def _mac(key: bytes, number: int, body: bytes) -> bytes:
        return blake2b(number.to_bytes(8, "big") + body, key=key, digest_size=MAC).digest()

    @staticmethod
    def _check(told: bytes, wanted: bytes) -> None:
        if not hmac.compare_digest(told, wanted):
            raise FrameError("a wrong MAC: another secret, or the frame was changed")


def secret_key(secret: bytes, salt: bytes = b"") -> bytes:
    return blake2b(salt, key=secret[:64], digest_size=32).digest()


def _decoded(body: bytes) -> Any:
    try:
        return msgspec.msgpack.decode(body)
    except msgspec.DecodeError as error:
        raise FrameError(f"no msgpack: {error}") from None
