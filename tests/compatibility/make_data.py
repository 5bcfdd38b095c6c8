"""Writes the data of the compatibility tests: made at commit c0e5f5c, with the code of that commit.

How to run it: in a checkout of c0e5f5c, with this file copied to the same place there,
`PYTHONPATH=. python tests/compatibility/make_data.py OUTPUT_FOLDER`; the folder must be new.
It documents how the files in `data/` were made, so it keeps the names of that commit and is not changed
when the code is. Bytes stand in the JSON files as hexadecimal text.
"""

import asyncio
import getpass
import json
import secrets
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec
from click.testing import CliRunner
from ploverspoke.consensus.disk import Disk
from ploverspoke.consensus.frames import Frames
from ploverspoke.consensus.links import ASKS, Links
from ploverspoke.consensus.members import fingerprint
from ploverspoke.consensus.orders import read_replica_orders
from ploverspoke.distribution.client import ServerConnection, write_cache
from ploverspoke.distribution.door import Door as WatcherDoor
from ploverspoke.distribution.door import WatcherConnection
from ploverspoke.distribution.feed import Feed
from ploverspoke.distribution.node import COMMITTED, ConfigServerNode
from ploverspoke.distribution.orders import WatchOrders, read_config_server_orders
from ploverspoke.distribution.overlay import canonical
from ploverspoke.distribution.parcels import read_have
from ploverspoke.distribution.versions import Version, Versions, digest_of, publish_command
from ploverspoke.distribution.watch import Taken, Watch
from ploverspoke.leases.door import Door as HolderDoor
from ploverspoke.leases.door import HolderConnection
from ploverspoke.leases.keeper import Keeper
from ploverspoke.leases.node import ERA_KEPT, KeeperNode
from ploverspoke.leases.orders import read_keeper_orders
from ploverspoke.leases.rules import Rule, Rules
from ploverspoke.leases.terms import Terms
from ploverspoke.store.ledger import Ledger
from ploverspoke.store.memory import RosterMemory
from ploverspoke.store.scribe import StoreScribe

from ploverspoke.cli import main as command_line
from ploverspoke.consensus import raft
from ploverspoke.consensus.log import Entry
from ploverspoke.consensus.replica import Batch
from ploverspoke.leases.client import KeeperConnection
from ploverspoke.leases.holder import Holder
from ploverspoke.protocol import clients, discovery, heads, operators, tellings, workers
from ploverspoke.routing.outcomes import OUTCOMES
from ploverspoke.store.node import CONFIGURATION, ROSTER, StoreNode

MILLISECOND = 1_000_000
SECOND = 1000 * MILLISECOND
SECRET = b"a secret of twenty-four."
CLUSTER = "fleet"
MEMBERS = {f"r{n}.1": [f"r{n}", f"10.0.0.{n}:7001", f"10.0.0.{n}:8081", True] for n in (1, 2, 3)}
DIGEST = bytes(range(16))
BODIES = ['{"settings": {"RoundUs": 2000}}', '{"settings": {"RoundUs": 3000}, "zones": {"a": {}}}']
WORKER = {"id": "w0", "addr": "10.0.1.1:9001", "state": "Ready"}
ROSTER_BODY = json.dumps({"version": 4, "full": True, "servers": [WORKER]}).encode()
encode = msgspec.msgpack.encode
Step = dict[str, Any]


def write_json(path: Path, value: Any) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(value, indent=1) + "\n", encoding="utf-8")


# ---- Disks ----


