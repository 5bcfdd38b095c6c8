"""The interface of the client server that its sessions use."""

import asyncio
from typing import Protocol, TypeVar

from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.turn_queue import TurnQueue

from .router import Router

Session = TypeVar("Session")


class ClientSessionOwner(Protocol[Session]):
    """The server that accepted the connection of a session."""

    loop: asyncio.AbstractEventLoop
    deadlines: Deadlines
    router: Router
    unserved: dict[int, Session]  # sessions without an admitted request, by connection number
    turns: TurnQueue
    is_marked_not_ready: bool  # not ready for new clients
    is_handing_over: bool  # other processes accept new connections
    is_accepting_stopped: bool  # no more connections are accepted

    def note_memory(self, session: Session, is_holding: bool) -> None:
        """Record whether the session holds memory, and make room if there is no more for clients."""

    def make_room(self) -> None:
        """Let the sessions that have held memory longest give it up, while the limit is reached."""

    def note_answered(self, session: Session) -> None:
        """Record that the client has received all that it asked for, so that the session may be idle."""

    def remove_session(self, session: Session) -> None:
        """Remove a session that has ended."""
