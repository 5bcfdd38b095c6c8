"""Shares the event loop among connections that have work left: one short step each, in turn."""

import asyncio
import time
import traceback
from collections import OrderedDict
from typing import Protocol

from .rate_limited_log import log_line
from .units import MICROSECOND, MILLISECOND

FURTHER_ROUNDS = 500 * MICROSECOND  # a round begins so long after the first one: polling sockets costs more
MAX_TURN = 5 * MILLISECOND  # for steps, before sockets and timers are served


class TurnUser(Protocol):
    """An owner of work that can be done in short steps."""

    def take_turn(self) -> bool:
        """Do one short step; returns whether another one is needed."""

    def on_turn_failed(self) -> None:
        """The step raised an exception, which was logged; no other step follows."""


class TurnQueue:
    """The users that have work left, in the order of their turns."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Run the steps on `loop`."""
        self.loop = loop
        self.waiting: OrderedDict[TurnUser, None] = OrderedDict()
        self.is_scheduled = False

    def add(self, user: TurnUser) -> None:
        """Give the user a turn after all others that wait; does nothing if it waits already."""
        self.waiting.setdefault(user)
        self._schedule()

    def remove(self, user: TurnUser) -> None:
        """Give the user no more turns."""
        self.waiting.pop(user, None)

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        """Give each waiting user one turn, and further ones in rounds while little time has passed."""
        self.is_scheduled = False
        began_at = now = time.monotonic_ns()
        while self.waiting and now - began_at < FURTHER_ROUNDS:
            now = self._run_round(began_at + MAX_TURN)
        self._schedule()

    def _run_round(self, ends_at: int) -> int:
        """Give each waiting user one turn at most, until `ends_at` (ns) at most; returns the time."""
        now = time.monotonic_ns()
        for _ in range(len(self.waiting)):
            if not self.waiting or now >= ends_at:
                break
            user, _ = self.waiting.popitem(last=False)
            if self._take_turn(user):
                self.waiting.setdefault(user)
            now = time.monotonic_ns()
        return now

    def _take_turn(self, user: TurnUser) -> bool:
        try:
            return user.take_turn()
        except Exception:  # an error of one user must not end the turns of the others
            log_line(f"a connection's turn failed: {traceback.format_exc()}")
            user.on_turn_failed()
            return False
