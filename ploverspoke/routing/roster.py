"""The watch on one address of discovery: one call after the other, until one fails."""

import asyncio
from collections.abc import Callable

from ploverspoke.protocol import discovery
from ploverspoke.protocol.heads import Garbled
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadline, Deadlines
from ploverspoke.transport.ends import End
from ploverspoke.transport.log_lines import say
from ploverspoke.transport.pools import Opening, Pool
from ploverspoke.transport.units import SECOND

ANSWER_TIME = 2 * SECOND  # that an answer may take beyond the wait it was allowed


class RosterWatch:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        address: str,
        hold: int,
        told: Callable[[bytes], int],  # gives the version; raises Garbled
        lost: Callable[[bool], None],  # whether it has too many calls
    ) -> None:
        self.loop = loop
        self.deadlines = deadlines
        self.address = address
        self.hold = hold
        self.told = told
        self.lost = lost
        self.version: int | None = None
        # One at a time, but the next may come up before the last is quite closed.
        self.pool = Pool(loop, deadlines, 2, ANSWER_TIME, ANSWER_TIME)
        self.connection: Connection | None = None
        self.opening: Opening | None = None
        self.answer = discovery.ListAnswer(self._complete)
        self.late: Deadline | None = None
        self.watching = False
        self.stopped = False

    def start(self) -> None:
        if not self.watching and not self.stopped:
            self.watching = True
            self.loop.call_soon(self._connect)

    def stop(self) -> None:
        """Another watch has taken over: whatever still comes here is not told."""
        self.stopped = True
        self.watching = False
        self.deadlines.call_off(self.late)
        self._hang_up()
        if self.opening is not None:
            self.opening.give_up()

    def _connect(self) -> None:
        if self.watching:
            self.opening = self.pool.call(self.address, self)

    def _ask(self, connection: Connection) -> None:
        limit = self.hold + ANSWER_TIME
        self.late = self.deadlines.at(self.deadlines.now() + limit, self._fail)
        self.answer = discovery.ListAnswer(self._complete)
        connection.write(discovery.watch(self.version, self.hold, self.address))

    def connected(self, connection: Connection) -> None:
        self.opening = None
        self.connection = connection
        self._ask(connection)

    def not_connected(self, end: End) -> None:
        self._fail()

    def bytes_came(self) -> None:
        if self.connection is None:
            return
        try:
            self.connection.feed(self.answer)
        except Garbled as error:
            say(f"discovery: {error}")
            self.loop.call_soon(self._fail, isinstance(error, discovery.TurnedAway))

    def _complete(self, body: bytes, lasts: bool) -> None:
        """One answer is whole; the next call goes out at once, for the watch to go on."""
        self.deadlines.call_off(self.late)
        self.loop.call_soon(self._take, body, lasts)

    def _take(self, body: bytes, lasts: bool) -> None:
        if self.stopped:
            return
        try:
            self.version = self.told(body)
        except Exception as error:
            # Whatever a list holds, it must not end the watch for good.
            say(f"discovery: {type(error).__name__}: {error}")
            self._fail()
            return
        if not self.watching:
            return  # the connection broke meanwhile: that has been told, and a new watch will be asked for
        if lasts and self.connection is not None:
            self._ask(self.connection)
        else:
            self._hang_up()
            self._connect()

    def connection_ended(self) -> None:
        if self.connection is not None:
            self._fail()

    def all_written(self) -> None:
        pass

    def _hang_up(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.user = None
            connection.abort()

    def _fail(self, turned_away: bool = False) -> None:
        if self.watching:
            self.watching = False
            self.deadlines.call_off(self.late)
            self._hang_up()
            self.lost(turned_away)