def write_disk(folder: Path, state: Any, commands: list[Any], kept: dict[str, Any]) -> None:
    """A store with a snapshot of the first half of the commands, and the other half in its log."""
    folder.mkdir(parents=True, exist_ok=True)
    disk = Disk(folder)
    disk.open()
    disk.keep("disk", "00112233aabbccdd")
    disk.begin("r1.1", fingerprint(CLUSTER, MEMBERS), MEMBERS)
    entries = [Entry(1, 1, "noop", None)]
    entries += [Entry(at, 1 + at // 4, "data", command) for at, command in enumerate(commands, 2)]
    entries.append(
        Entry(len(entries) + 1, entries[-1].term, "members", {**MEMBERS, "r4.1": ["r4", "", "", False]})
    )
    half = len(entries) // 2
    batch = Batch()
    batch.vote, batch.entries = (entries[-1].term, "r2.1"), entries
    disk.write(batch)
    for entry in entries[1:half]:
        state.apply(entry.at, entry.data)
    snapshot = state.dump()
    disk.keep_snapshot(half, entries[half - 1].term, MEMBERS, snapshot)
    for key, value in kept.items():
        disk.keep(key, value)
    disk.close()
    for entry in entries[half:-1]:
        state.apply(entry.at, entry.data)
    (folder / "snapshot.bin").write_bytes(snapshot)
    (folder / "state.bin").write_bytes(state.dump())
    told = {
        "commands": [encode(command).hex() for command in commands],
        "entries": [[e.at, e.term, e.kind, encode(e.data).hex()] for e in entries],
        "snapshot_at": half,
        "snapshot_term": entries[half - 1].term,
        "vote": [entries[-1].term, "r2.1"],
        "disk": "00112233aabbccdd",
        "me": "r1.1",
        "cluster": CLUSTER,
        "fingerprint": fingerprint(CLUSTER, MEMBERS),
        "members": MEMBERS,
        "kept": {key: encode(value).hex() for key, value in kept.items()},
    }
    write_json(folder / "written.json", told)


def store_commands() -> list[Any]:
    return [
        ["take", "job-1", 0, DIGEST, 9 * SECOND, SECOND],
        ["intend", "job-1", "w0", 1, 2 * SECOND, 1_700_000_000 * SECOND],
        ["answer", "job-1", "satisfied", "fine", DIGEST, 3 * SECOND],
        ["configure", '{"settings": {"RoundUs": 2000}}', "anna", 1_700_000_001 * SECOND, 7],
        ["take", "job-2", 1, DIGEST[::-1], 10 * SECOND, 4 * SECOND],
        ["intend", "job-2", "w1", 1, 5 * SECOND, 1_700_000_002 * SECOND],
        ["outcome", "job-2", 1, "broken_off"],
        ["intend", "job-2", "w2", 2, 6 * SECOND],
        ["take", "job-3", 0, DIGEST, 12 * SECOND, 7 * SECOND],
        ["answer", "job-3", "nacked", "", DIGEST, 8 * SECOND],
        ["take", "job-4", 2, b"", 13 * SECOND, 9 * SECOND],
    ]


def lease_commands() -> list[Any]:
    return [
        ["grant", "summary", "n0/1", 30 * SECOND, 1, []],
        ["grant", "restart", "n1/1", 60 * SECOND, 3, []],
        ["grant", "restart", "n2/1", 60 * SECOND, 3, []],
        ["release", [["summary", 1]]],
        ["era", 1_700_000_000],
        ["grant", "summary", "n2/1", 30 * SECOND, 1, []],
        ["grant", "restart", "n0/1", 60 * SECOND, 3, [2, 3]],
    ]


def config_commands() -> list[bytes]:
    same = [digest_of(canonical(json.loads(body))) for body in BODIES]
    return [
        publish_command(BODIES[0], same[0], 0, "anna", "request-1"),
        publish_command(BODIES[0], same[0], 0, "anna", "request-2"),
        publish_command(BODIES[1], same[1], 0, "ben", "request-3"),
        publish_command(BODIES[1], same[1], 1, "ben", "request-4"),
    ]


def write_disks(folder: Path) -> None:
    roster: list[Any] = []
    RosterMemory(roster.append).told(ROSTER_BODY)
    kept: dict[str, Any] = {CONFIGURATION: [1, BODIES[0]], ROSTER: roster[0]}
    write_disk(folder / "store", Ledger(), store_commands(), kept)
    write_disk(folder / "leases", Terms(), lease_commands(), {ERA_KEPT: 1_700_000_000})
    version = [
        2,
        BODIES[1],
        digest_of(BODIES[1]),
        digest_of(canonical(json.loads(BODIES[1]))),
        "ben",
        "request-4",
    ]
    write_disk(folder / "config", Versions(), config_commands(), {COMMITTED: version})
    orders = WatchOrders(CLUSTER, [], [], SECRET, folder / "config" / "cache.json")
    write_cache(orders, Taken(2, digest_of(BODIES[1]), BODIES[1]))


def write_scribe(folder: Path) -> None:
    """The commands that a leading replica proposes for its router."""
    proposed: list[str] = []
    node: Any = SimpleNamespace(clock=SimpleNamespace(now=lambda: 5 * SECOND), on_role=[])
    node.propose = lambda command, then: proposed.append(encode(command).hex())
    scribe = StoreScribe(node, [], [])
    digest = scribe.digest("POST", "/book/1", b"{}")
    with mock.patch.object(time, "time_ns", lambda: 1_700_000_000 * SECOND):
        scribe.take("job-1", 1, digest, 7 * SECOND, lambda yes: None)
        scribe.intend("job-1", "w0", 1, lambda yes: None)
        scribe.outcome("job-1", 1, "full")
        scribe.answer("job-1", "satisfied", "fine", digest, lambda yes: None)
    told = {"digest": digest.hex(), "proposed": proposed, "roster_body": ROSTER_BODY.decode()}
    write_json(folder / "scribe.json", {**told, "outcomes": sorted(set(OUTCOMES.values()))})


# ---- Scripted runs: what each object was told, and the bytes that it sent ----


class Run:
    """Calls objects and records each step; their hosts put what they send in `sent`."""

    def __init__(self) -> None:
        self.now = 0
        self.steps: list[Step] = []
        self.sent: list[list[str]] = []
        self.methods: dict[tuple[str, str], Callable[..., Any]] = {}

    def emit(self, kind: str, to: str, message: Any) -> bytes:
        data: bytes = encode(message)
        self.sent.append([kind, to, data.hex()])
        return data

    def do(self, who: str, call: str, *arguments: Any) -> list[list[str]]:
        self.sent = []
        self.methods[who, call](*arguments)
        step = {"now": self.now, "who": who, "call": call, "arguments": list(arguments), "sent": self.sent}
        self.steps.append(step)
        return self.sent


class RaftHost(mock.MagicMock):
    """Whatever is not recorded does nothing."""


def add_raft(run: Run, who: str) -> None:
    host = RaftHost()
    host.now = lambda: run.now
    host.send = host.send_now = lambda to, message: run.emit("send", to, message)
    host.snapshot = lambda: None
    one = raft.Raft(host, who, MEMBERS, lambda: 0.5, disk=f"disk of {who}")

    def compact(index: int, term: int, data: str) -> None:
        found = (index, term, one.members_at(index), bytes.fromhex(data))
        host.snapshot = lambda: found
        one.compacted(index)

    def propose(rows: list[str]) -> None:
        one.propose([msgspec.msgpack.decode(bytes.fromhex(row)) for row in rows])

    calls = {
        "tick": one.tick,
        "message": lambda sender, data: one.message(sender, msgspec.msgpack.decode(bytes.fromhex(data))),
        "propose": propose,
        "synced": one.synced,
        "compact": compact,
        "change_members": one.change_members,
        "transfer": one.transfer,
    }
    run.methods |= {(who, name): call for name, call in calls.items()}


def raft_run() -> list[Step]:
    run = Run()
    for who in (*MEMBERS, "r4.1"):
        add_raft(run, who)
    delivered: list[tuple[str, str, str]] = []

    def deliver(sender: str, sent: list[list[str]]) -> None:
        queue = [(sender, to, data) for _, to, data in sent]
        while queue:
            sender, to, data = queue.pop(0)
            delivered.append((sender, to, data))
            queue += [(to, *answer[1:]) for answer in run.do(to, "message", sender, data)]

    run.now = 400 * MILLISECOND
    deliver("r1.1", run.do("r1.1", "tick"))
    deliver("r1.1", run.do("r1.1", "synced", 1, 1))
    stale = next(row for row in delivered if b"append" in bytes.fromhex(row[2]))
    rows = [encode(store_commands()[0]).hex(), encode(config_commands()[0]).hex()]
    deliver("r1.1", run.do("r1.1", "propose", rows))
    deliver("r1.1", run.do("r1.1", "synced", 3, 1))
    run.now += 50 * MILLISECOND
    deliver("r1.1", run.do("r1.1", "tick"))
    run.do("r1.1", "compact", 2, 1, (b"state " * 7).hex())
    learner = {**MEMBERS, "r4.1": ["r4", "10.0.0.4:7001", "10.0.0.4:8081", False]}
    deliver("r1.1", run.do("r1.1", "change_members", learner))
    deliver("r1.1", run.do("r1.1", "synced", 4, 1))
    for _ in range(2):
        run.now += 50 * MILLISECOND
        deliver("r1.1", run.do("r1.1", "tick"))
    deliver("r1.1", run.do("r1.1", "transfer", "r2.1"))
    deliver(stale[0], [["send", "r3.1", stale[2]]])
    return run.steps


def lease_run() -> list[Step]:
    run, terms = Run(), Terms()
    proposed: list[tuple[list[Any], Callable[[bool], None]]] = []
    confirms: list[Callable[[bool], None]] = []

    def propose(command: list[Any], then: Callable[[bool], None]) -> None:
        run.emit("propose", "", command)
        proposed.append((command, then))

    def commit() -> None:
        while confirms:
            confirms.pop(0)(True)
        while proposed:
            command, then = proposed.pop(0)
            terms.apply(0, command)
            then(True)

    host: Any = SimpleNamespace(now=lambda: run.now, propose=propose, confirm=confirms.append)
    host.tell = lambda holder, message: run.emit("tell", holder, message)
    rules = Rules({"summary": Rule(1, 30 * SECOND)}, SECOND)
    keeper = Keeper(host, terms, rules)
    asked = lambda holder, data: keeper.asked(holder, msgspec.msgpack.decode(bytes.fromhex(data)))  # noqa: E731
    calls = {"leads": keeper.leads, "asked": asked, "tick": keeper.tick, "commit": commit}
    run.methods |= {("keeper", name): call for name, call in calls.items()}

    def add_holder(who: str) -> None:
        host: Any = SimpleNamespace(now=lambda: run.now, go_elsewhere=lambda: None)
        host.send = lambda message: run.emit("send", "keeper", message)
        holder = Holder(host)
        told = lambda data: holder.told(msgspec.msgpack.decode(bytes.fromhex(data)))  # noqa: E731
        calls = {"want": holder.want, "release": holder.release, "tick": holder.tick, "told": told}
        run.methods |= {(who, name): call for name, call in calls.items()}

    def ask(who: str) -> None:
        for message in run.do(who, "tick"):
            run.do("keeper", "asked", who, message[2])
        while proposed or confirms:
            for kind, to, data in run.do("keeper", "commit"):
                if kind == "tell":
                    run.do(to, "told", data)

    for who in ("n0/1", "n1/1"):
        add_holder(who)
    run.do("keeper", "leads", 0)
    run.do("n0/1", "want", "summary", 3 * SECOND)
    ask("n0/1")
    run.do("n1/1", "want", "summary", 3 * SECOND)
    run.do("n1/1", "want", "no-such", 3 * SECOND)
    ask("n1/1")
    run.now += SECOND
    ask("n0/1")
    run.do("n0/1", "release", "summary", "n1/1")
    ask("n0/1")
    run.now += 4 * SECOND
    run.do("n0/1", "want", "summary", 3 * SECOND)
    ask("n0/1")
    ask("n1/1")
    run.do("keeper", "leads", 5)
    run.now += 31 * SECOND
    ask("n0/1")
    run.do("keeper", "tick")
    ask("n1/1")
    return run.steps


def watch_run() -> list[Step]:
    run = Run()
    host: Any = SimpleNamespace(now=lambda: run.now, fraction=lambda: 0.5, say=lambda line: None)
    host.dial = lambda link, where: run.emit("dial", where, link)
    host.hang_up = lambda link: run.emit("hang up", "", link)
    host.send = lambda link, message: run.emit("send", "", message)
    host.take = lambda number, digest, body: "RoundUs: too large" if number == 3 else ""
    watch = Watch(host, CLUSTER, ["10.0.0.1:8081"], [])
    told = lambda link, data: watch.told(link, msgspec.msgpack.decode(bytes.fromhex(data)))  # noqa: E731
    calls = {"begin": watch.begin, "tick": watch.tick, "greeted": watch.greeted, "told": told}
    run.methods |= {("watch", name): call for name, call in calls.items()}
    server: Any = SimpleNamespace(now=lambda: run.now, is_fresh=lambda: True, drop=lambda name, why: None)
    server.send = lambda name, message: len(run.emit("send", name, message))
    feed = Feed(server, CLUSTER, 10, 1_000_000)

    def offer(number: int, body: str) -> None:
        feed.offer(Version(number, body, digest_of(body), digest_of(body), "anna", f"request-{number}"))

    said = lambda name, data: feed.said(name, read_have(msgspec.msgpack.decode(bytes.fromhex(data))))  # noqa: E731
    beat = lambda: run.emit("send", "n0", feed.beat())  # noqa: E731
    rows = lambda: run.emit("rows", "", feed.rows())  # noqa: E731
    calls = {"offer": offer, "said": said, "tick": feed.tick, "beat": beat, "rows": rows}
    run.methods |= {("feed", name): call for name, call in calls.items()}

    def exchange(who: str, call: str, *arguments: Any) -> None:
        queue = [(who, row) for row in run.do(who, call, *arguments)]
        while queue:
            who, (kind, _, data) = queue.pop(0)
            if kind == "send":
                other, arrival, peer = ("feed", "said", "n0") if who == "watch" else ("watch", "told", 1)
                queue += [(other, row) for row in run.do(other, arrival, peer, data)]

    run.do("feed", "offer", 1, BODIES[0])
    run.do("watch", "begin")
    run.now = SECOND
    run.do("watch", "tick")
    exchange("watch", "greeted", 1)
    exchange("feed", "beat")
    for number, body in ((2, BODIES[1]), (3, BODIES[0] + " ")):
        exchange("feed", "tick")
        run.now += SECOND
        run.do("feed", "offer", number, body)
    exchange("feed", "tick")
    run.now += SECOND
    exchange("feed", "tick")
    run.do("feed", "rows")
    return run.steps


# ---- Frames, as they stand on a connection ----


class Transport:
    """Keeps what is written to it."""

    def __init__(self) -> None:
        self.written: list[str] = []

    def write(self, data: bytes) -> None:
        self.written.append(data.hex())

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def close(self) -> None: ...


def with_nonces(make: Callable[[], Any], nonce: bytes) -> Any:
    with mock.patch.object(secrets, "token_bytes", return_value=nonce):
        return make()


def write_frames(folder: Path, steps: list[Step]) -> None:
    bodies = [row[2] for step in steps for row in step["sent"]][:4]
    greetings = [{"id": who, "store": fingerprint(CLUSTER, MEMBERS)} for who in ("r1.1", "r2.1")]
    a = with_nonces(lambda: Frames(SECRET, greetings[0]), b"a" * 16)
    b = with_nonces(lambda: Frames(SECRET, greetings[1]), b"b" * 16)
    hellos = a.hello(), b.hello()
    a.feed(hellos[1])
    b.feed(hellos[0])
    frames = [a.write(msgspec.msgpack.decode(bytes.fromhex(body))).hex() for body in bodies]
    node: Any = SimpleNamespace(orders=SimpleNamespace(secret=SECRET, cluster=CLUSTER), me="r1.1")
    node.keeper = SimpleNamespace(leading=False)
    node.leader_clients = lambda: "10.0.0.2:8081"
    node.feed = SimpleNamespace(
        has_room_for=lambda name: False, beat=lambda: {"k": "beat", "n": 2, "l": True}
    )
    lease_user: Any = SimpleNamespace(keepers=SimpleNamespace(secret=SECRET), me="n0/1")
    tool = with_nonces(lambda: Frames(SECRET, {"id": ASKS, "store": ""}), b"t" * 16)

    def watcher(cluster: str) -> ServerConnection:
        user: Any = SimpleNamespace(orders=SimpleNamespace(secret=SECRET, cluster=cluster), name="n0")
        return with_nonces(lambda: ServerConnection(user, 1), b"w" * 16)

    holder = with_nonces(lambda: KeeperConnection(lease_user), b"h" * 16)
    found: dict[str, Any] = {
        "secret": SECRET.hex(),
        "replica_hellos": [hello.hex() for hello in hellos],
        "replica_bodies": bodies,
        "replica_frames": frames,
        "holder_hello": holder.frames.hello().hex(),
        "watcher_hello": watcher(CLUSTER).frames.hello().hex(),
        "stranger_hello": watcher("other").frames.hello().hex(),
        "tool_hello": tool.hello().hex(),
    }
    lease_side = with_nonces(lambda: HolderConnection(HolderDoor(node)), b"k" * 16)
    lease_side.transport = Transport()
    holder.frames.feed(lease_side.frames.hello())
    request = holder.frames.write({"n": 1, "want": [["summary", 3 * SECOND, 0, 0]], "release": []})
    lease_side.data_received(holder.frames.hello() + request)
    found["holder_request"] = request.hex()
    found["keeper_elsewhere"] = lease_side.transport.written
    for name, cluster in (("elsewhere", CLUSTER), ("refused", "other")):
        server = with_nonces(lambda: WatcherConnection(WatcherDoor(node)), b"s" * 16)
        server.transport = Transport()
        one = watcher(cluster)
        one.frames.feed(server.frames.hello())
        have = one.frames.write({"k": "have", "n": 0, "d": b"", "f": 0, "w": "", "r": 0})
        server.data_received(one.frames.hello() + (have if name == "elsewhere" else b""))
        found[f"server_{name}"] = server.transport.written
    write_json(folder / "frames.json", found)


# ---- The command line's questions ----

LEASE = {"name": "summary", "holder": "n0/1", "token": 3, "duration_ms": 30000, "over_in_ms": 20000}
ANSWERS: dict[str, Any] = {
    "status": {"leads": True, "name": "r1"},
    "configurations": [[1, "anna", 1, "{}"]],
    "leases": {
        "leads": True,
        "held": [LEASE],
        "waiting": {"summary": ["n1/1"]},
        "declared": {"summary": {"places": 1, "longest_ms": 30000}},
    },
    "versions": [[1, "00", "anna", "request-1"]],
    "version": {"n": 1, "body": "{}", "by": "anna"},
    "watchers": [["n0", 1, 1, "", 0.5, True], ["n1", 0, 1, "RoundUs: too large", 1.5, True]],
    "publish": {"done": True, "version": 2, "why": ""},
}
COMMANDS = [
    ["store", "status", "store.json", "--json"],
    [
        "store",
        "members",
        "add",
        "store.json",
        "r4",
        "--peers",
        "10.0.0.4:7001",
        "--clients",
        "10.0.0.4:8081",
        "--json",
    ],
    [
        "store",
        "members",
        "add",
        "store.json",
        "r4",
        "--peers",
        "a:1",
        "--clients",
        "a:2",
        "--votes",
        "--json",
    ],
    ["store", "members", "remove", "store.json", "r4", "--json"],
    ["store", "transfer", "store.json", "r1", "--json"],
    ["store", "configure", "store.json", "example.json", "--json"],
    ["store", "configurations", "store.json", "--json"],
    ["store", "backup", "store.json", "/backups/r1.db", "--json"],
    ["lease", "list", "keepers.json", "--json"],
    ["lease", "backup", "keepers.json", "/backups/k1.db", "--json"],
    ["config", "publish", "config-servers.json", "body.json", "--by", "anna", "--json"],
    ["config", "rollback", "config-servers.json", "1", "--by", "anna", "--json"],
    ["config", "status", "config-servers.json", "--json"],
]


class FakeReplica:
    """A socket to a replica that answers from the table above."""

    def __init__(self, asked: list[str]) -> None:
        self.asked = asked
        self.frames = Frames(SECRET, {"id": "r1.1", "store": ""})
        self.unread = self.frames.hello()

    def __enter__(self) -> "FakeReplica":
        return self

    def __exit__(self, *error: object) -> None: ...

    def settimeout(self, seconds: float) -> None: ...

    def sendall(self, data: bytes) -> None:
        for question in self.frames.feed(data):
            self.asked.append(encode(question).hex())
            self.unread += self.frames.write(ANSWERS.get(question["ask"], {"done": True}))

    def recv(self, most: int) -> bytes:
        data, self.unread = self.unread, b""
        return data


def write_questions(folder: Path) -> None:
    rows = []
    for words in COMMANDS:
        asked: list[str] = []
        arguments = [str(folder / "files" / word) if word.endswith(".json") else word for word in words]
        with (
            mock.patch.object(socket, "create_connection", lambda *_, found=asked: FakeReplica(found)),
            mock.patch.object(getpass, "getuser", lambda: "anna"),
            mock.patch.object(secrets, "token_hex", lambda size: "0f" * size),
        ):
            done = CliRunner().invoke(command_line, arguments)
        assert asked and not isinstance(done.exception, Exception), (words, done.output, done.exception)
        rows.append({"command": words, "asked": asked, "exit": done.exit_code, "said": done.output})
    write_json(folder / "questions.json", {"answers": ANSWERS, "commands": rows})


PUBLISH = {"ask": "publish", "body": "{}", "expect": 0, "by": "anna", "id": "request-1"}
LEADER_QUESTIONS: dict[str, list[dict[str, Any]]] = {
    "store": [
        {"ask": "configure", "body": "{}", "by": "anna", "token": 3},
        {"ask": "configure", "body": "{}", "by": "ben", "token": 2},
        {"ask": "configurations"},
    ],
    "leases": [{"ask": "leases"}],
    "config": [
        PUBLISH,
        {**PUBLISH, "id": "request-2", "body": "[]"},
        {"ask": "versions"},
        {"ask": "version"},
    ],
}


async def answers_of_leader(node: Any, questions: list[dict[str, Any]]) -> list[Any]:
    """The only replica stands at once and leads."""
    node.replica.raft.next_election = 0
    node.replica.raft.tick()
    for _ in range(2):  # the second is told when all that waits for the lead has heard of it
        confirmed = asyncio.get_running_loop().create_future()
        node.read(confirmed.set_result)
        assert await confirmed
    found = []
    for question in questions:
        reply = asyncio.get_running_loop().create_future()
        with mock.patch.object(time, "time_ns", lambda: 1_700_000_000 * SECOND):
            node.links.asked(question, reply.set_result)
        found.append([question, encode(await reply).hex()])
    return found


async def write_answers(folder: Path) -> None:
    """What a replica of each kind answers to tools; of its status the names of the values alone."""
    files = folder / "files"
    found: dict[str, Any] = {}
    store = read_replica_orders(files / "store.json")
    leases = read_keeper_orders(files / "keepers.json")
    config = read_config_server_orders(files / "config-servers.json")
    questions = [{"ask": kind} for kind in ("configurations", "leases", "versions", "watchers", "version")]
    questions += [PUBLISH, {"ask": "no such"}, {"ask": "transfer", "to": "r9"}]
    for name, make in (("store", StoreNode), ("leases", KeeperNode), ("config", ConfigServerNode)):
        with tempfile.TemporaryDirectory() as place, mock.patch.object(Links, "open", mock.AsyncMock()):
            there = store._replace(folder=Path(place))
            orders = {"store": there, "leases": leases._replace(replica=there)}
            node = make(orders.get(name, config._replace(replica=there)))
            await node.open(new=True)
            replies: list[Any] = []
            for question in [{"ask": "status"}, *questions]:
                node.links.asked(question, replies.append)
            led = await answers_of_leader(node, LEADER_QUESTIONS[name])
            await node.close()
        rows = zip(questions, replies[1:], strict=True)
        found[name] = {
            "status": list(replies[0]),
            "answers": [[question, encode(reply).hex()] for question, reply in rows],
            "answers_of_leader": led,
        }
    write_json(folder / "answers.json", found)


# ---- Other wires ----


def write_other_wires(folder: Path) -> None:
    headers = {"host": "x", "request-info": "slots=2", "connection": "close, x-hop", "x-hop": "1"}
    headers |= {"idempotency-key": "job-1", "request-timeout-ms": "900"}
    found = {
        "telling": tellings.write_telling(3, 9, 0.4, ["w0", "w1"]),
        "telling_long": tellings.write_telling(5, 255, 1.0, [f"w{number}" for number in range(200)]),
        "job": workers.job("POST", "/book/1", headers, b"{}", 1500 * MILLISECOND, "10.0.1.1:9001"),
        "probe_load": workers.probe(True, "10.0.1.1:9001"),
        "probe_healthy": workers.probe(False, "10.0.1.1:9001"),
        "answer_ok": clients.answer(200, b"fine", True),
        "answer_busy": clients.answer(503, b"later", False, come_back_after=1500 * MILLISECOND),
        "answer_elsewhere": clients.answer(307, b"", True, location="http://10.0.0.2:8081/book/1"),
        "continue": clients.CONTINUE,
        "head": heads.head("GET / HTTP/1.1", {"Host": "a", "X": "1"}),
        "discovery_whole": discovery.watch(None, 0, "10.0.2.1:8500"),
        "discovery_from": discovery.watch(7, 20 * SECOND, "10.0.2.1:8500"),
        "admin_yes": operators.said_yes("ready"),
        "admin_no": operators.said_no("leaving"),
        "admin_vars": operators.figures(
            [operators.operations('look "up"', "ok", 4), operators.figure("open_requests", 2)]
        ),
    }
    write_json(folder / "other-wires.json", {name: data.decode("latin-1") for name, data in found.items()})


# ---- Configuration files ----


def write_files(folder: Path) -> None:
    here = {"r1": {"peers": "10.0.0.1:7001", "clients": "10.0.0.1:8081"}}
    replica = {"cluster": CLUSTER, "name": "r1", "folder": "r1-store", "secret_file": "shared.secret"}
    replica |= {"election_ms": 400, "snapshot_every": 500, "replicas": here}
    leases = {"restart": {"places": 3, "longest_ms": 120000}, "team-*": {"longest_ms": 60000}}
    watch = {"cluster": CLUSTER, "servers": ["10.0.0.1:8081", "10.0.0.2:8081"], "near": ["10.0.0.1:8081"]}
    watch |= {"secret_file": "shared.secret", "cache": "n0-config.json"}
    root = Path(__file__).parents[2]
    write_json(folder / "store.json", replica)
    write_json(folder / "keepers.json", {**replica, "leases": leases})
    write_json(folder / "config-servers.json", {**replica, "most_watchers": 99, "bytes_a_second": 200_000})
    write_json(folder / "watch.json", watch)
    (folder / "body.json").write_text(BODIES[0])
    (folder / "shared.secret").write_bytes(SECRET + b"\n")
    (folder / "example.json").write_bytes((root / "deploy" / "example.json").read_bytes())


def main(folder: Path) -> None:
    write_files(folder / "files")
    write_disks(folder)
    with mock.patch.object(raft, "PIECE", 16):
        steps = raft_run()
    write_json(folder / "raft-run.json", steps)
    write_json(folder / "lease-run.json", lease_run())
    write_json(folder / "watch-run.json", watch_run())
    write_frames(folder, steps)
    write_questions(folder)
    write_scribe(folder)
    asyncio.run(write_answers(folder))
    write_other_wires(folder)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
