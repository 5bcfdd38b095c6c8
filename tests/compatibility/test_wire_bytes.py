"""Messages of commit c0e5f5c: the same events give the same bytes, and its bytes are understood."""

import asyncio
import getpass
import secrets
import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, get_args
from unittest import mock

import msgspec
import pytest
from click.testing import CliRunner

from ploverspoke.cli import main as command_line
from ploverspoke.config_distribution.broadcaster import VersionBroadcaster
from ploverspoke.config_distribution.client import ServerConnection
from ploverspoke.config_distribution.cluster_config import read_config_server_config
from ploverspoke.config_distribution.errors import VersionRejectedError
from ploverspoke.config_distribution.messages import VerifiedVersion, read_watch_status
from ploverspoke.config_distribution.server import ConfigServer
from ploverspoke.config_distribution.server_node import ConfigServerNode
from ploverspoke.config_distribution.state_machine import Version, digest_of
from ploverspoke.config_distribution.watcher import ConfigWatcher
from ploverspoke.consensus import raft, snapshot_transfer
from ploverspoke.consensus.cluster_config import read_replica_config
from ploverspoke.consensus.framed_server import FramedConnection
from ploverspoke.consensus.framing import FrameCodec, FrameError
from ploverspoke.consensus.log import Snapshot
from ploverspoke.consensus.membership import Members
from ploverspoke.consensus.peer_links import ADMIN_CLIENT_ID, PeerLinks
from ploverspoke.consensus.persisted_state import PersistedState
from ploverspoke.consensus.wire_messages import Message, decode_message, message_kind
from ploverspoke.leases.client import LeaseServerConnection
from ploverspoke.leases.config import read_lease_server_config
from ploverspoke.leases.definitions import LeaseDefinition, LeaseDefinitions
from ploverspoke.leases.holder import LeaseHolder
from ploverspoke.leases.manager import LeaseManager
from ploverspoke.leases.messages import parse_request, parse_response
from ploverspoke.leases.server import LeaseServer
from ploverspoke.leases.server_node import LeaseServerNode
from ploverspoke.leases.state_machine import LeaseStateMachine
from ploverspoke.protocol import admin, clients, discovery, http_messages, workers
from ploverspoke.protocol.gossip_messages import GossipMessage, decode_gossip, encode_gossip, workers_by_hash
from ploverspoke.store.node import StoreNode

from .data_files import DATA, SECOND, decoded, encoded, read_json

MILLISECOND = 1_000_000
CLUSTER = "fleet"
SECRET = b"a secret of twenty-four."
MEMBERS = {f"r{n}.1": [f"r{n}", f"10.0.0.{n}:7001", f"10.0.0.{n}:8081", True] for n in (1, 2, 3)}
Calls = dict[str, Callable[..., Any]]


# ---- Scripted runs ----


class Run:
    """Repeats the steps of a recorded run; what its objects send is compared after each."""

    def __init__(self) -> None:
        self.now = 0
        self.sent: list[list[str]] = []
        self.calls: dict[str, Calls] = {}

    def emit(self, kind: str, to: str, message: Any) -> int:
        self.sent.append([kind, to, encoded(message)])
        return len(self.sent[-1][2]) // 2

    def repeat(self, name: str) -> None:
        for number, step in enumerate(read_json(name)):
            self.now, self.sent = step["now"], []
            self.calls[step["who"]][step["call"]](*step["arguments"])
            assert self.sent == step["sent"], f"{name}, step {number}: {step['who']} {step['call']}"


def raft_calls(run: Run, who: str) -> Calls:
    host = mock.MagicMock()
    host.now = lambda: run.now
    host.send = host.send_now = lambda to, message: run.emit("send", to, message)
    host.latest_snapshot = lambda: None
    persisted = PersistedState(msgspec.convert(MEMBERS, Members), storage_id=f"disk of {who}")
    one = raft.Raft(host, who, persisted, lambda: 0.5)

    def compact(index: int, term: int, data: str) -> None:
        found = Snapshot(index, term, one.members_at(index), bytes.fromhex(data))
        host.latest_snapshot = lambda: found
        one.on_compacted(index)

    return {
        "tick": one.tick,
        "message": lambda sender, data: one.receive(sender, decode_message(bytes.fromhex(data))),
        "propose": lambda rows: one.propose([decoded(row) for row in rows]),
        "synced": one.on_synced,
        "compact": compact,
        "change_members": lambda members: one.change_members(msgspec.convert(members, Members)),
        "transfer": one.transfer_leadership,
    }


