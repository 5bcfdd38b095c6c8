"""Errors of this package: received data violates its protocol."""


class ProtocolError(Exception):
    """Received data violates its protocol; `reason` may be sent back to the sender."""

    def __init__(self, reason: str) -> None:
        """Store the reason, which must not contain secrets."""
        super().__init__(reason)
        self.reason = reason


class HttpSyntaxError(ProtocolError):
    """An HTTP message is malformed or exceeds a limit; `status` is returned to a client that sent it."""

    status = 400


class MessageTooLongError(HttpSyntaxError):
    """The body of a request exceeds the limit."""

    status = 413


class UnknownRequestClassError(HttpSyntaxError):
    """The path of a request does not name a known request class."""

    status = 404


class MethodNotAllowedError(HttpSyntaxError):
    """The method of a request cannot be used with its path."""

    status = 405


class RequestIdInUseError(HttpSyntaxError):
    """The request id is in use by another request; a worker would take this one for a copy of it."""

    status = 409


class EndpointListError(ProtocolError):
    """A document is not a valid endpoint list."""


class WatchRejectedError(HttpSyntaxError):
    """Discovery rejected a watch request: it has more watchers than it can serve in time."""


class GossipSyntaxError(ProtocolError):
    """A datagram is not a valid gossip message."""


class AdminCommandError(ProtocolError):
    """The data sent by an operator is not a valid command line."""
