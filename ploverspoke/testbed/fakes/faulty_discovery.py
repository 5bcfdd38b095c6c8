"""A fake discovery whose failures are set by its caller; it records each call and when lists were written.

`discovery_server` has another fake, which follows the faults of an experiment.
"""

import asyncio
import contextlib
import math
from collections import deque
from collections.abc import Iterable
from enum import Enum
from functools import partial
from typing import NamedTuple

import msgspec

from ..processes.addresses import bind_without_listening
from ..processes.connection_reset import reset_on_close
from .discovery_protocol import (
    EndpointListUpdate,
    ListedEndpoint,
    ListQuery,
    encode_list_update,
    parse_list_query,
)
from .http_wire import encode_response, read_message

BACKLOG = 256  # connections
INVALID_LIST = b'{"version":"soon"}'


class Failure(Enum):
    """How a call fails."""

    REJECTED = "503"
    RESET = "reset"
    SILENT = "silent"
    INVALID = "invalid"


class ReceivedCall(NamedTuple):
    """One call that discovery received."""

    at: float  # seconds of the event loop's clock
    dispatcher: int
    version: int | None  # None: the call asks for the whole list


class CallQueue(NamedTuple):
    """A queue of calls that are served one at a time."""

    service_time: float  # seconds for each call
    capacity: int  # calls; further ones are rejected
    rejections_take_service_time: bool = False  # a rejected call also takes the service time


