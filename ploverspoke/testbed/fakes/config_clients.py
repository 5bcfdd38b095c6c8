"""All that meets config servers and dispatchers from outside, one process: publishers, probers, a discovery.

`python -m ploverspoke.testbed.fakes.config_clients SPEC`. Lines on its input: `{"go": true}` starts
it; `{"last": true}` publishes a last good body and one that checks refuse, and publishers rest from then on,
`{"read": true}` reads from all servers what they have. Each is answered with a line. What was done, and what
came of it, goes to a history on the machine's clock; see `distribution_check` for the events.

Publishers and readers speak to servers past the relays, so that a leader that is cut off is still asked to
commit. Probers are clients of the dispatchers: they hand in what no dispatcher takes, an empty submission
without an id, and see whether its grade is known.
"""

import asyncio
import contextlib
import random
import sys
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from typing import Any

import msgspec
import uvloop

from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import send_admin_request

from ..checkers.distribution_checker import GOOD, REFUSABLE, UNACCEPTABLE
from ..experiment_files.durations import SECOND
from ..processes.history import History, monotonic_now
from .fake_process import send_message

ANSWERS_WITHIN = 1.0  # seconds, a dispatcher
TRIES_FOR = 8 * SECOND  # under one id
ASKED_FOR = 0.7  # seconds, a server
AGAIN = 0.1  # seconds, before the next try
WIDE_EVERY, WIDE = 8, 10  # rounds; tags that are asked for then
DOOR_EVERY = 5  # rounds
LONGEST_HOLD = 2.0  # seconds, of discovery's answer
LATE_EVERY = 0.05
ROWS = 16  # of the latest versions, in the history
ABANDON_US = 500_000


class ConfigClientsSpec(msgspec.Struct):
    seed: int
    history: str
    secret: str
    servers: dict[str, str]  # where each is asked
    names: dict[str, str]  # a server's name by the address that servers give of it
    dispatchers: dict[str, list[str]]  # where each is asked by clients, and by operators
    discovery: str  # host
    publishers: int
    every: int  # ns between two publications of one publisher, on the average
    stubborn: float  # share of publications that are tried again where no answer came
    probe_every: int  # ns between two rounds at one dispatcher
    hush_every: int  # ns; then nothing is published behind one that is refused, for `hush`; 0: never
    hush: int  # ns


def grades_of(tag: int) -> list[dict[str, Any]]:
    """What a body brings, and a dispatcher's own file for tag 0."""
    return [
        {"Name": f"g{tag}{part}", "Repeat": "free", "ExpectedTimeUs": 200_000, "AbandonTimeUs": ABANDON_US}
        for part in "ab"
    ]


class Refusal(msgspec.Struct, frozen=True):
    """What is wrong with a body, and the key that has to be named."""

    key: str
    settings: dict[str, Any] = {}
    top: dict[str, Any] = {}


BY_DISPATCHERS = [
    Refusal("settings.Limits.MaxHandOffs", {"Limits": {"MaxHandOffs": 0}}),
    Refusal("settings.RoundUs", {"RoundUs": -1}),
    Refusal("settings.Discovery", {"Discovery": None}),
]
BY_SERVERS = [
    Refusal("listen", top={"listen": "127.0.0.1:1"}),
    Refusal("settings.SlotNo", {"SlotNo": 1}),
    Refusal("zones", top={"zones": []}),
]


class Publication(msgspec.Struct):
    id: str
    tag: int
    kind: str
    key: str
    expect: int  # -1: whatever is the latest
    body: str