def keeper_calls(run: Run) -> Calls:
    terms = LeaseStateMachine()
    proposed: list[tuple[Any, Callable[[bool], None]]] = []
    confirms: list[Callable[[bool], None]] = []

    def propose(command: Any, then: Callable[[bool], None]) -> None:
        run.emit("propose", "", command)
        proposed.append((command, then))

    def commit() -> None:
        while confirms:
            confirms.pop(0)(True)
        while proposed:
            command, then = proposed.pop(0)
            terms.apply(0, command)
            then(True)

    host: Any = SimpleNamespace(now=lambda: run.now, propose=propose, confirm_leadership=confirms.append)
    host.send = lambda holder, message: run.emit("tell", holder, message)
    keeper = LeaseManager(host, terms, LeaseDefinitions({"summary": LeaseDefinition(1, 30 * SECOND)}, SECOND))
    return {
        "leads": keeper.become_leader,
        "asked": lambda holder, data: keeper.handle_request(holder, parse_request(decoded(data))),
        "tick": keeper.tick,
        "commit": commit,
    }


def holder_calls(run: Run) -> Calls:
    host: Any = SimpleNamespace(now=lambda: run.now, try_next_server=lambda: None)
    host.send = lambda message: run.emit("send", "keeper", message)
    holder = LeaseHolder(host)
    told = lambda data: holder.handle_response(parse_response(decoded(data)))  # noqa: E731
    return {"want": holder.request_lease, "release": holder.release, "tick": holder.tick, "told": told}


def watch_calls(run: Run) -> Calls:
    host: Any = SimpleNamespace(now=lambda: run.now, random_fraction=lambda: 0.5, log=lambda line: None)
    host.dial = lambda link, where: run.emit("dial", where, link)
    host.close_connection = lambda link: run.emit("hang up", "", link)
    host.send = lambda link, message: run.emit("send", "", message)

    def apply_version(version: VerifiedVersion) -> None:
        if version.number == 3:
            raise VersionRejectedError(3, "RoundUs: too large")

    host.apply_version = apply_version
    watcher = ConfigWatcher(host, CLUSTER, ["10.0.0.1:8081"], [])
    told = lambda link, data: watcher.on_message(link, decoded(data))  # noqa: E731
    return {"begin": watcher.start, "tick": watcher.tick, "greeted": watcher.on_greeting, "told": told}


def feed_calls(run: Run) -> Calls:
    host: Any = SimpleNamespace(now=lambda: run.now, has_recent_leader=lambda: True)
    host.disconnect = lambda name, reason: None
    host.send = lambda name, message: run.emit("send", name, message)
    feed = VersionBroadcaster(host, CLUSTER, 10, 1_000_000)

    def offer(number: int, body: str) -> None:
        feed.add_version(Version(number, body, digest_of(body), digest_of(body), "anna", f"request-{number}"))

    return {
        "offer": offer,
        "said": lambda name, data: feed.on_watch_status(name, read_watch_status(decoded(data))),
        "tick": feed.tick,
        "beat": lambda: run.emit("send", "n0", feed.heartbeat()),
        "rows": lambda: run.emit("rows", "", feed.watcher_rows()),
    }


def test_replicas_send_the_same_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(snapshot_transfer, "CHUNK_BYTES", 16)
    run = Run()
    run.calls = {who: raft_calls(run, who) for who in (*MEMBERS, "r4.1")}
    run.repeat("raft-run.json")


def test_the_replicas_run_holds_every_kind_of_message() -> None:
    sent = [decoded(row[2]) for step in read_json("raft-run.json") for row in step["sent"]]
    assert {message["k"] for message in sent} == {
        message_kind(message_type) for message_type in get_args(Message)
    }
    entries = {entry[2] for message in sent if message["k"] == "append" for entry in message["e"]}
    assert entries == {"noop", "members", "data"}
    assert {message["ok"] for message in sent if message["k"] == "appended"} == {True, False}


def test_lease_servers_and_holders_send_the_same_messages() -> None:
    run = Run()
    run.calls = {"keeper": keeper_calls(run), "n0/1": holder_calls(run), "n1/1": holder_calls(run)}
    run.repeat("lease-run.json")


