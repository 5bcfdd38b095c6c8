"""Frames arrive whole; forged, changed, repeated and missing ones are refused."""

import pytest

from ploverspoke.consensus.framing import MAX_BODY_BYTES, FrameCodec, FrameError

SECRET = b"sixteen bytes it has"


def connected_codecs(peer_secret: bytes = SECRET) -> tuple[FrameCodec, FrameCodec]:
    """Return both ends of a connection, after the exchange of greetings."""
    sender = FrameCodec(SECRET, {"id": "a.1", "store": "s"})
    receiver = FrameCodec(peer_secret, {"id": "b.1", "store": "s"})
    receiver.decode(sender.greeting_frame())
    sender.decode(receiver.greeting_frame())
    return sender, receiver


def test_frames_arrive_whole_however_the_bytes_are_split() -> None:
    sender, receiver = connected_codecs()
    sent = [{"n": number, "d": b"x" * number} for number in range(40)]
    data = b"".join(sender.encode(message) for message in sent)
    received = [
        message for start in range(0, len(data), 7) for message in receiver.decode(data[start : start + 7])
    ]
    assert received == sent
    assert receiver.peer_greeting is not None and receiver.peer_greeting["id"] == "a.1"


def test_forged_changed_repeated_and_missing_frames_are_refused() -> None:
    with pytest.raises(FrameError):
        connected_codecs(b"another secret, as long")
    sender, receiver = connected_codecs()
    first, second = sender.encode([1]), sender.encode([2])
    for data in (first[:-1] + b"\xff", second, (MAX_BODY_BYTES + 1).to_bytes(4, "big") + bytes(40)):
        _, other_receiver = connected_codecs()
        with pytest.raises(FrameError):
            other_receiver.decode(data)
    receiver.decode(first)
    with pytest.raises(FrameError):
        receiver.decode(first)
    mirror = FrameCodec(SECRET, {"id": "a.1", "store": "s"})
    with pytest.raises(FrameError):
        mirror.decode(mirror.greeting_frame())