class ScriptedDiscovery:
    """A discovery with one address for each dispatcher, which identifies the caller."""

    def __init__(
        self,
        entries: Iterable[ListedEndpoint],
        queue: CallQueue | None = None,
        host: str = "127.0.0.1",
        max_hold: float = math.inf,
    ) -> None:
        """Create a discovery that does not listen yet.

        Args:
            entries: The entries of the endpoint list.
            queue: The queue for calls; without it each call is answered at once.
            host: The host on which it listens.
            max_hold: Longest time, in seconds, that a watch waits, even if it asks for more.
        """
        self.entries = list(entries)
        self.version = 1
        self.queue = queue
        self.host = host
        self.max_hold = max_hold
        self.next_failures: deque[Failure] = deque()  # of the next calls, one each
        self.outage: Failure | None = None  # the failure of every call at present
        self.calls: list[ReceivedCall] = []
        self.list_times: list[float] = []  # when lists were written, by the event loop's clock
        self.first_written_at: dict[int, dict[int, float]] = {}  # by dispatcher and version
        self.changed = asyncio.Event()
        self.servers: dict[int, asyncio.Server] = {}
        self.ports: dict[int, int] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.queued_calls = 0
        self.busy_until = 0.0  # when all calls so far are served, by the event loop's clock

    # ---- Control ----

    async def address_for(self, dispatcher: int) -> str:
        """Start listening for one dispatcher and return the address."""
        await self._listen(dispatcher)
        return f"{self.host}:{self.ports[dispatcher]}"

    def set_worker_state(self, worker: str, state: str) -> int:
        """Change a worker's state; returns the first version of the list that has it."""
        self.version += 1
        self.entries = [
            msgspec.structs.replace(entry, state=state) if entry.id == worker else entry
            for entry in self.entries
        ]
        self.wake_watches()
        return self.version

    def fail_next_calls(self, *failures: Failure) -> None:
        """Make the next calls fail in these ways, in order, starting with the watches that wait now."""
        self.next_failures.extend(failures)
        self.wake_watches()

    def wake_watches(self) -> None:
        """Wake all watches that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def reset_connections(self) -> None:
        """Reset every connection."""
        for writer in list(self.writers):
            _reset(writer)

    async def stop_listening(self) -> None:
        """Stop listening and reset every connection."""
        for server in self.servers.values():
            server.close()
        self.servers.clear()
        self.reset_connections()

    async def listen_again(self) -> None:
        """Listen at all addresses again."""
        for dispatcher in self.ports:
            await self._listen(dispatcher)

    async def fail_for(self, failure: Failure | None, seconds: float) -> None:
        """Make every call fail for that time; with None, connections are refused."""
        if failure is None:
            await self.stop_listening()
        else:
            self.outage = failure
            self.wake_watches()
        await asyncio.sleep(seconds)
        self.outage = None
        if failure is None:
            await self.listen_again()

    def written_at(self, dispatcher: int, version: int) -> float | None:
        """Return when a list of that version or a later one was first written to the dispatcher."""
        times = [
            at
            for written_version, at in self.first_written_at.get(dispatcher, {}).items()
            if written_version >= version
        ]
        return min(times, default=None)

    def close(self) -> None:
        """Stop listening, reset every connection and cancel all tasks."""
        for server in self.servers.values():
            server.close()
        self.reset_connections()
        for task in self.tasks:
            task.cancel()

    # ---- Calls ----

    async def _listen(self, dispatcher: int) -> None:
        listening_socket = bind_without_listening(self.host, self.ports.get(dispatcher, 0))
        self.ports[dispatcher] = listening_socket.getsockname()[1]
        serve = partial(self._serve, dispatcher)
        self.servers[dispatcher] = await asyncio.start_server(serve, sock=listening_socket, backlog=BACKLOG)

    async def _serve(
        self, dispatcher: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                while await self._serve_call(dispatcher, reader, writer):
                    pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _serve_call(
        self, dispatcher: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one call; returns whether the connection stays open."""
        query = parse_list_query(await read_message(reader))
        self.calls.append(ReceivedCall(asyncio.get_running_loop().time(), dispatcher, query.version))
        failure = await self._wait_for_answer(query)
        if failure is Failure.RESET:
            _reset(writer)
            return False
        if failure is Failure.SILENT:
            await asyncio.Event().wait()
        if writer.transport.is_closing():
            return False  # the connection ended while the call waited
        if failure is Failure.REJECTED:
            writer.write(encode_response(503, "Busy", b""))
        elif failure is Failure.INVALID:
            writer.write(encode_response(200, "OK", INVALID_LIST))
        else:
            writer.write(self._encode_list(dispatcher, query.version))
        return True

    async def _wait_for_answer(self, query: ListQuery) -> Failure | None:
        """Wait until the call can be answered; returns its failure, or None if it succeeds."""
        failure = self._next_failure()
        if failure is not None:
            return failure
        if query.version == self.version:
            # A watch that waits for a change takes no service time and is never rejected.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(self.max_hold, query.hold_seconds)):
                    await self.changed.wait()
            return self._next_failure()
        return None if await self._wait_for_service() else Failure.REJECTED

    def _next_failure(self) -> Failure | None:
        if self.outage is None and self.next_failures:
            return self.next_failures.popleft()
        return self.outage

    async def _wait_for_service(self) -> bool:
        """Wait until this call is served; returns False if the queue is full."""
        if self.queue is None:
            return True
        loop = asyncio.get_running_loop()
        if self.queued_calls >= self.queue.capacity:
            if self.queue.rejections_take_service_time:
                self.busy_until = max(loop.time(), self.busy_until) + self.queue.service_time
            return False
        self.queued_calls += 1
        self.busy_until = max(loop.time(), self.busy_until) + self.queue.service_time
        try:
            await asyncio.sleep(self.busy_until - loop.time())
        finally:
            self.queued_calls -= 1
        return True

    def _encode_list(self, dispatcher: int, version: int | None) -> bytes:
        """Return the response with the list; it is whole unless the dispatcher has the latest version."""
        is_full = version is None or version < self.version
        now = asyncio.get_running_loop().time()
        self.list_times.append(now)
        self.first_written_at.setdefault(dispatcher, {}).setdefault(self.version, now)
        return encode_list_update(EndpointListUpdate(self.version, is_full, self.entries if is_full else []))


def _reset(writer: asyncio.StreamWriter) -> None:
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        with contextlib.suppress(OSError):
            reset_on_close(connection)
    writer.transport.abort()
