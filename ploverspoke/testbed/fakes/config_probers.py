"""Probers of configuration: clients and administrators of dispatchers who see which version is active.

They send what no dispatcher accepts, an empty request without an id, and see whether its request class is
known.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

from ..experiment_files.durations import SECOND
from ..processes.history import History, monotonic_now
from .config_client_messages import PARTS, ConfigClientsSpec

DISPATCHER_TIMEOUT = 1.0  # seconds
NOT_FOUND = 404
WIDE_ROUND_INTERVAL = 8  # rounds
TAGS_IN_WIDE_ROUND = 10
ADMIN_ROUND_INTERVAL = 5  # rounds
MIN_PAUSE_SHARE = 0.25  # of the interval between rounds


class PartialLineError(ValueError):
    """A connection ended before a whole line."""


class ConfigProber:
    """The prober of one dispatcher."""

    def __init__(
        self, spec: ConfigClientsSpec, history: History, dispatcher: str, last_tag: Callable[[], int]
    ) -> None:
        """Probe nothing yet; `last_tag` returns the tag of the latest publication."""
        self.history = history
        self.dispatcher = dispatcher
        self.last_tag = last_tag
        self.client_address, self.admin_address = spec.dispatchers[dispatcher]
        self.interval = spec.probe_interval  # ns
        self.random = random.Random(f"{spec.seed} prober {dispatcher}")
        self.active_tag = 0  # as last seen

    async def run(self) -> None:
        """Probe in rounds, forever."""
        interval = self.interval / SECOND
        await asyncio.sleep(self.random.random() * interval)
        round_number = 0
        while True:
            due_at = monotonic_now() + self.interval
            round_number += 1
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                await self._probe(is_wide=round_number % WIDE_ROUND_INTERVAL == 0)
                if round_number % ADMIN_ROUND_INTERVAL == 0:
                    await self._ask_admin_address()
            await asyncio.sleep(max(interval * MIN_PAUSE_SHARE, (due_at - monotonic_now()) / SECOND))

    async def _probe(self, is_wide: bool) -> None:
        """Look which of the request classes that may be active are known, and record it."""
        asked_at, active_tag = monotonic_now(), self.active_tag
        known: list[str] = []
        unknown: list[str] = []

        async def is_known(tag: int, part: str) -> bool:
            """Whether the class of that part is known, which is noted."""
            name = f"g{tag}{part}"
            found = await self._knows(name)
            (known if found else unknown).append(name)
            return found

        first, second = PARTS
        is_whole = await is_known(active_tag, first) & await is_known(active_tag, second)
        newest_first = range(self.last_tag(), 0, -1)
        tags_to_check = (
            newest_first[: TAGS_IN_WIDE_ROUND if is_wide else 1] if is_whole else [*newest_first, 0]
        )
        for tag in tags_to_check:
            if tag == active_tag or not await is_known(tag, first):
                continue
            if await is_known(tag, second):
                self.active_tag = tag
            if not is_whole:
                break
        self.history.add("probe", [self.dispatcher, asked_at, known, unknown])

    async def _knows(self, request_class: str) -> bool:
        """Whether a request of that class is refused for another reason than the class.

        Raises:
            OSError, TimeoutError, PartialLineError: see `_exchange`.
            ValueError: the answer has no status.
        """
        request = f"POST /{request_class} HTTP/1.1\r\nHost: {self.dispatcher}\r\nContent-Length: 0\r\n\r\n"
        answer = await _exchange(self.client_address, request.encode())
        return int(answer.split()[1]) != NOT_FOUND

    async def _ask_admin_address(self) -> None:
        """Record which version the dispatcher claims to have applied."""
        asked_at = monotonic_now()
        answer = await _exchange(self.admin_address, b"config\n")
        self.history.add("door", [self.dispatcher, asked_at, answer.decode(errors="replace").strip()])


async def _exchange(address: str, request: bytes) -> bytes:
    """Send a request on a connection of its own and return the first line of the answer.

    Raises:
        OSError: nobody accepts the connection, or it was reset.
        TimeoutError: there is no answer in time.
        PartialLineError: the connection ended before a whole line.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(DISPATCHER_TIMEOUT):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            line = await reader.readline()
        finally:
            writer.close()
    if not line.endswith(b"\n"):
        raise PartialLineError(line)
    return line
