"""The watch on one address of discovery: one call after the other, until one fails."""

import asyncio
from collections.abc import Callable

from ploverspoke.protocol import discovery
from ploverspoke.protocol.errors import HttpSyntaxError, WatchRejectedError
from ploverspoke.transport.connection_pool import ConnectionPool, PendingConnection
from ploverspoke.transport.connections import Connection
from ploverspoke.transport.deadlines import Deadline, Deadlines
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import MILLISECOND, SECOND

CONNECT_TIME = 2 * SECOND
# What a silent call keeps from us counts as told 2 s after the wait that it was allowed, or 6 s after it fell
# silent, if that is later or it was allowed none. The next call's answer has to be here by then, not its
# asking, and where all watches fall silent at once discovery works through the next calls of all, one by one
# (six took 2 s). The answer to a wait comes when that is over, also from a discovery that is busy.
ANSWER_TIME = 250 * MILLISECOND  # beyond the wait
WHOLE_ANSWER_TIME = 4 * SECOND  # for a call that may not wait, but has to wait its turn
AT_ONCE_EVERY = SECOND  # no more often is a broken watch opened anew without a pause


class Call:
    """One call, from its connection to its end. Whatever comes once the watch is at another is not heard."""

    def __init__(self, watch: "EndpointWatch") -> None:
        self.watch = watch
        self.version = watch.version  # newer than that is asked for; None: the whole list
        self.connection: Connection | None = None
        self.opening: PendingConnection | None = None
        self.late: Deadline | None = None
        self.answer = discovery.EndpointListReader(self._complete)
        self.body: bytes | None = None
        self.lasts = False
        self.heard_out = False  # what lay unread at the end of its time was read

    def begin(self) -> None:
        if self.watch.call is self:
            self.opening = self.watch.pool.acquire(self.watch.address, self)

    def on_connected(self, connection: Connection) -> None:
        watch = self.watch
        self.opening = None
        self.connection = connection
        connection.user = self
        limit = WHOLE_ANSWER_TIME if self.version is None else watch.hold + ANSWER_TIME
        self.late = watch.deadlines.schedule(watch.deadlines.now() + limit, self._silent)
        connection.write(discovery.encode_watch_request(self.version, watch.hold, watch.address))

    def on_connect_failed(self, outcome: ExchangeOutcome) -> None:
        self.opening = None
        self.watch.failed(self, False)

    def on_data_available(self) -> None:
        if self.connection is None:
            return
        turned_away, wrong = False, False
        try:
            self.connection.feed(self.answer)
        except HttpSyntaxError as error:
            log_line(f"discovery: {error}")
            turned_away, wrong = isinstance(error, WatchRejectedError), True
        # A whole list is told, whatever comes behind it.
        told = self.body is None or self.watch.take(self.body, self.version)
        if wrong or not told:
            self.watch.failed(self, turned_away)
        elif self.body is not None:
            self.watch.answered(self)

    def _complete(self, body: bytes, lasts: bool) -> None:
        if self.body is not None:
            self.answer.fail(HttpSyntaxError("more than one answer"))
        self.body, self.lasts = body, lasts

    def on_disconnected(self) -> None:
        self.connection = None
        self.watch.failed(self, False)

    def on_write_drained(self) -> None:
        pass

    def _silent(self) -> None:
        if self.connection is not None and self.connection.has_unread_data() and not self.heard_out:
            # This process may have been stopped: what came in time is read first.
            self.heard_out = True
            self.late = self.watch.deadlines.schedule(self.watch.deadlines.now() + MILLISECOND, self._silent)
        else:
            self.watch.silent(self)

    def give_over(self) -> Connection | None:
        """Its end; what it has of a connection is the caller's."""
        self.watch.deadlines.cancel(self.late)
        if self.opening is not None:
            self.opening.cancel()
            self.opening = None
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.user = None
        return connection

    def hang_up(self) -> None:
        connection = self.give_over()
        if connection is not None:
            connection.abort()


class EndpointWatch:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deadlines: Deadlines,
        address: str,
        hold: int,
        told: Callable[
            [bytes], tuple[int, bool]
        ],  # gives version and whether it was whole; raises EndpointListError
        lost: Callable[[bool], None],  # whether it has too many calls
        pushed: bool = False,
    ) -> None:
        """Pushed: changes count as told whether or not a watch is open, by an agent beside us that has no
        other callers: a watch that broke is opened anew without the pause that spreads calls.
        """
        self.loop = loop
        self.deadlines = deadlines
        self.address = address
        self.hold = hold
        self.told = told
        self.lost = lost
        self.pushed = pushed
        self.anew_at = -AT_ONCE_EVERY  # when it was last opened anew without a pause
        self.version: int | None = None
        # One at a time, but the next may come up before the last is quite closed.
        self.pool = ConnectionPool(loop, deadlines, 2, CONNECT_TIME, CONNECT_TIME)
        self.call: Call | None = None  # the one that is heard; None: nobody watches
        self.silences = 0  # in a row
        self.stopped = False

    def start(self) -> None:
        if self.call is None and not self.stopped:
            self.call = Call(self)
            self.loop.call_soon(self.call.begin)  # never from inside the call that asked for it

    def stop(self) -> None:
        """Another watch has taken over: whatever still comes here is not told."""
        self.stopped = True
        call, self.call = self.call, None
        if call is not None:
            call.hang_up()

    # ---- What calls say, each of them at most once ----

    def take(self, body: bytes, asked: int | None) -> bool:
        try:
            version, whole = self.told(body)
        except Exception as error:
            # Whatever a list holds, it must not end the watch for good.
            log_line(f"discovery: {type(error).__name__}: {error}")
            return False
        # Numbers that went back are those of a discovery that was started anew: of what it changed before
        # the number that we know it would say nothing.
        behind = asked is not None and version < asked and not whole
        self.version = None if behind else version
        self.silences = 0
        return True

    def answered(self, call: Call) -> None:
        """The next call goes out at once, for the watch to go on."""
        if self.call is not call:
            return  # what was told has ended the watch
        connection = call.give_over()
        self.call = Call(self)
        if connection is not None and call.lasts:
            self.call.on_connected(connection)
        else:
            if connection is not None:
                connection.abort()
            self.call.begin()

    def silent(self, call: Call) -> None:
        """It may be this connection alone. The wait for it was pause enough, and what it kept from us soon
        counts as told: the next call goes out at once.
        """
        self.silences += 1
        if self.silences == 1:
            log_line("discovery: a call got no answer in its time; asking anew")
        call.hang_up()
        if self.call is call:
            self.call = Call(self)
            self.call.begin()

    def failed(self, call: Call, turned_away: bool) -> None:
        call.hang_up()
        if self.call is not call:
            return
        self.call = None
        now = self.deadlines.now()
        if self.pushed and not turned_away and now - self.anew_at >= AT_ONCE_EVERY:
            self.anew_at = now
            self.start()
        else:
            self.lost(turned_away)