def test_config_servers_and_watchers_send_the_same_messages() -> None:
    run = Run()
    run.calls = {"watch": watch_calls(run), "feed": feed_calls(run)}
    run.repeat("watch-run.json")


# ---- FrameCodec on connections ----


class Transport(mock.MagicMock):
    """Keeps what is written to it."""

    def __init__(self, **settings: Any) -> None:
        super().__init__(**settings)
        self.written: list[str] = []
        self.write = lambda data: self.written.append(data.hex())
        self.get_write_buffer_size = lambda: 0
        self.is_closing = lambda: False


def with_nonce(make: Callable[[], Any], letter: str) -> Any:
    with mock.patch.object(secrets, "token_bytes", return_value=letter.encode() * 16):
        return make()


def server_node() -> Any:
    """A server that does not lead, and has no room for watchers."""
    node: Any = SimpleNamespace(config=SimpleNamespace(secret=SECRET, cluster=CLUSTER), replica_id="r1.1")
    node.manager = SimpleNamespace(is_leader=False)
    node.leader_client_address = lambda: "10.0.0.2:8081"
    node.broadcaster = SimpleNamespace(
        has_capacity_for=lambda name: False, heartbeat=lambda: {"k": "beat", "n": 2, "l": True}
    )
    return node


def watcher_frames(cluster: str) -> FrameCodec:
    user: Any = SimpleNamespace(config=SimpleNamespace(secret=SECRET, cluster=cluster), name="n0")
    found: FrameCodec = with_nonce(lambda: ServerConnection(user, 1), "w").frames
    return found


def holder_frames() -> FrameCodec:
    user: Any = SimpleNamespace(servers=SimpleNamespace(secret=SECRET), holder_id="n0/1")
    found: FrameCodec = with_nonce(lambda: LeaseServerConnection(user), "h").frames
    return found


def replica_frames(told: dict[str, Any], me: str, letter: str) -> FrameCodec:
    greeting = {"id": me, "store": read_json("store/written.json")["fingerprint"]}
    return with_nonce(lambda: FrameCodec(bytes.fromhex(told["secret"]), greeting), letter)


def test_frames_between_replicas_are_written_and_read() -> None:
    told = read_json("frames.json")
    a, b = replica_frames(told, "r1.1", "a"), replica_frames(told, "r2.1", "b")
    assert [a.greeting_frame().hex(), b.greeting_frame().hex()] == told["replica_hellos"]
    for frames, hello in zip((a, b), reversed(told["replica_hellos"]), strict=True):
        assert frames.decode(bytes.fromhex(hello)) == []
    bodies = [decoded(body) for body in told["replica_bodies"]]
    assert [a.encode(body).hex() for body in bodies] == told["replica_frames"]
    assert b.decode(bytes.fromhex("".join(told["replica_frames"]))) == bodies


def test_a_changed_frame_is_refused() -> None:
    told = read_json("frames.json")
    b = replica_frames(told, "r2.1", "b")
    b.decode(bytes.fromhex(told["replica_hellos"][0]))
    changed = bytearray.fromhex(told["replica_frames"][0])
    changed[-1] ^= 1
    with pytest.raises(FrameError):
        b.decode(bytes(changed))


def test_greetings_are_the_same() -> None:
    told = read_json("frames.json")
    tool = with_nonce(lambda: FrameCodec(SECRET, {"id": ADMIN_CLIENT_ID, "store": ""}), "t")
    hellos = [tool, holder_frames(), watcher_frames(CLUSTER), watcher_frames("other")]
    names = ["tool", "holder", "watcher", "stranger"]
    assert [one.greeting_frame().hex() for one in hellos] == [told[f"{name}_hello"] for name in names]


def test_a_holder_is_sent_to_the_leader() -> None:
    told = read_json("frames.json")
    server = with_nonce(lambda: FramedConnection(LeaseServer(server_node())), "k")
    server.transport = Transport()
    holder = holder_frames()
    holder.decode(server.frames.greeting_frame())
    server.data_received(bytes.fromhex(told["holder_hello"] + told["holder_request"]))
    assert server.transport.written == told["keeper_elsewhere"]
    assert holder.decode(bytes.fromhex(told["keeper_elsewhere"][0])) == [{"elsewhere": "10.0.0.2:8081"}]


