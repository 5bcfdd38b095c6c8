"""Probers of configuration: they find out which configuration version is active at a dispatcher.

They send empty requests without an id, which no dispatcher accepts. The status of the rejection shows whether
the dispatcher knows the request class.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable

from ..experiment_files.durations import SECOND
from ..processes.history import History, monotonic_now
from .config_client_messages import CLASS_SUFFIXES, ConfigClientsSpec

DISPATCHER_TIMEOUT_S = 1.0
NOT_FOUND = 404
# While both classes of the active tag are known, every eighth round checks the ten latest tags and the other
# rounds only the latest one.
WIDE_ROUND_INTERVAL = 8  # rounds
TAGS_IN_WIDE_ROUND = 10
ADMIN_ROUND_INTERVAL = 5  # rounds between two queries of the admin address
MIN_PAUSE_SHARE = 0.25  # shortest pause after a round, as a share of the interval between rounds


class PartialLineError(ValueError):
    """A connection ended before a complete line was received."""


class ConfigProber:
    """The prober of one dispatcher."""

    def __init__(
        self, spec: ConfigClientsSpec, history: History, dispatcher: str, last_tag: Callable[[], int]
    ) -> None:
        """Create the prober; `last_tag` returns the tag of the latest publication."""
        self.history = history
        self.dispatcher = dispatcher
        self.last_tag = last_tag
        self.client_address, self.admin_address = spec.dispatchers[dispatcher]
        self.interval = spec.probe_interval  # ns
        self.random = random.Random(f"{spec.seed} prober {dispatcher}")
        self.active_tag = 0  # tag of the active version, as last observed

    async def run(self) -> None:
        """Probe the dispatcher at regular intervals until cancelled."""
        interval = self.interval / SECOND
        await asyncio.sleep(self.random.random() * interval)
        round_number = 0
        while True:
            due_at = monotonic_now() + self.interval
            round_number += 1
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                await self._probe(is_wide=round_number % WIDE_ROUND_INTERVAL == 0)
                if round_number % ADMIN_ROUND_INTERVAL == 0:
                    await self._query_admin_address()
            await asyncio.sleep(max(interval * MIN_PAUSE_SHARE, (due_at - monotonic_now()) / SECOND))

    async def _probe(self, is_wide: bool) -> None:
        """Check which of the request classes that may be active the dispatcher knows, and record it."""
        asked_at, active_tag = monotonic_now(), self.active_tag
        known: list[str] = []
        unknown: list[str] = []

        async def check_class(tag: int, suffix: str) -> bool:
            """Return whether the request class is known, after adding its name to `known` or `unknown`."""
            name = f"g{tag}{suffix}"
            is_known = await self._is_class_known(name)
            (known if is_known else unknown).append(name)
            return is_known

        first, second = CLASS_SUFFIXES
        is_complete = await check_class(active_tag, first) & await check_class(active_tag, second)
        newest_first = range(self.last_tag(), 0, -1)
        tags_to_check = (
            newest_first[: TAGS_IN_WIDE_ROUND if is_wide else 1] if is_complete else [*newest_first, 0]
        )
        for tag in tags_to_check:
            if tag == active_tag or not await check_class(tag, first):
                continue
            if await check_class(tag, second):
                self.active_tag = tag
            if not is_complete:
                break
        self.history.add("probe", [self.dispatcher, asked_at, known, unknown])

    async def _is_class_known(self, request_class: str) -> bool:
        """Return whether the dispatcher rejects a request of that class for a reason other than its class.

        Raises:
            OSError, TimeoutError, PartialLineError: see `_exchange`.
            ValueError: the response has no status code.
        """
        request = f"POST /{request_class} HTTP/1.1\r\nHost: {self.dispatcher}\r\nContent-Length: 0\r\n\r\n"
        response = await _exchange(self.client_address, request.encode())
        return int(response.split()[1]) != NOT_FOUND

    async def _query_admin_address(self) -> None:
        """Record the reply of the admin address, which names the applied version."""
        asked_at = monotonic_now()
        reply = await _exchange(self.admin_address, b"config\n")
        self.history.add("door", [self.dispatcher, asked_at, reply.decode(errors="replace").strip()])


async def _exchange(address: str, request: bytes) -> bytes:
    """Send a request on a new connection and return the first line of the response.

    Raises:
        OSError: the connection was refused or reset.
        TimeoutError: no line was received in time.
        PartialLineError: the connection ended before a complete line was received.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(DISPATCHER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            line = await reader.readline()
        finally:
            writer.close()
    if not line.endswith(b"\n"):
        raise PartialLineError(line)
    return line