class Clients:
    def __init__(self, spec: ConfigClientsSpec) -> None:
        self.spec = spec
        self.chance = random.Random(f"{spec.seed} publishers")
        self.history = History(Path(spec.history), "clients")
        self.secret = spec.secret.encode()
        self.tags = 0  # given out
        self.leader = next(iter(spec.servers))
        self.in_force = dict.fromkeys(spec.dispatchers, 0)  # tag, as last seen
        self.resting = asyncio.Event()
        self.resting.set()  # cleared while nobody publishes
        self.over: asyncio.Future[None] = asyncio.get_running_loop().create_future()  # for publishers
        self.hurried = False  # what has no answer by now is not tried again
        self.discoveries: list[str] = []
        self.late = 0
        self.tasks: set[asyncio.Task[None]] = set()

    def begin(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def open(self) -> None:
        for _ in range(2):
            server = await asyncio.start_server(self.discover, self.spec.discovery, 0, backlog=256)
            self.discoveries.append("{}:{}".format(*server.sockets[0].getsockname()))
        send_message({"discovery": self.discoveries[0]})

    def go(self) -> None:
        work = [self.publish_on(number) for number in range(self.spec.publishers)]
        if self.spec.hush_every:
            work.append(self.hush_on())
        self.publishers = asyncio.gather(*work)
        for name in self.spec.dispatchers:
            self.begin(self.probe_on(name))
        self.begin(self.watch())

    async def watch(self) -> None:
        while True:
            due = monotonic_now() + int(LATE_EVERY * SECOND)
            await asyncio.sleep(LATE_EVERY)
            self.late = max(self.late, monotonic_now() - due)

    # ---- Publishing ----

    async def ask(self, server: str, question: dict[str, Any]) -> Any:
        """None where nobody answers in time. The thread goes on: what it asked for may yet be done."""
        work = asyncio.to_thread(send_admin_request, self.spec.servers[server], self.secret, question)
        try:
            return await asyncio.wait_for(work, ASKED_FOR)
        except (OSError, TimeoutError, FrameError, msgspec.MsgspecError):
            return None

    def leave(self, server: str) -> None:
        """It does not answer, or does not lead and does not know who does."""
        if self.leader == server:
            self.leader = self.chance.choice([name for name in self.spec.servers if name != server])

    async def latest(self) -> int:
        """The number of the latest version, from whoever is believed to lead; -1 where it does not answer."""
        server = self.leader
        rows = await self.ask(server, {"ask": "versions"})
        if not isinstance(rows, list):
            self.leave(server)
            return -1
        self.history.add("versions", [server, rows[-ROWS:], False])
        return rows[-1][0] if rows else 0

    def publication(self, kind: str, expect: int) -> Publication:
        self.tags += 1
        tag = self.tags
        wrong = Refusal("")
        if kind == REFUSABLE:
            wrong = self.chance.choice(BY_DISPATCHERS)
        elif kind == UNACCEPTABLE:
            wrong = self.chance.choice(BY_SERVERS)
        settings = {"ServiceGrades": grades_of(tag), **wrong.settings}
        discovery = self.discoveries[tag % len(self.discoveries)]
        body = msgspec.json.encode({"settings": settings, "discovery": discovery, **wrong.top}).decode()
        made = Publication(f"p{tag}", tag, kind, wrong.key, expect, body)
        self.history.add("wants", [made.id, made.tag, made.kind, made.key, made.expect])
        return made

    async def publish(self, made: Publication, stubborn: bool) -> bool:
        """Whether it was acknowledged. Who is not stubborn lets it go where no answer came."""
        until = monotonic_now() + TRIES_FOR
        question = {
            "ask": "publish",
            "body": made.body,
            "expect": made.expect,
            "by": "testbed",
            "id": made.id,
        }
        while monotonic_now() < until and not self.hurried:
            server = self.leader
            self.history.add("sends", [made.id, server])
            if self.chance.random() < 0.2:  # it comes twice, one behind the other or not
                self.begin(self.again(made, server, question))
            told = await self.ask(server, question)
            if not isinstance(told, dict):
                self.leave(server)
                if not stubborn:
                    return False
            elif "leader" in told:
                known = self.spec.names.get(told["leader"])
                if known:
                    self.leader = known
                    continue
                self.leave(server)
            else:
                sure = self.answered(made, server, told)
                if sure or not stubborn:
                    return bool(told["done"])
            await asyncio.sleep(AGAIN)
        return False

    def answered(self, made: Publication, server: str, told: dict[str, Any]) -> bool:
        """Whether that answer is the last word on it."""
        sure = not told.get("unknown")
        done, version, why = told["done"], told["version"], told["why"]
        self.history.add("answer", [made.id, server, done, version, why, sure])
        return sure

    async def again(self, made: Publication, server: str, question: dict[str, Any]) -> None:
        told = await self.ask(server, question)
        if isinstance(told, dict) and "leader" not in told:
            self.answered(made, server, told)

    async def goes_on(self, span: float) -> bool:
        """After so many ns, or at once when all is over."""
        await asyncio.wait([self.over], timeout=span / SECOND)
        return not self.over.done()

    async def publish_on(self, number: int) -> None:
        chance = random.Random(f"{self.spec.seed} publisher {number}")
        while await self.goes_on(chance.expovariate(1.0) * self.spec.every):
            await self.resting.wait()
            expect = await self.latest()
            if expect < 0:
                continue
            kind = chance.choices([GOOD, REFUSABLE, UNACCEPTABLE], [8, 1, 1])[0]
            stubborn = chance.random() < self.spec.stubborn
            both = [self.publish(self.publication(kind, expect), stubborn)]
            if chance.random() < 0.2:  # two race
                both.append(self.publish(self.publication(GOOD, expect), stubborn))
            await asyncio.gather(*both)

    async def one(self, kind: str) -> None:
        """Until one of that kind is acknowledged."""
        until = monotonic_now() + TRIES_FOR
        while monotonic_now() < until and not self.hurried:
            expect = await self.latest()
            if expect >= 0 and await self.publish(self.publication(kind, expect), True):
                return
            await asyncio.sleep(AGAIN)

    async def last(self) -> None:
        # Whoever publishes ends by itself: what is published here then comes behind it.
        self.over.set_result(None)
        self.resting.set()
        self.hurried = True
        await self.publishers
        self.hurried = False
        await self.one(GOOD)
        await self.one(REFUSABLE)
        send_message({"last": self.tags, "late": self.late})

    async def hush_on(self) -> None:
        while await self.goes_on(self.spec.hush_every):
            self.resting.clear()
            await self.one(REFUSABLE)
            await self.goes_on(self.spec.hush)
            self.resting.set()

    async def read(self) -> None:
        for server in self.spec.servers:
            rows = await self.ask(server, {"ask": "versions"})
            if isinstance(rows, list):
                self.history.add("versions", [server, rows, True])
            rows = await self.ask(server, {"ask": "watchers"})
            if isinstance(rows, list):
                self.history.add("watchers", [server, rows])
        send_message({"read": True, "late": self.late})

    # ---- Probing ----

    async def probe_on(self, dispatcher: str) -> None:
        chance = random.Random(f"{self.spec.seed} prober {dispatcher}")
        every = self.spec.probe_every / SECOND
        await asyncio.sleep(chance.random() * every)
        number = 0
        while True:
            due = monotonic_now() + self.spec.probe_every
            number += 1
            with contextlib.suppress(OSError, TimeoutError, ValueError):
                await self.round(dispatcher, wide=number % WIDE_EVERY == 0)
                if number % DOOR_EVERY == 0:
                    await self.door(dispatcher)
            await asyncio.sleep(max(every / 4, (due - monotonic_now()) / SECOND))

    async def round(self, dispatcher: str, wide: bool) -> None:
        asked, now = monotonic_now(), self.in_force[dispatcher]
        there: list[str] = []
        missed: list[str] = []

        async def has(name: str) -> bool:
            found = await self.knows(dispatcher, name)
            (there if found else missed).append(name)
            return found

        whole = await has(f"g{now}a") & await has(f"g{now}b")
        newest = range(self.tags, 0, -1)
        for tag in newest[: WIDE if wide else 1] if whole else [*newest, 0]:
            if tag == now or not await has(f"g{tag}a"):
                continue
            if await has(f"g{tag}b"):
                self.in_force[dispatcher] = tag
            if not whole:
                break
        self.history.add("probe", [dispatcher, asked, there, missed])

    async def knows(self, dispatcher: str, grade: str) -> bool:
        """Whether a submission of that grade is refused for something else. Raises OSError, TimeoutError."""
        line = f"POST /{grade} HTTP/1.1\r\nHost: {dispatcher}\r\nContent-Length: 0\r\n\r\n"
        answer = await self.exchange(self.spec.dispatchers[dispatcher][0], line.encode())
        return int(answer.split()[1]) != 404

    async def door(self, dispatcher: str) -> None:
        asked = monotonic_now()
        answer = await self.exchange(self.spec.dispatchers[dispatcher][1], b"config\n")
        self.history.add("door", [dispatcher, asked, answer.decode(errors="replace").strip()])

    async def exchange(self, where: str, said: bytes) -> bytes:
        """The first line of the answer. Raises OSError, TimeoutError, ValueError where there is none."""
        host, _, port = where.rpartition(":")
        async with asyncio.timeout(ANSWERS_WITHIN):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(said)
                line = await reader.readline()
            finally:
                writer.close()
        if not line.endswith(b"\n"):
            raise ValueError("no whole answer")
        return line

    # ---- Discovery ----

    async def discover(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """No workers, and no change of that."""
        over = (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*over):
            async for target in targets(reader):
                watches = "from=" in target
                if watches:
                    held = int(target.partition("hold_ms=")[2] or 0) / 1000
                    await asyncio.sleep(min(LONGEST_HOLD, held))
                body = msgspec.json.encode({"version": 1, "full": not watches, "servers": []})
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
        writer.close()


async def targets(reader: asyncio.StreamReader) -> AsyncIterator[str]:
    """Of one request after the other. Raises IncompleteReadError at the end."""
    while True:
        head = await reader.readuntil(b"\r\n\r\n")
        yield head.split()[1].decode()


async def live(spec: ConfigClientsSpec) -> None:
    clients = Clients(spec)
    await clients.open()
    lines = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    calls = {"last": clients.last, "read": clients.read}
    while line := await lines.readline():
        told = msgspec.json.decode(line)
        if "go" in told:
            clients.go()
            send_message({"go": True})
        for word in told.keys() & calls.keys():
            await calls[word]()


if __name__ == "__main__":
    uvloop.run(live(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ConfigClientsSpec)))