@pytest.mark.parametrize(("name", "cluster"), [("elsewhere", CLUSTER), ("refused", "other")])
def test_a_watcher_is_sent_elsewhere_or_refused(name: str, cluster: str) -> None:
    told = read_json("frames.json")
    server = with_nonce(lambda: FramedConnection(ConfigServer(server_node())), "s")
    server.transport = Transport()
    watcher = watcher_frames(cluster)
    watcher.decode(server.frames.greeting_frame())
    have = watcher.encode({"k": "have", "n": 0, "d": b"", "f": 0, "w": "", "r": 0})
    server.data_received(watcher.greeting_frame() + (have if name == "elsewhere" else b""))
    assert server.transport.written == told[f"server_{name}"]
    messages = watcher.decode(bytes.fromhex("".join(told[f"server_{name}"])))
    assert messages[-1]["k"] == name


# ---- Tools ----


class FakeReplica:
    """A socket to a replica that answers from the recorded answers."""

    def __init__(self, asked: list[str], answers: dict[str, Any]) -> None:
        self.asked = asked
        self.answers = answers
        self.frames = FrameCodec(SECRET, {"id": "r1.1", "store": ""})
        self.unread = [self.frames.greeting_frame()]

    def __enter__(self) -> "FakeReplica":
        return self

    def __exit__(self, *error: object) -> None: ...

    def settimeout(self, seconds: float) -> None: ...

    def sendall(self, data: bytes) -> None:
        for question in self.frames.decode(data):
            self.asked.append(encoded(question))
            self.unread.append(self.frames.encode(self.answers.get(question["ask"], {"done": True})))

    def recv(self, most: int) -> bytes:
        return self.unread.pop(0)


def test_tools_ask_the_same_questions_and_read_the_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    told, asked = read_json("questions.json"), []
    monkeypatch.setattr(socket, "create_connection", lambda *_: FakeReplica(asked, told["answers"]))
    monkeypatch.setattr(getpass, "getuser", lambda: "anna")
    monkeypatch.setattr(secrets, "token_hex", lambda size: "0f" * size)
    for row in told["commands"]:
        asked.clear()
        words = [str(DATA / "files" / word) if word.endswith(".json") else word for word in row["command"]]
        done = CliRunner().invoke(command_line, words)
        found = {"command": row["command"], "asked": asked, "exit": done.exit_code, "said": done.output}
        assert found == row


def make_node(name: str, folder: Path) -> Any:
    files = DATA / "files"
    there = read_replica_config(files / "store.json")._replace(folder=folder)
    if name == "store":
        return StoreNode(there)
    if name == "leases":
        return LeaseServerNode(read_lease_server_config(files / "keepers.json")._replace(replica=there))
    return ConfigServerNode(read_config_server_config(files / "config-servers.json")._replace(replica=there))


async def answers_of_follower(node: Any, questions: list[Any]) -> list[Any]:
    """Of the only replica before it stands, without a socket."""
    replies: list[Any] = []
    with mock.patch.object(PeerLinks, "open", mock.AsyncMock()):
        await node.open(new=True)
    for question in questions:
        node.peer_links.on_admin_request(question, replies.append)
    await node.close()
    return replies


async def give_lease(node: Any) -> None:
    given = asyncio.get_running_loop().create_future()
    node.send_to_holder = lambda holder, message: message.granted and given.set_result(None)
    request = {"n": 1, "want": [["restart", 30 * SECOND, 0, 0]], "release": []}
    node.manager.handle_request("n0/1", parse_request(request))
    await given


async def answers_of_leader(
    node: Any, questions: list[Any], first: Callable[[Any], Awaitable[None]] | None = None
) -> list[Any]:
    """Of the only replica, which stands at once and leads, without a socket; `first` is done before."""
    loop = asyncio.get_running_loop()
    with mock.patch.object(PeerLinks, "open", mock.AsyncMock()):
        await node.open(new=True)
    node.replica.raft.election.timeout_at = 0
    node.replica.raft.tick()
    for _ in range(2):  # the second is told when all that waits for the lead has heard of it
        confirmed = loop.create_future()
        node.read_barrier(confirmed.set_result)
        assert await confirmed
    if first is not None:
        await first(node)
    replies = []
    for question in questions:
        reply = loop.create_future()
        node.peer_links.on_admin_request(question, reply.set_result)
        replies.append(await reply)
    await node.close()
    return replies


