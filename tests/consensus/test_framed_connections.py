"""`FramedServer` and `FramedClientConnection` on in-memory transports."""

import asyncio
import time

import pytest

from ploverspoke.consensus.framed_client import FramedClientConnection
from ploverspoke.consensus.framed_server import (
    MAX_UNSENT_BYTES,
    FramedConnection,
    FramedServer,
    RegistrationLimits,
)
from ploverspoke.consensus.framing import MAX_BODY_BYTES
from ploverspoke.consensus.message_turns import MAX_BYTES_PER_READ_TURN, MAX_SHORT_MESSAGE_BYTES

SECRET = b"a secret of twenty-four."


class FakeTransport(asyncio.Transport):
    """Collects written data; `closed` is "close" or "abort" after that call."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.unsent = 0
        self.closed = ""
        self.reads = True

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def is_closing(self) -> bool:
        return bool(self.closed)

    def pause_reading(self) -> None:
        self.reads = False

    def resume_reading(self) -> None:
        self.reads = True

    def close(self) -> None:
        self.closed = self.closed or "close"

    def abort(self) -> None:
        self.closed = "abort"


class EchoServer(FramedServer):
    """Registers a client by its first message, and answers each message with itself."""

    log_name = "echo"

    def __init__(self, limits: RegistrationLimits | None = None) -> None:
        super().__init__(SECRET, limits)
        self.disconnected: list[str] = []

    def greeting(self) -> dict[str, str]:
        return {"id": "server", "store": ""}

    def handle_message(self, connection: FramedConnection, message: object) -> None:
        if not connection.registered:
            assert connection.frames.peer_greeting is not None
            connection.client_name = str(connection.frames.peer_greeting["id"])
            self.register(connection)
        connection.write(message)

    def on_disconnected(self, client_name: str) -> None:
        self.disconnected.append(client_name)


class RecordingClient(FramedClientConnection):
    log_name = "client"
    max_unsent_bytes = 100

    def __init__(self, name: str = "c", secret: bytes = SECRET) -> None:
        super().__init__(secret, {"id": name, "store": ""})
        self.events: list[object] = []

    def on_connected(self) -> None:
        self.events.append("connected")

    def on_message(self, message: object) -> None:
        self.events.append(message)

    def on_disconnected(self) -> None:
        self.events.append("disconnected")


class Link:
    """A client and its connection at the server; `exchange` transfers the written bytes."""

    def __init__(self, server: FramedServer, client: RecordingClient) -> None:
        self.client, self.connection = client, FramedConnection(server)
        self.client_transport, self.server_transport = FakeTransport(), FakeTransport()
        self.connection.connection_made(self.server_transport)
        client.connection_made(self.client_transport)

    def exchange(self) -> None:
        while self.client_transport.written or self.server_transport.written:
            to_server, self.client_transport.written = self.client_transport.written, b""
            self.connection.data_received(to_server)
            to_client, self.server_transport.written = self.server_transport.written, b""
            self.client.data_received(to_client)


def test_messages_go_both_ways_once_both_have_greeted() -> None:
    link = Link(EchoServer(), RecordingClient())
    link.client.write("too early")
    link.exchange()
    assert link.client.events == ["connected"] and link.client.is_ready()
    link.client.write({"n": 1})
    link.exchange()
    assert link.client.events == ["connected", {"n": 1}]


def test_older_connection_of_a_client_is_aborted_and_its_end_is_not_reported() -> None:
    server = EchoServer()
    links = [Link(server, RecordingClient()) for _ in range(2)]
    for link in links:
        link.exchange()
        link.client.write("hello")
        link.exchange()
    assert [link.server_transport.closed for link in links] == ["abort", ""]
    links[0].connection.connection_lost(None)
    assert server.disconnected == [] and server.is_current(links[1].connection)
    links[1].connection.connection_lost(None)
    assert server.disconnected == ["c"] and not server.clients and not server.connections


def test_client_with_another_secret_is_counted_and_aborted_on_both_sides() -> None:
    server = EchoServer()
    link = Link(server, RecordingClient(secret=b"another secret than theirs"))
    link.exchange()
    assert (
        server.refused_connections == 1
        and link.server_transport.closed == link.client_transport.closed == "abort"
    )
    link.client.connection_lost(None)
    assert link.client.events == ["disconnected"]


def test_client_that_does_not_read_is_aborted_by_the_server() -> None:
    server = EchoServer()
    link = Link(server, RecordingClient())
    link.exchange()
    link.client.write("hello")
    link.exchange()
    assert server.send("c", "x") > 0 and server.send("unknown", "x") == 0
    link.server_transport.unsent = MAX_UNSENT_BYTES + 1
    assert server.send("c", "x") == 0 and link.server_transport.closed == "abort"


def test_client_leaves_messages_out_while_the_server_does_not_read() -> None:
    link = Link(EchoServer(), RecordingClient())
    link.exchange()
    link.client_transport.unsent = 101
    link.client.write("left out")
    assert link.client_transport.written == b"" and not link.client_transport.closed


def test_nothing_is_reported_after_a_client_has_closed() -> None:
    link = Link(EchoServer(), RecordingClient())
    link.client.close()
    link.client.data_received(link.server_transport.written)
    link.client.connection_lost(None)
    assert link.client.events == [] and link.client_transport.closed == "abort"
    late = RecordingClient()
    late.close()
    transport = FakeTransport()
    late.connection_made(transport)
    assert transport.closed == "abort" and transport.written == b""


@pytest.mark.parametrize("registers", [True, False])
def test_connection_that_does_not_register_in_time_is_aborted(registers: bool) -> None:
    async def run() -> str:
        link = Link(EchoServer(RegistrationLimits(timeout_s=0.0, max_unregistered=9)), RecordingClient())
        link.exchange()
        if registers:
            link.client.write("hello")
            link.exchange()
        await asyncio.sleep(0.001)  # lets the event loop run a timer of 0 s
        return link.server_transport.closed

    assert asyncio.run(run()) == ("" if registers else "abort")


def test_connections_above_the_limit_of_unregistered_ones_are_aborted() -> None:
    async def run() -> list[str]:
        server = EchoServer(RegistrationLimits(timeout_s=60.0, max_unregistered=2))
        links = [Link(server, RecordingClient(f"c{number}")) for number in range(3)]
        closed = [link.server_transport.closed for link in links]
        for link in links:
            link.connection.connection_lost(None)
        return closed

    assert asyncio.run(run()) == ["", "", "abort"]


@pytest.mark.parametrize("message", ["\ud83d", "x" * MAX_BODY_BYTES])
def test_message_without_a_frame_is_dropped_by_either_side(message: str) -> None:
    # Guards against a timer or a loop over clients that ends halfway, because one message cannot be sent.
    server = EchoServer()
    link = Link(server, RecordingClient())
    link.exchange()
    link.client.write(message)
    link.client.write("hello")
    link.exchange()
    assert server.send("c", message) == 0
    assert server.send("c", "after") > 0
    link.exchange()
    assert link.client.events == ["connected", "hello", "after"]


class SlowServer(EchoServer):
    """Takes a while for each message, and records whose it was."""

    def __init__(self) -> None:
        super().__init__()
        self.handled: list[object] = []

    def handle_message(self, connection: FramedConnection, message: object) -> None:
        super().handle_message(connection, message)
        self.handled.append(message)
        time.sleep(0.001)


@pytest.mark.parametrize("ending", ["", "lost", "aborted"])
def test_connection_that_sends_much_at_once_does_not_hold_up_another(ending: str) -> None:
    messages = [f"much {number}" for number in range(300)]

    async def run() -> SlowServer:
        server = SlowServer()
        much, other = Link(server, RecordingClient("much")), Link(server, RecordingClient("other"))
        for link in (much, other):
            link.exchange()
        for message in messages:
            much.client.write(message)
        much.connection.data_received(much.client_transport.written)
        assert not much.server_transport.reads
        if ending == "lost":
            much.connection.connection_lost(None)
        elif ending == "aborted":
            much.connection.abort()
        other.client.write("other")
        other.exchange()
        began = time.monotonic()
        while len(server.handled) < len(messages) + 1 and time.monotonic() < began + 3:
            await asyncio.sleep(0)
        assert much.server_transport.reads or ending
        assert server.disconnected == (["much"] if ending == "lost" else [])
        return server

    handled = asyncio.run(run()).handled
    assert handled.index("other") < 30
    handled.remove("other")
    assert handled == messages[: len(handled)]
    assert len(handled) < 30 if ending == "aborted" else len(handled) == len(messages)


def test_short_message_waits_for_a_few_of_the_long_ones_only() -> None:
    # Guards against holders of many leases at full speed, behind which the renewal of one lease waits.
    async def run() -> SlowServer:
        server = SlowServer()
        links = [Link(server, RecordingClient(f"long {number}")) for number in range(12)]
        other = Link(server, RecordingClient("other"))
        for link in (*links, other):
            link.exchange()
        for link in links:
            for number in range(4):
                link.client.write(f"{number}".ljust(MAX_SHORT_MESSAGE_BYTES + 1))
            link.connection.data_received(link.client_transport.written)
        for message in ("one", "two"):
            other.client.write(message)
        other.connection.data_received(other.client_transport.written)
        began = time.monotonic()
        while len(server.handled) < 12 * 4 + 2 and time.monotonic() < began + 3:
            await asyncio.sleep(0)
        return server

    handled = asyncio.run(run()).handled
    assert len(handled) == 12 * 4 + 2 and handled.index("one") < handled.index("two") < 10


def test_connection_whose_message_raises_an_error_is_removed_when_it_ends() -> None:
    server = EchoServer()
    link = Link(server, RecordingClient())
    link.exchange()
    server.handle_message = lambda connection, message: 1 // 0  # type: ignore[method-assign, assignment]
    link.client.write("one")
    link.client.write("two")
    with pytest.raises(ZeroDivisionError):
        link.exchange()
    link.connection.connection_lost(None)
    assert not server.connections


class SlowClient(RecordingClient):
    """Takes a while for each message."""

    def on_message(self, message: object) -> None:
        super().on_message(message)
        time.sleep(0.001)


@pytest.mark.parametrize("ending", ["lost", "closed"])
def test_server_that_sends_much_at_once_does_not_hold_up_the_clients_process(ending: str) -> None:
    # Guards against a dispatcher that serves no one while it handles all messages of a server at once.
    messages = [f"much {number}" for number in range(300)]

    async def run() -> list[object]:
        link = Link(EchoServer(), SlowClient())
        link.exchange()
        for message in messages:
            link.connection.write(message)
        link.client.data_received(link.server_transport.written)
        assert not link.client_transport.reads and len(link.client.events) < 30
        if ending == "lost":
            link.client.connection_lost(None)
        else:
            link.client.close()
        began = time.monotonic()
        while len(link.client.events) < len(messages) + 2 and time.monotonic() < began + 1.5:
            await asyncio.sleep(0)
        return link.client.events

    events = asyncio.run(run())
    if ending == "lost":
        assert events == ["connected", *messages, "disconnected"]
    else:
        assert events == ["connected", *messages][: len(events)] and len(events) < 30


def test_connection_lets_others_go_first_after_a_number_of_bytes() -> None:
    # Guards against an event loop that reads many times from one connection before it turns to the others.
    async def run() -> None:
        link = Link(EchoServer(), RecordingClient())
        link.exchange()
        link.client.write("y" * MAX_BYTES_PER_READ_TURN)
        link.connection.data_received(link.client_transport.written)
        assert not link.server_transport.reads
        await asyncio.sleep(0)
        assert link.server_transport.reads

    asyncio.run(run())


def test_connections_hold_a_limited_amount_together_and_the_oldest_holder_is_closed() -> None:
    # Guards against the sum of what each connection may hold, frames in part and messages that nobody reads.
    server = EchoServer()
    links = [Link(server, RecordingClient(name=f"c{number}")) for number in range(4)]
    for link in links:
        link.exchange()
        link.client.write("hello")
        link.exchange()
    server.memory.account.set_limit(100_000)
    reader, sender, other = links[:3]
    reader.connection.pause_writing()
    reader.server_transport.unsent = 40_000
    assert server.send("c0", "x") > 0
    for link in (sender, other):
        link.client.write("y" * 40_000)
        link.connection.data_received(link.client_transport.written[:30_000])
    assert [link.server_transport.closed for link in links] == ["abort", "", "", ""]
    other.connection.data_received(other.client_transport.written[30_000:])
    assert server.memory.account.total == 30_000
    sender.connection.connection_lost(None)
    assert server.memory.account.total == 0 and not server.memory.holders
