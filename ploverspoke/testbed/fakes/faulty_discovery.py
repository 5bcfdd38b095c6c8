"""A fake discovery whose failures its caller sets off; it records who called and what was written when.

`discovery_server` has the other one, which follows the faults of an experiment.
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

BACKLOG = 256
INVALID_LIST = b'{"version":"soon"}'


class Failure(Enum):
    """How a call fails."""

    REJECTED = "503"
    RESET = "reset"
    SILENT = "silent"
    INVALID = "invalid"


class CallSeen(NamedTuple):
    """One call as discovery saw it."""

    at: float  # of the event loop's clock
    dispatcher: int
    version: int | None  # None: the whole list was asked for


class CallQueue(NamedTuple):
    """Calls are worked through one after the other."""

    service_time: float  # seconds that each takes
    capacity: int  # further ones are rejected
    rejections_are_served: bool = False


class ScriptedDiscovery:
    """One discovery with an address for each dispatcher, by which it knows who calls."""

    def __init__(
        self,
        entries: Iterable[ListedEndpoint],
        queue: CallQueue | None = None,
        host: str = "127.0.0.1",
        max_hold: float = math.inf,
    ) -> None:
        """Start with that list, not listening.

        Args:
            entries: Those of the list.
            queue: How calls are worked through; without it each is answered at once.
            host: Where it listens.
            max_hold: Seconds that a watch may wait at most, whatever it asks for.
        """
        self.entries = list(entries)
        self.version = 1
        self.queue = queue
        self.host = host
        self.max_hold = max_hold
        self.next_failures: deque[Failure] = deque()  # one for each of the next calls
        self.outage: Failure | None = None  # how every call fails
        self.calls: list[CallSeen] = []
        self.written: dict[int, dict[int, float]] = {}  # by dispatcher and version: when first written
        self.changed = asyncio.Event()
        self.servers: dict[int, asyncio.Server] = {}
        self.ports: dict[int, int] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.waiting = 0
        self.free_at = 0.0

    # ---- Control ----

    async def address_for(self, dispatcher: int) -> str:
        """The address of this discovery for one dispatcher, where it listens from now on."""
        await self._listen(dispatcher)
        return f"{self.host}:{self.ports[dispatcher]}"

    def change(self, worker: str, state: str) -> int:
        """Change a worker's state; returns the version from which on the list shows it."""
        self.version += 1
        self.entries = [
            msgspec.structs.replace(each, state=state) if each.id == worker else each for each in self.entries
        ]
        self.wake_watches()
        return self.version

    def fail_watches(self, *failures: Failure) -> None:
        """Have the call that waits fail in the first way, and the next ones in the others."""
        self.next_failures.extend(failures)
        self.wake_watches()

    def wake_watches(self) -> None:
        """End the waits of all calls."""
        self.changed.set()
        self.changed = asyncio.Event()

    def reset_all(self) -> None:
        """Reset every connection."""
        for writer in list(self.writers):
            _reset(writer)

    async def refuse(self) -> None:
        """Reset every connection and listen no more."""
        for server in self.servers.values():
            server.close()
        self.servers.clear()
        self.reset_all()

    async def listen_again(self) -> None:
        """Accept connections at all addresses again."""
        for dispatcher in self.ports:
            await self._listen(dispatcher)

    async def fail_for(self, failure: Failure | None, seconds: float) -> None:
        """Every call fails for a while; None: nobody listens."""
        if failure is None:
            await self.refuse()
        else:
            self.outage = failure
            self.wake_watches()
        await asyncio.sleep(seconds)
        self.outage = None
        if failure is None:
            await self.listen_again()

    def written_at(self, dispatcher: int, version: int) -> float | None:
        """When a list of that version or a later one was first written to the dispatcher."""
        times = [at for number, at in self.written.get(dispatcher, {}).items() if number >= version]
        return min(times, default=None)

    def close(self) -> None:
        """End for good."""
        for server in self.servers.values():
            server.close()
        self.reset_all()
        for task in self.tasks:
            task.cancel()

    # ---- Calls ----

    async def _listen(self, dispatcher: int) -> None:
        listening = bind_without_listening(self.host, self.ports.get(dispatcher, 0))
        self.ports[dispatcher] = listening.getsockname()[1]
        serve = partial(self._serve, dispatcher)
        self.servers[dispatcher] = await asyncio.start_server(serve, sock=listening, backlog=BACKLOG)

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
        """Answer one call; false where its connection ends."""
        query = parse_list_query(await read_message(reader))
        self.calls.append(CallSeen(asyncio.get_running_loop().time(), dispatcher, query.version))
        failure = await self._wait_for_answer(query)
        if failure is Failure.RESET:
            _reset(writer)
            return False
        if failure is Failure.SILENT:
            await asyncio.Event().wait()
        if writer.transport.is_closing():
            return False  # nothing is written to it any more
        if failure is Failure.REJECTED:
            writer.write(encode_response(503, "Busy", b""))
        elif failure is Failure.INVALID:
            writer.write(encode_response(200, "OK", INVALID_LIST))
        else:
            writer.write(self._list(dispatcher, query.version))
        return True

    async def _wait_for_answer(self, query: ListQuery) -> Failure | None:
        """Wait until the call is to be answered; returns how it fails instead, if it does."""
        failure = self._next_failure()
        if failure is not None:
            return failure
        if query.version == self.version:
            # Watches that wait need no service, and are not rejected.
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
        """Wait until the calls before this one are worked through; false where too many wait."""
        if self.queue is None:
            return True
        loop = asyncio.get_running_loop()
        if self.waiting >= self.queue.capacity:
            if self.queue.rejections_are_served:
                self.free_at = max(loop.time(), self.free_at) + self.queue.service_time
            return False
        self.waiting += 1
        self.free_at = max(loop.time(), self.free_at) + self.queue.service_time
        try:
            await asyncio.sleep(self.free_at - loop.time())
        finally:
            self.waiting -= 1
        return True

    def _list(self, dispatcher: int, version: int | None) -> bytes:
        """Return the response with the list, whole where the dispatcher's version is not the latest."""
        is_full = version is None or version < self.version
        now = asyncio.get_running_loop().time()
        self.written.setdefault(dispatcher, {}).setdefault(self.version, now)
        return encode_list_update(EndpointListUpdate(self.version, is_full, self.entries if is_full else []))


def _reset(writer: asyncio.StreamWriter) -> None:
    end = writer.get_extra_info("socket")
    if end is not None and end.fileno() >= 0:
        with contextlib.suppress(OSError):
            reset_on_close(end)
    writer.transport.abort()
