"""What the parts of HTTP messages cost in the interpreter, in bytes; estimates on the high side."""

from .http_messages import FIELD_BYTES, Headers

MESSAGE_BYTES = 1024  # of a message with its dictionary, method, target and place in a queue


def message_cost(target: str, headers: Headers, body: bytes) -> int:
    """Return the bytes of a whole message."""
    characters = sum(len(name) + len(value) for name, value in headers.items())
    return MESSAGE_BYTES + len(target) + len(headers) * FIELD_BYTES + characters + len(body)
