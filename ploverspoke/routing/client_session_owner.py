"""The interface of the server for clients, as its sessions use it."""

import asyncio
from typing import Protocol, TypeVar

from ploverspoke.transport.deadlines import Deadlines

from .router import Router

Session = TypeVar("Session")


class ClientSessionOwner(Protocol[Session]):
    """What a session needs of the server that accepted its connection."""

    loop: asyncio.AbstractEventLoop
    deadlines: Deadlines
    router: Router
    unserved: dict[int, Session]  # by connection number, those without an admitted request
    buffered_bytes: int  # of requests that are not admitted yet, in all sessions
    is_leaving: bool  # not ready for new clients
    is_handing_over: bool  # other processes accept new connections
    is_shut: bool  # nothing is accepted any more

    def is_full(self) -> bool:
        """Whether requests hold more memory than they may."""

    def forget(self, session: Session) -> None:
        """The session has ended."""
