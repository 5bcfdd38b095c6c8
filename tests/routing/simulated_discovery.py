"""A discovery with faults in virtual time, connections to it, and timers that a router shares with it."""

import asyncio
import heapq
import json
import random
from collections.abc import Callable
from enum import Enum, auto
from typing import Any, cast

from ploverspoke.transport.connections import ConnectionMonitor, Reader
from ploverspoke.transport.deadlines import Deadline, Deadlines
from ploverspoke.transport.loop_meter import ConnectionKind, LoopMeter
from ploverspoke.transport.memory_account import MemoryAccount
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND

CONNECT_TIMEOUT = 2 * SECOND
ROUND_TRIP = MS


class Fault(Enum):
    """Faults of calls to discovery."""

    NONE = auto()
    REFUSED = auto()
    NEVER_UP = auto()  # no connection is established, as with an unreachable machine
    NO_BUFFERS = auto()  # connect fails with a local error
    RESET = auto()
    REJECTED = auto()
    REJECTED_LATE = auto()
    SERVER_ERROR = auto()
    GARBAGE = auto()
    HALF_THEN_CLOSED = auto()
    HALF_THEN_SILENT = auto()
    SILENT = auto()
    SLOW = auto()


UNREACHABLE = (Fault.REFUSED, Fault.NEVER_UP)
HANGING = (Fault.NEVER_UP, Fault.REJECTED_LATE, Fault.HALF_THEN_SILENT, Fault.SILENT, Fault.SLOW)
FIRST_VERSION, VERSIONS_OF_A_RUN = 100_000, 100
BINDING_DELAY = 6 * SECOND
MOVE_BINDING_DELAY = 4 * SECOND  # after a change of discovery's address, where lists are pushed


class VirtualDeadlines(Deadlines):
    """Timers on a virtual clock that the test sets."""

    def __init__(self) -> None:
        self.time = 1000 * SECOND
        self.pending_callbacks: list[Callable[[], None]] = []
        super().__init__(cast(asyncio.AbstractEventLoop, self))

    def now(self) -> int:
        return self.time

    def call_soon(self, callback: Callable[..., None], *args: Any) -> None:
        self.pending_callbacks.append(lambda: callback(*args))

    def _arm(self) -> None:
        """Do nothing: the test runs the timers that are due."""

    def settle(self) -> None:
        while self.pending_callbacks:
            self.pending_callbacks.pop(0)()

    def run_until(self, when: int) -> None:
        self.settle()
        while self.heap and self.heap[0].when <= when:
            if self.heap[0].is_done:
                heapq.heappop(self.heap)
                continue
            self.time = max(self.time, self.heap[0].when)
            deadline = heapq.heappop(self.heap)
            deadline.is_done = True
            deadline.callback()
            self.settle()
        self.time = max(self.time, when)


class FakeConnection:
    """A connection to discovery, which may still be pending."""

    def __init__(self, pool: "FakePool", address: str, user: Any) -> None:
        self.pool, self.address, self.user, self.pending_user = pool, address, user, user
        self.data, self.is_open = b"", True

    def cancel(self) -> None:
        self.pending_user = None

    def write(self, data: bytes) -> None:
        self.pool.discovery.on_call(self, data)

    def feed(self, reader: Reader) -> None:
        data, self.data = self.data, b""
        reader.feed(memoryview(data))

    def has_unread_data(self) -> bool:
        return bool(self.data)

    def abort(self) -> None:
        self.is_open = False

    def deliver(self, data: bytes) -> None:
        if self.is_open and self.user is not None:
            self.data += data
            self.user.on_data_available()

    def end(self) -> None:
        if self.is_open and self.user is not None:
            self.is_open = False
            self.user.on_disconnected()


