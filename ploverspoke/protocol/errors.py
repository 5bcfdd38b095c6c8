"""Errors of this package: something that was received breaks its protocol."""


class ProtocolError(Exception):
    """What was received is not what its protocol allows; `reason` may be sent to the sender."""

    def __init__(self, reason: str) -> None:
        """Keep the reason; it must not hold what is secret."""
        super().__init__(reason)
        self.reason = reason


class HttpSyntaxError(ProtocolError):
    """An HTTP message is malformed or exceeds a limit; `status` answers a client that sent it."""

    status = 400


class MessageTooLongError(HttpSyntaxError):
    """The body of a request exceeds the limit."""

    status = 413


class UnknownRequestClassError(HttpSyntaxError):
    """The path of a request names no request class."""

    status = 404


class MethodNotAllowedError(HttpSyntaxError):
    """The method of a request cannot be used with its path."""

    status = 405


class RequestIdInUseError(HttpSyntaxError):
    """The request id belongs to another request: sent to a worker, this one would be a copy of that."""

    status = 409


class EndpointListError(ProtocolError):
    """A document is no endpoint list."""


class WatchRejectedError(HttpSyntaxError):
    """Discovery has more watchers than it can serve in time."""


class GossipSyntaxError(ProtocolError):
    """A datagram is no gossip message."""


class AdminCommandError(ProtocolError):
    """What an operator sent is no command."""
