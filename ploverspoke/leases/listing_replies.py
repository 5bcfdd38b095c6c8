"""Replies to tools that ask for all leases, one at a time: each takes long where many leases are held."""

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec

from ploverspoke.consensus.admin_messages import encode_reply
from ploverspoke.consensus.peer_links import Reply
from ploverspoke.transport.turn_queue import TurnQueue


class ListingReplies:
    """The tools that wait for a listing, in the order of their requests; implements `TurnUser`.

    One round of heartbeats confirms all requests that came before it, so many may become ready at once.
    """

    def __init__(self, make_listing: Callable[[], msgspec.Struct]) -> None:
        """`make_listing` returns the reply as of the time of its call."""
        self.make_listing = make_listing
        self.waiting: deque[Reply] = deque()
        self._turns: TurnQueue | None = None

    def add(self, reply: Reply) -> None:
        """Answer after all that wait, on the running event loop."""
        self.waiting.append(reply)
        if self._turns is None:
            self._turns = TurnQueue(asyncio.get_running_loop())
        self._turns.add(self)

    def take_turn(self) -> bool:
        """Answer one tool; returns whether others wait."""
        reply = self.waiting.popleft()
        reply(encode_reply(self.make_listing()))
        return bool(self.waiting)

    def on_turn_failed(self) -> None:
        """Go on with the next tool; the error was logged, and the tool's call ends by its time limit."""
        if self.waiting and self._turns is not None:
            self._turns.add(self)
