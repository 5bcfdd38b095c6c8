"""Asks all dispatchers, from outside, since when a change of configuration is in force: `asker` on pipes.

Heard: `{"doors": [address, ...]}`, then `{"change": N, "grade": name}` as each is made. Told: `{"change": N,
"took": [ns, ...]}` once the grade that the change adds is known at all of them, or once it is given up, with
-1 for those where it was not. A grade is known where a GET to it is a wrong method (405) and no unknown
target (404).
"""

import asyncio
import sys
import time
from collections import deque
from typing import Any, cast

import msgspec
import uvloop

from ..fakes.http_wire import HttpReader, HttpSyntaxError
from ..processes.pipe_messages import send_message

ASKS_EVERY = 0.05  # seconds, of each dispatcher that does not know one: so exact is what is told
GIVES_UP = 30.0  # seconds
UNKNOWN = 404


class Change:
    def __init__(self, number: int, grade: str, doors: int) -> None:
        self.number = number
        self.question = f"GET /{grade} HTTP/1.1\r\nHost: testbed\r\n\r\n".encode()
        self.made = time.monotonic_ns()
        self.took = [-1] * doors
        self.left = doors


class Asking(asyncio.Protocol):
    """One dispatcher: it is asked for the oldest change that it does not know; later ones hold that, too."""

    def __init__(self, asker: "Asker", number: int, door: str) -> None:
        self.asker = asker
        self.number = number
        self.door = door
        self.reader = HttpReader()
        self.transport: asyncio.Transport | None = None
        self.asked: Change | None = None  # and not answered yet
        self.unknown: deque[Change] = deque()
        self.task: asyncio.Task[None] | None = None

    def new(self, change: Change) -> None:
        self.unknown.append(change)
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._ask_on())

    async def _ask_on(self) -> None:
        while self.unknown:
            if self.transport is None:
                await self._connect()
            self._ask()
            await asyncio.sleep(ASKS_EVERY)

    async def _connect(self) -> None:
        host, _, port = self.door.rpartition(":")
        try:
            await asyncio.get_running_loop().create_connection(lambda: self, host, int(port))
        except OSError:
            return

    def _ask(self) -> None:
        if self.transport is not None and self.asked is None and self.unknown:
            self.asked = self.unknown[0]
            self.transport.write(self.asked.question)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.reader = HttpReader()

    def data_received(self, data: bytes) -> None:
        try:
            for message in self.reader.feed(data):
                change, self.asked = self.asked, None
                if change is None or message.status == UNKNOWN:
                    continue
                if self.unknown and self.unknown[0] is change:
                    self.unknown.popleft()
                    self.asker.known(change, self.number)
                    self._ask()
        except HttpSyntaxError:
            if self.transport is not None:
                self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self.asked = None


class Asker:
    def __init__(self, doors: list[str]) -> None:
        self.asking = [Asking(self, number, door) for number, door in enumerate(doors)]
        self.open: dict[int, Change] = {}

    def made(self, number: int, grade: str) -> None:
        change = self.open[number] = Change(number, grade, len(self.asking))
        for one in self.asking:
            one.new(change)
        asyncio.get_running_loop().call_later(GIVES_UP, self._give_up, change)

    def known(self, change: Change, dispatcher: int) -> None:
        change.took[dispatcher] = time.monotonic_ns() - change.made
        change.left -= 1
        if not change.left:
            self._tell(change)

    def _give_up(self, change: Change) -> None:
        for one in self.asking:
            if change in one.unknown:
                one.unknown.remove(change)
        self._tell(change)

    def _tell(self, change: Change) -> None:
        if self.open.pop(change.number, None) is not None:
            send_message({"change": change.number, "took": change.took})


async def live() -> None:
    lines: asyncio.StreamReader = asyncio.StreamReader(limit=1 << 20)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    asker: Asker | None = None
    while line := await lines.readline():
        told: dict[str, Any] = msgspec.json.decode(line)
        if "doors" in told:
            asker = Asker(told["doors"])
        elif asker is not None:
            asker.made(told["change"], told["grade"])


if __name__ == "__main__":
    uvloop.run(live())