class FakePool:
    """Replaces the connection pool of a watch."""

    discovery: "FakeDiscovery"

    def __init__(self, *_: Any) -> None:
        self.monitor = ConnectionMonitor(ConnectionKind.WORKER, MemoryAccount(), LoopMeter())

    def acquire(self, address: str, user: Any) -> FakeConnection:
        connection = FakeConnection(self, address, user)
        self.discovery.connect(connection)
        return connection


class FakeDiscovery:
    """Simulates a discovery that publishes changes after a delay and has the fault that the test sets."""

    def __init__(self, deadlines: VirtualDeadlines, randomness: random.Random, workers: int) -> None:
        self.deadlines, self.random = deadlines, randomness
        self.fault = Fault.NONE
        self.unreachable: tuple[Fault, ...] = UNREACHABLE
        self.reachable_since: int | None = 0  # None: it is unreachable
        self.version = self.published_version = FIRST_VERSION
        self.restart_count = 0
        self.states = {f"w{number}": "Ready" for number in range(workers)}
        self.published_states = dict(self.states)
        self.drained_at: dict[str, int] = {}  # when discovery received the drain
        self.published_at: dict[str, int] = {}
        self.written_at: dict[str, int] = {}
        self.hung_at = self.moved_at = -BINDING_DELAY  # end of the last hanging fault; last move
        self.waiting: dict[FakeConnection, int] = {}  # waiting calls with the version that each has

    def run_after(self, delay: int, callback: Callable[[], None]) -> Deadline:
        return self.deadlines.schedule(self.deadlines.now() + delay, callback)

    def set_fault(self, fault: Fault) -> None:
        was_unreachable = self.fault in self.unreachable
        if self.fault in HANGING:
            self.hung_at = self.deadlines.now()
        self.fault = fault
        if fault in self.unreachable:
            self.reachable_since = None
        elif was_unreachable:
            self.reachable_since = self.deadlines.now()

    def drain(self, worker: str) -> None:
        self.states[worker] = "Terminating"
        self.drained_at[worker] = self.deadlines.now()
        self.version += 1
        self.run_after(self.random.randrange(SECOND), self.publish_changes)

    def publish_changes(self) -> None:
        self.published_states, self.published_version = dict(self.states), self.version
        for worker in self.drained_at:
            self.published_at.setdefault(worker, self.deadlines.now())
        waiting, self.waiting = self.waiting, {}
        for connection in waiting:
            self.answer(connection, 0)

    def restart(self) -> None:
        """Restart with versions that no earlier list had."""
        self.break_watches(Fault.RESET)
        self.restart_count += 1
        self.published_version = FIRST_VERSION - self.restart_count * VERSIONS_OF_A_RUN
        # A change that is not published yet has a later version.
        self.version = self.published_version + (self.states != self.published_states)

    def move(self) -> None:
        """Move to another address, with other versions."""
        self.restart()
        self.moved_at = self.deadlines.now()

    def break_watches(self, fault: Fault) -> None:
        if fault in (Fault.NONE, Fault.NO_BUFFERS):
            return  # these do not affect a waiting call
        waiting, self.waiting = self.waiting, {}
        for connection in waiting:
            self.fail(connection, fault)

    # ---- Calls ----

    def connect(self, connection: FakeConnection) -> None:
        local = {Fault.NO_BUFFERS: ExchangeOutcome.NO_DESCRIPTOR}
        failures = {Fault.REFUSED: ExchangeOutcome.CONNECTION_REFUSED, **local}
        if self.fault is Fault.NEVER_UP:
            self.run_after(
                CONNECT_TIMEOUT, lambda: self.connect_failed(connection, ExchangeOutcome.CONNECT_FAILED)
            )
        elif self.fault in failures:
            outcome = failures[self.fault]
            self.run_after(ROUND_TRIP, lambda: self.connect_failed(connection, outcome))
        else:
            self.run_after(ROUND_TRIP, lambda: self.connected(connection))

    def connect_failed(self, connection: FakeConnection, outcome: ExchangeOutcome) -> None:
        if connection.pending_user is not None:
            connection.pending_user.on_connect_failed(outcome)

    def connected(self, connection: FakeConnection) -> None:
        user, connection.pending_user = connection.pending_user, None
        if user is not None:
            user.on_connected(connection)

    def on_call(self, connection: FakeConnection, data: bytes) -> None:
        head = data.decode()
        version = int(head.partition("from=")[2].partition("&")[0]) if "from=" in head else None
        wait = int(head.partition("hold_ms=")[2].partition(" ")[0] or 0) * MS
        self.run_after(ROUND_TRIP, lambda: self.process_call(connection, version, wait))

    def process_call(self, connection: FakeConnection, version: int | None, wait: int) -> None:
        if self.fault is Fault.SLOW:
            self.run_after(self.random.randrange(4 * SECOND), lambda: self.answer(connection, version))
        elif self.fault not in (Fault.NONE, Fault.NO_BUFFERS):
            self.fail(connection, self.fault)
        elif version == self.published_version:
            self.waiting[connection] = version
            self.run_after(wait, lambda: self.end_wait(connection))
        else:
            self.answer(connection, version)

    def end_wait(self, connection: FakeConnection) -> None:
        version = self.waiting.pop(connection, None)
        if version is not None:
            self.answer(connection, version)

    def fail(self, connection: FakeConnection, fault: Fault) -> None:
        text = {
            Fault.REJECTED: b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            Fault.SERVER_ERROR: b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
            Fault.GARBAGE: b"\x00\xff garbage\r\n\r\n",
            Fault.HALF_THEN_CLOSED: b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"version"',
            Fault.HALF_THEN_SILENT: b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"version"',
        }
        if fault is Fault.REJECTED_LATE:
            self.run_after(2 * SECOND, lambda: self.fail(connection, Fault.REJECTED))
        elif fault in text:
            connection.deliver(text[fault])
        if fault in (Fault.RESET, Fault.HALF_THEN_CLOSED, *UNREACHABLE):
            connection.end()

    def answer(self, connection: FakeConnection, version: int | None) -> None:
        if not connection.is_open or connection.user is None:
            return
        is_newer = version != self.published_version
        if version is not None and version > self.published_version:
            # No change is newer: a restarted discovery cannot tell that the version precedes its restart.
            body = json.dumps({"version": self.published_version, "full": False, "servers": []}).encode()
            connection.deliver(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            return
        entries = [
            {"id": name, "addr": "127.0.0.1:9", "zone": "a", "kind": "plain", "state": state}
            for name, state in self.published_states.items()
        ]
        for name, state in self.published_states.items():
            if state != "Ready" and is_newer:
                self.written_at.setdefault(name, self.deadlines.now())
        document = {
            "version": self.published_version,
            "full": is_newer,
            "servers": entries if is_newer else [],
        }
        body = json.dumps(document).encode()
        connection.deliver(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    def drain_binding_at(self, worker: str, only_if_reachable: bool) -> float:
        """Return when the worker's drain becomes binding.

        With `only_if_reachable` the delay counts only while discovery is reachable.
        """
        drained_at, written_at = self.drained_at[worker], self.written_at.get(worker, float("inf"))
        if not only_if_reachable:
            return min(written_at, drained_at + BINDING_DELAY)
        if self.reachable_since is None:
            return written_at
        return min(written_at, max(drained_at, self.reachable_since) + BINDING_DELAY)

    def pushed_drain_binding_at(self, worker: str) -> float:
        """Return when a drain that an agent has becomes binding.

        It is binding at once, except while or shortly after calls hang, and after a move.
        """
        if worker not in self.published_at or self.reachable_since is None:
            return float("inf")
        published_at = max(
            self.published_at[worker], self.reachable_since, self.moved_at + MOVE_BINDING_DELAY
        )
        hung_at = self.deadlines.now() if self.fault in HANGING else self.hung_at
        return published_at + (BINDING_DELAY if hung_at > published_at - BINDING_DELAY else 0)