@pytest.mark.parametrize("name", ["store", "leases", "config"])
def test_a_leader_gives_tools_the_same_answers(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(time, "time_ns", lambda: 1_700_000_000 * SECOND)
    told = read_json("answers.json")[name]["answers_of_leader"]
    questions = [question for question, _ in told]
    replies = asyncio.run(answers_of_leader(make_node(name, tmp_path), questions))
    assert [[q, encoded(a)] for q, a in zip(questions, replies, strict=True)] == told


@pytest.mark.parametrize("name", ["store", "leases", "config"])
def test_a_follower_gives_tools_the_same_answers(name: str, tmp_path: Path) -> None:
    told = read_json("answers.json")[name]
    questions = [question for question, _ in told["answers"]]
    status, *others = asyncio.run(
        answers_of_follower(make_node(name, tmp_path), [{"ask": "status"}, *questions])
    )
    assert list(status) == told["status"]
    member = {"name": "r1", "peers": "10.0.0.1:7001", "clients": "10.0.0.1:8081", "votes": True}
    assert encoded(status["members"]) == encoded([member])
    assert [[q, encoded(a)] for q, a in zip(questions, others, strict=True)] == told["answers"]


def test_a_lease_server_gives_tools_the_rows_of_held_leases(tmp_path: Path) -> None:
    node = make_node("leases", tmp_path)
    (told,) = asyncio.run(answers_of_leader(node, [{"ask": "leases"}], give_lease))
    (row,) = told["held"]
    assert list(row) == ["name", "holder", "token", "duration_ms", "over_in_ms"]
    assert [row[key] for key in list(row)[:4]] == ["restart", "n0/1", 1, 30_000]
    assert 0 <= row["over_in_ms"] <= 30_000 and told["waiting"] == {}


# ---- Other wires ----

HEADERS = {"host": "x", "request-info": "slots=2", "connection": "close, x-hop", "x-hop": "1"}
HEADERS |= {"idempotency-key": "job-1", "request-timeout-ms": "900"}
VARS = [admin.operations_line('look "up"', "ok", 4), admin.counter_line("open_requests", 2)]
WORKER = "10.0.1.1:9001"
WRITTEN = {
    "telling": encode_gossip(GossipMessage(3, 9, 0.4, ["w0", "w1"])),
    "telling_long": encode_gossip(GossipMessage(5, 255, 1.0, [f"w{number}" for number in range(200)])),
    "job": workers.encode_attempt("POST", "/book/1", HEADERS, b"{}", 1500 * MILLISECOND, WORKER),
    "probe_load": workers.encode_health_check(True, WORKER),
    "probe_healthy": workers.encode_health_check(False, WORKER),
    "answer_ok": clients.encode_response(200, b"fine", True),
    "answer_busy": clients.encode_response(503, b"later", False, retry_after=1500 * MILLISECOND),
    "answer_elsewhere": clients.encode_response(307, b"", True, location="http://10.0.0.2:8081/book/1"),
    "continue": clients.CONTINUE_RESPONSE,
    "head": http_messages.encode_head("GET / HTTP/1.1", {"Host": "a", "X": "1"}),
    "discovery_whole": discovery.encode_watch_request(None, 0, "10.0.2.1:8500"),
    "discovery_from": discovery.encode_watch_request(7, 20 * SECOND, "10.0.2.1:8500"),
    "admin_yes": admin.ok_reply("ready"),
    "admin_no": admin.error_reply("leaving"),
    "admin_vars": admin.counters_reply(VARS),
}


@pytest.mark.parametrize("name", WRITTEN)
def test_bytes_for_others_are_the_same(name: str) -> None:
    assert WRITTEN[name] == read_json("other-wires.json")[name].encode("latin-1")


def test_every_recorded_wire_is_compared() -> None:
    assert set(read_json("other-wires.json")) == set(WRITTEN)


def test_a_gossip_message_is_read() -> None:
    octets = read_json("other-wires.json")["telling"].encode("latin-1")
    message = decode_gossip(octets, workers_by_hash(["w0", "w1", "w2"]))
    assert message == GossipMessage(3, 9, 102 / 255, ["w0", "w1"])
