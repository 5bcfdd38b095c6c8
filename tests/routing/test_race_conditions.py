"""Rare moments, forced: an end, an answer, a list or a signal between two steps, on real sockets.

Nothing here waits for luck. Peers are plain sockets that the test writes to and ends while the loop stands
still, a connection comes up when its gate opens, and the program's clock is moved by hand.
"""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
import uvloop

from ploverspoke.protocol.discovery import EndpointList, read_endpoint_list
from ploverspoke.protocol.workers import AttemptResponseReader, LoadReport, ResponseListener
from ploverspoke.routing.client_session import ClientSession
from ploverspoke.routing.endpoint_watch import EndpointWatch
from ploverspoke.routing.worker_calls import WorkerCall
from ploverspoke.service.settings import parse_names, parse_settings
from ploverspoke.testbed.processes.addresses import held_ports
from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.outcomes import ExchangeOutcome
from tests.decisions.harness import SETTINGS
from tests.routing.test_service import World, chunk, listed, play
from tests.transport.recording_pool_user import RecordingPoolUser

MS, SECOND = 1_000_000, 1_000_000_000
# No probes: which worker is asked first is not what these tests are about. Nothing is late by itself.
CALM: dict[str, Any] = {
    "Limits": {"Cancel": True, "ConnectTimeoutUs": 20_000_000, "MaxHandOffs": 6, "IdleCloseUs": 60_000_000},
    "ServiceGrades": [
        {**grade, "AbandonTimeUs": 30_000_000, "ExpectedTimeUs": 20_000_000}
        for grade in SETTINGS["ServiceGrades"]
    ],
}
GRADES = ("look", "book")  # redoable, irreversible


async def turns(count: int = 30) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


async def until(so: Callable[[], Any], why: str = "") -> Any:
    for _ in range(400_000):
        found = so()
        if found:
            return found
        await asyncio.sleep(0)
    raise AssertionError(why or "it never came")


def placed(so: Callable[[], Any]) -> None:
    """Wait, with the loop standing still, until the kernel has it: on a busy machine that takes a moment."""
    end = time.monotonic() + 10
    while not so():
        assert time.monotonic() < end
        time.sleep(0)


class Clock:
    """The program's clock: real time, and what the test adds, or one moment held."""

    def __init__(self, deadlines: Deadlines) -> None:
        self.deadlines, self.real = deadlines, deadlines.now
        self.ahead, self.held_at = 0, 0
        deadlines.now = self.now  # type: ignore[method-assign]

    def now(self) -> int:
        return self.held_at or self.real() + self.ahead

    def hold(self) -> None:
        self.held_at = self.now()

    def go_on(self) -> None:
        self.ahead, self.held_at = self.held_at - self.real(), 0

    def wake_after(self, span: int) -> None:
        """As in a process that was stopped for so long: what is due goes before what lies in the kernel."""
        if self.held_at:
            self.held_at += span
        else:
            self.ahead += span
        self.deadlines._run_due()


class Gate:
    """Connections that are up are told when it is opened."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.loop, self.event, self.waiting = pool.loop, asyncio.Event(), 0
        pool.loop = self  # type: ignore[assignment]

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)

    async def create_connection(self, *how: Any) -> Any:
        made = await self.loop.create_connection(*how)
        self.waiting += 1
        await self.event.wait()
        return made


class Peer:
    """One end of a connection, worked by hand."""

    def __init__(self, end: socket.socket) -> None:
        self.end, self.came, self.ended = end, b"", False
        end.setblocking(False)

    def read(self) -> bytes:
        """All that came until now."""
        with contextlib.suppress(BlockingIOError):
            while not self.ended:
                try:
                    part = self.end.recv(1 << 16)
                except ConnectionError:
                    part = b""
                self.came, self.ended = self.came + part, not part
        return self.came

    def has_ended(self) -> bool:
        self.read()
        return self.ended

    def status(self) -> int:
        """Of the answer that came whole, else 0."""
        head, blank, body = self.read().partition(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
        return int(head.split()[1]) if blank and len(body) >= int(length or 0) else 0

    def requests(self, body: bytes = b"x") -> int:
        """That came whole."""
        return self.read().count(b"\r\n\r\n" + body)

    def close(self) -> None:
        self.end.close()

    def reset(self) -> None:
        self.end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.end.close()


class HeldWorker:
    """A worker whose every byte the test writes."""

    def __init__(self) -> None:
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.listening.setblocking(False)
        self.port = self.listening.getsockname()[1]
        self.peers: list[Peer] = []

    def called(self) -> list[Peer]:
        with contextlib.suppress(BlockingIOError):
            while True:
                self.peers.append(Peer(self.listening.accept()[0]))
        return self.peers

    def copies(self, request_id: str) -> int:
        mark = f"request-id: {request_id}\r\n".encode()
        return sum(p.read().count(mark) for p in self.called() if p.requests())


def served(request_id: str) -> bytes:
    done = {"id": request_id, "from": "h", "state": "done", "result": "r"}
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(done) + b"0\r\n\r\n"


def caller(port: int) -> Peer:
    return Peer(socket.create_connection(("127.0.0.1", port)))


def shown(*entries: dict[str, Any], version: int = 2, full: bool = True) -> bytes:
    return json.dumps({"version": version, "full": full, "servers": list(entries)}).encode()


def tell(world: World, *entries: dict[str, Any]) -> None:
    """The list changes, between two steps."""
    world.service.router.endpoints.receive_list(shown(*entries))


def newest(world: World) -> ClientSession:
    return list(world.service.door.sessions.values())[-1]


async def answered(world: World, grade: str = "look", worker: HeldWorker | None = None) -> Peer:
    """A client that has had one answer, of that worker if one is named; both its connections are idle now."""
    client, request_id = caller(world.port), f"before-{grade}"
    client.end.send(world.request(request_id, grade))
    if worker is not None:
        await until(lambda: worker.copies(request_id))
        worker.peers[-1].end.send(served(request_id))
    assert await until(client.status) == 200
    await turns()
    client.came = b""
    return client


def on_loop(script: Callable[[], Coroutine[Any, Any, None]]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(script())


# ---- Between the choice of a worker and its first byte ----


@pytest.mark.parametrize("grade", GRADES)
@pytest.mark.parametrize("what", ["drains", "gone", "moved", "left", "late", "lost"])
def test_a_hand_off_is_not_written_once_it_may_not_be(what: str, grade: str) -> None:
    # A connection that came up late carried the request to a worker that had been told to be draining.
    async def script(world: World) -> None:
        worker, other, clock = HeldWorker(), world.entries[0], Clock(world.service.deadlines)
        chosen = listed("h", worker.port)
        tell(world, chosen)
        gate = Gate(world.service.pool)
        client = caller(world.port)
        client.end.send(world.request("r", grade))
        await until(lambda: gate.waiting)
        if what == "drains":
            tell(world, {**chosen, "state": "Terminating"}, other)
        elif what == "gone":
            tell(world, other)
        elif what == "moved":
            tell(world, {**chosen, "addr": other["addr"]}, other)
        elif what == "left":
            client.close()
            placed(newest(world).connection.is_closed_by_peer)
        elif what == "late":
            clock.ahead += 31 * SECOND
        else:
            worker.called()[0].reset()
        gate.event.set()
        if what == "lost":
            tell(world, other)
        if what == "late":
            await turns()
            clock.wake_after(0)
        if what != "left":
            status = await until(client.status)
            assert status == (503 if what == "late" else 200)
        await turns()
        assert what == "lost" or worker.called()[0].read() == b"", "nothing of it may be written there"
        if what == "left":
            assert not world.service.router.requests

    play(script, workers=1, **CALM)


# ---- Clients that leave while their requests wait ----


@pytest.mark.parametrize("grade", GRADES)
@pytest.mark.parametrize("how", ["closed", "reset", "in a turn before", "far ahead", "queued behind"])
def test_nothing_is_sent_for_a_client_that_has_left(how: str, grade: str) -> None:
    # Timers went before what lay in the kernel; behind what a client had sent ahead, its end was not read.
    async def script(world: World) -> None:
        ready, clock = world.entries[0], Clock(world.service.deadlines)
        draining = {**ready, "state": "Terminating"}
        await answered(world, grade)  # its connection rests: the next goes out in the same turn
        tell(world, draining)
        client = caller(world.port)
        client.end.send(world.request("left", grade))
        await until(lambda: world.service.router.requests.open_count())
        if how == "far ahead":
            behind = world.request("behind", grade, b"y" * 60_000) * 20
            while behind:
                with contextlib.suppress(BlockingIOError):
                    behind = behind[client.end.send(behind) :]
                await asyncio.sleep(0)
        elif how == "queued behind":
            client.end.send(world.request("behind", grade))
            await turns()
        connection = newest(world).connection
        if how == "reset":
            client.reset()
        else:
            client.close()
        if how in ("in a turn before", "far ahead"):
            await until(
                lambda: not world.service.router.requests.open_count(),
                "not heard while nothing else happened",
            )
        else:
            placed(connection.is_closed_by_peer)
        world.sent.clear()
        tell(world, ready)
        for _ in range(4):  # the clock ticks, and what waits is drawn
            clock.wake_after(500 * MS)
        await turns(100)
        assert not world.sent and not world.service.router.requests.open_count()
        last = caller(world.port)
        last.end.send(world.request("after", grade))
        assert await until(last.status) == 200

    play(script, workers=1, **CALM)


def test_who_sends_too_far_ahead_gets_its_answer_and_is_closed() -> None:
    async def script(world: World) -> None:
        tell(world, {**world.entries[0], "state": "Terminating"})
        client = caller(world.port)
        client.end.send(world.request("r"))
        await until(lambda: world.service.router.requests.open_count())
        ahead = b"z" * 1_000_000
        while ahead:
            with contextlib.suppress(BlockingIOError):
                ahead = ahead[client.end.send(ahead) :]
            await asyncio.sleep(0)
        session = newest(world)
        await until(lambda: session.dropped_bytes)
        assert session.buffered_bytes + len(session.connection.buffer) <= 512 * 1024
        tell(world, world.entries[0])
        assert await until(client.status) == 200
        assert b"connection: close" in client.came.lower()
        await until(client.has_ended)
        assert not world.service.door.buffered_bytes and len(world.sent) == 1

    play(script, workers=1, **CALM)


# ---- Connections that rested, and answers that are not this request's ----


@pytest.mark.parametrize("grade", GRADES)
@pytest.mark.parametrize("said", [b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", b""])
@pytest.mark.parametrize("request_first", [True, False])
def test_what_lies_unread_on_a_resting_connection(request_first: bool, said: bytes, grade: str) -> None:
    # A second answer to the request before, late, was believed: a second copy went out beside the first.
    # Empty: the worker closes it, idle, under the request.
    async def script(world: World) -> None:
        worker = HeldWorker()
        tell(world, listed("h", worker.port))
        client = await answered(world, grade, worker)
        kept = worker.peers[0]
        steps: list[Callable[[], Any]] = [
            lambda: client.end.send(world.request("r", grade)),
            (lambda: kept.end.send(said)) if said else kept.close,
        ]
        unread = [newest(world).connection, next(iter(world.service.pool.connections))]
        for step, connection in list(zip(steps, unread, strict=True))[:: 1 if request_first else -1]:
            step()
            placed(connection.has_unread_data)
        if not said:
            worker.peers.remove(kept)
        await until(lambda: worker.copies("r"))
        await turns(300)
        assert worker.copies("r") == 1
        next(p for p in worker.called() if b"request-id: r\r\n" in p.read()).end.send(served("r"))
        assert await until(client.status) == 200

    play(script, workers=1, **CALM)


def test_a_resting_connection_that_is_spoken_on_is_nobody_s_in_that_very_turn() -> None:
    # It was aborted, and until the loop told its end the next caller had it.
    async def script(world: World) -> None:
        await answered(world)
        pool, address = world.service.pool, world.entries[0]["addr"]
        rested = next(iter(pool.connections))
        next_one = RecordingPoolUser()
        assert rested.user is not None
        rested.user.on_data_available()
        pool.acquire(address, next_one)
        assert next_one.connection is None
        given = await until(lambda: next_one.connection)
        assert given is not rested and pool.connection_count() == 1
        given.abort()

    play(script, workers=1, **CALM)


@pytest.mark.parametrize(
    "said",
    [b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"],
)
def test_an_answer_before_the_last_byte_on_a_used_connection_is_another_request_s(said: bytes) -> None:
    # An irreversible one was answered as failed though no worker had had it whole.
    async def script(world: World) -> None:
        worker, clock = HeldWorker(), Clock(world.service.deadlines)
        tell(world, listed("h", worker.port))
        client = await answered(world, "book", worker)
        kept = worker.peers[0]
        kept.came = b""
        clock.hold()
        client.end.send(world.request("r", "book"))
        await until(kept.read)
        assert not kept.requests(), "all but its last byte"
        kept.end.send(said)
        await until(kept.has_ended)
        tell(world, world.entries[0])
        clock.go_on()
        assert await until(client.status) == 200 and world.ran["r"] == 1

    play(script, workers=1, **CALM)


@pytest.mark.parametrize("how", ["closed", "reset", "drains", "left"])
def test_before_the_last_byte_what_lies_unread_is_heard(how: str) -> None:
    # The last byte was written to a worker that had ended the connection: who could say that it had not run?
    async def script(world: World) -> None:
        worker, clock = HeldWorker(), Clock(world.service.deadlines)
        tell(world, listed("h", worker.port))
        clock.hold()
        client = caller(world.port)
        client.end.send(world.request("r", "book"))
        await until(lambda: worker.called() and worker.peers[0].read())
        peer, connection = worker.peers[0], next(iter(world.service.pool.connections))
        if how == "left":
            client.close()
            placed(newest(world).connection.is_closed_by_peer)
        elif how != "drains":
            peer.close() if how == "closed" else peer.reset()
            placed(connection.has_unread_data)
        drained = {**listed("h", worker.port), "state": "Terminating"}, world.entries[0]
        if how == "drains":
            tell(world, *drained)
        clock.wake_after(5 * MS)
        tell(world, *drained)
        clock.go_on()
        await turns(100)
        if how == "left":
            assert not peer.requests() and not world.ran and not world.service.router.requests.open_count()
        else:
            assert await until(client.status) == 200 and world.ran["r"] == 1
            assert how != "drains" or not peer.requests()

    play(script, workers=1, **CALM)


# ---- Pools ----


@pytest.mark.parametrize("way", ["on_timeout", "cancel"], ids=["too_late", "give_up"])
@pytest.mark.parametrize("after", range(8))
def test_a_connection_given_up_while_it_comes_up_is_closed_and_counted_once(after: int, way: str) -> None:
    async def script() -> None:
        loop = asyncio.get_running_loop()
        worker, pool, told = (
            HeldWorker(),
            ConnectionPool(loop, Deadlines(loop), 4, SECOND, 60 * SECOND),
            RecordingPoolUser(),
        )

        opening = pool.acquire(f"127.0.0.1:{worker.port}", told)
        assert opening is not None
        await turns(after)
        getattr(opening, way)()
        pool.deadlines.cancel(opening.deadline)
        await until(lambda: pool.connection_count() == 0, f"held for good: {told.connection}, {told.outcome}")
        await turns()
        assert pool.pending_count == 0 and (told.connection is None or told.outcome is None)
        for peer in worker.called():
            await until(peer.has_ended)

    on_loop(script)


def test_a_connection_in_use_where_nobody_is_called_any_more_does_not_rest() -> None:
    async def script(world: World) -> None:
        worker, entry = HeldWorker(), world.entries[0]
        tell(world, listed("h", worker.port))
        client = caller(world.port)
        client.end.send(world.request("r"))
        await until(lambda: worker.copies("r"))
        tell(world, {**listed("h", worker.port), "state": "Gone"}, entry)
        worker.peers[0].end.send(served("r"))
        assert await until(client.status) == 200
        await until(worker.peers[0].has_ended)
        assert not any(world.service.pool.idle.values())

    play(script, workers=1, **CALM)


# ---- Repeated attempts: ends in one turn, in each order ----


@pytest.mark.parametrize("state", ["opening", "begun", "written"])
@pytest.mark.parametrize("order", list(itertools.permutations(["answer", "recall", "late", "close"])))
def test_one_end_is_told_whatever_comes_in_one_turn(order: tuple[str, ...], state: str) -> None:
    async def script() -> None:
        loop = asyncio.get_running_loop()
        deadlines, worker, ends = Deadlines(loop), HeldWorker(), []
        clock, pool = Clock(deadlines), ConnectionPool(loop, deadlines, 4, SECOND, 60 * SECOND)
        clock.hold()

        class User:
            def encode_request(self, time_left: int) -> bytes:
                return b"POST /book HTTP/1.1\r\nrequest-id: r\r\n\r\nx"

            def make_reader(self, listener: ResponseListener) -> AttemptResponseReader:
                return AttemptResponseReader(listener, "x0", "r")

            def may_send(self) -> bool:
                return True

            def on_written(self) -> None: ...

            def on_started(self) -> None: ...

            def on_progress(self, fraction_done: float) -> None: ...

            def on_ended(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
                # A second copy may be sent now: the first must be at its end.
                ends.append((outcome, bool(call.reader.is_complete) or call.connection is None))

        address = f"127.0.0.1:{worker.port}"
        call = WorkerCall(pool, address, 60 * SECOND, User(), delay_last_byte=True)
        if state != "opening":
            await until(lambda: call.connection is not None and worker.called() and worker.peers[0].read())
        if state == "written":
            clock.wake_after(5 * MS)
            await until(worker.peers[0].requests)
        steps: dict[str, Callable[[], Any]] = {
            "answer": lambda: [p.end.send(served("r")) for p in worker.called()[:1]],
            "recall": call.cancel,
            "late": lambda: clock.wake_after(61 * SECOND),
            "close": call.withhold,
        }
        for step in order:
            steps[step]()
        await until(lambda: ends)
        await until(lambda: pool.connection_count() == len(pool.idle[address]))
        assert len(ends) == 1 and ends[0][1]
        if state != "written":
            never_ran = {ExchangeOutcome.NOT_SENT, ExchangeOutcome.SEND_INCOMPLETE}
            assert ends[0][0] in never_ran or not worker.peers[0].requests()
            assert sum(p.requests() for p in worker.called()) == 0

    on_loop(script)


# ---- The watch on the list ----


class HeldWatch:
    """A watch, and a discovery that the test works by hand."""

    def __init__(self, pushed: bool = False) -> None:
        loop = asyncio.get_running_loop()
        self.discovery, deadlines = HeldWorker(), Deadlines(loop)
        self.clock, self.lists, self.lost = Clock(deadlines), list[int](), list[bool]()
        self.clock.hold()
        address, lost = f"127.0.0.1:{self.discovery.port}", self.lost.append
        self.watch = EndpointWatch(deadlines, address, self.told, lost, 10 * SECOND, pushed)

    def told(self, body: bytes) -> EndpointList:
        received = read_endpoint_list(body)
        self.lists.append(received.version)
        return received

    def calls(self) -> list[bytes]:
        """Each call on each connection, in the order of connections."""
        return [c for p in self.discovery.called() for c in p.read().split(b"\r\n\r\n") if c]

    async def called(self, count: int) -> Peer:
        await until(lambda: len(self.calls()) >= count, f"{count} calls")
        await turns()
        assert len(self.calls()) == count
        return self.discovery.peers[-1]


async def watching(pushed: bool = False) -> tuple[HeldWatch, Peer]:
    """A watch that has had the whole list and made its next call, and the connection that this came over."""
    held = HeldWatch(pushed)
    held.watch.start()
    (await held.called(1)).end.send(told_by(shown(version=5)))
    return held, await held.called(2)


def told_by(body: bytes, more: str = "") -> bytes:
    return f"HTTP/1.1 200 OK\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body


def test_a_silent_watch_is_opened_anew_before_what_it_missed_counts_as_told() -> None:
    # It was given up just when that counted as told; the pause before the next call, the connection and the
    # answer came on top of it, longer than the grace.
    async def script() -> None:
        held = HeldWatch()
        held.watch.start()
        peer = await held.called(1)
        for silences in range(3):  # the whole list, a watch, and the same once more
            if silences:
                peer.end.send(told_by(shown(version=40 + silences)) if silences == 1 else b"HTTP/1.1 200 O")
                if silences == 1:
                    await held.called(3)
            counts_as_told = 6 * SECOND if not silences else 12 * SECOND
            held.clock.wake_after(counts_as_told - 3 * SECOND // 2)
            await turns()
            held.clock.wake_after(10 * MS)  # once more, after what lay unread
            peer = await held.called(2 if not silences else 3 + silences)
            assert not held.lost, "no pause is asked for"
        assert b"from=41&" in held.calls()[-1]
        peer.end.send(told_by(shown(version=42)))
        await held.called(6)
        assert held.lists == [41, 42] and held.discovery.peers[0].has_ended()
        held.watch.stop()

    on_loop(script)


def test_a_drain_behind_a_silent_watch_is_heard_within_its_grace() -> None:
    async def script(world: World) -> None:
        clock, grace = Clock(world.service.deadlines), 500 * MS
        drained = [{**world.entries[0], "state": "Terminating"}, world.entries[1]]
        await until(lambda: world.watches)
        world.entries, world.version = drained, 2  # the watch that is open never says so
        for _ in range(240):  # 12 s: the wait of 10 s, and 2 s until it counts as told
            clock.wake_after(50 * MS)
            await asyncio.sleep(0.001)
        clock.wake_after(grace - 50 * MS)
        await turns(100)
        for number in range(8):
            assert (await world.ask(world.request(f"r{number}")))[0] == 200
        assert {worker for worker, _ in world.sent} == {"w1"}

    play(script, workers=2, **CALM)


@pytest.mark.parametrize(
    ("said", "lists", "lost", "calls"),
    [
        # What comes in one go after the call for the watch: told, failures, and calls in all.
        (told_by(shown(version=7)), [7], [], 3),
        (told_by(shown(version=7), "Connection: close\r\n"), [7], [], 3),
        (told_by(shown(version=7)) + b"END", [7], [False], 2),  # its end right behind the answer
        (told_by(shown(version=7)) * 2, [7], [False], 2),  # twice: two calls went out on one connection
        (told_by(shown(version=7)) + b"garbage", [7], [False], 2),
        (told_by(b'{"version":"soon"}'), [], [False], 2),
        (told_by(shown(version=7))[:-4] + b"END", [], [False], 2),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", [], [True], 2),
        (b"END", [], [False], 2),
    ],
)
def test_the_watch_makes_one_call_at_a_time(
    said: bytes, lists: list[int], lost: list[bool], calls: int
) -> None:
    async def script() -> None:
        held, peer = await watching()
        peer.end.send(said.removesuffix(b"END"))
        if said.endswith(b"END"):
            peer.end.shutdown(socket.SHUT_WR)
        await until(lambda: held.lists[1:] == lists and (held.lost or len(held.calls()) == 3 or not lists))
        await until(lambda: len(held.calls()) >= calls and len(held.lost) >= len(lost))
        await turns(100)
        open_now = [p for p in held.discovery.called() if not p.has_ended()]
        if said.endswith(b"END") and lists and not held.lost:
            await until(lambda: held.lost)
        assert held.lists == [5, *lists] and held.lost == lost
        assert len(open_now) == (0 if lost else 1)
        if lost:
            # The next watch is one watch: nothing of the last call is left over for it.
            held.watch.start()
            held.watch.start()
            peer = await held.called(len(held.calls()) + 1)
            peer.end.send(told_by(shown(version=9)))
            await until(lambda: held.lists[-1] == 9)
            assert held.lost == lost and sum(not p.has_ended() for p in held.discovery.called()) == 1
        held.watch.stop()

    on_loop(script)


def test_an_answer_that_lies_unread_at_the_end_of_its_time_is_heard() -> None:
    # A process that was stopped wakes up with the deadline past, and with the answer in the kernel.
    async def script() -> None:
        held, peer = await watching()
        peer.end.send(told_by(shown(version=6)))
        held.clock.wake_after(13 * SECOND)
        await held.called(3)
        assert held.lists == [5, 6] and len(held.discovery.called()) == 1 and not held.lost
        # One that drips is silent all the same.
        peer.end.send(b"HTTP/1.1 200 O")
        held.clock.wake_after(13 * SECOND)
        await turns()
        peer.end.send(b"K")
        held.clock.wake_after(10 * MS)
        await until(lambda: len(held.discovery.called()) == 2)
        held.watch.stop()

    on_loop(script)


def test_a_pushed_watch_that_breaks_is_opened_anew_without_a_pause() -> None:
    # What changed in the pause counted as told, and the grace was over before it was heard.
    async def script() -> None:
        held, peer = await watching(pushed=True)
        peer.reset()
        held.discovery.peers.clear()
        peer = await held.called(1)
        assert b"from=5&" in held.calls()[0] and not held.lost
        peer.reset()  # again at once: it is down, or ends each call
        await until(lambda: held.lost)
        assert held.lost == [False]

    on_loop(script)


def test_another_way_of_discovery_binds_the_watch_that_is_open() -> None:
    # After SIGHUP the watch went on as the settings at the start had it.
    async def script(world: World) -> None:
        clock, pushed = Clock(world.service.deadlines), {**SETTINGS, **CALM, "Discovery": "push"}
        await until(lambda: world.watches)
        world.service.router.change_settings(parse_settings(pushed), parse_names(pushed))
        clock.hold()  # a pause never ends now
        asked = world.watches
        world.told[-1][1].transport.abort()
        await until(lambda: world.watches > asked)

    play(script, workers=1, **CALM)


def test_numbers_that_go_back_are_a_new_discovery_s_and_all_of_it_is_asked_for() -> None:
    async def script() -> None:
        held = HeldWatch()
        held.watch.start()
        peer = await held.called(1)
        for number, (version, full) in enumerate([(50, True), (3, False), (3, True), (4, False)]):
            peer.end.send(told_by(shown(version=version, full=full)))
            peer = await held.called(number + 2)
        asked = [b"from=" in call for call in held.calls()]
        assert asked == [False, True, False, True, True]
        held.watch.stop()
        peer.end.send(told_by(shown(version=5)))
        await turns(100)
        assert held.lists[-1] == 4, "a watch that was moved away from tells nothing"

    on_loop(script)


# ---- The end ----


def test_all_is_over_before_it_may_be_killed() -> None:
    # With deadlines under 3 s the times after the signal were longer than what the settings give.
    async def script(world: World) -> None:
        clock, service = Clock(world.service.deadlines), world.service
        clock.hold()
        tell(world)  # nobody to send to: what is asked waits
        idle, asks = caller(world.port), [caller(world.port) for _ in range(3)]
        asks[0].end.send(world.request("before"))
        await until(lambda: service.router.requests.open_count() == 1 and len(service.door.sessions) == 4)
        service._leave()
        span = 0
        while span < 1590:  # 900 ms and 700 ms
            if span in (600, 680, 1000):
                asks[{600: 1, 680: 2, 1000: 0}[span]].end.send(world.request(f"at-{span}"))
            clock.wake_after(10 * MS)
            span += 10
            await turns(8)
        await turns(100)
        assert world.running.done()
        assert [peer.status() for peer in asks] == [503, 503, 503] and idle.read() == b""
        assert all(peer.has_ended() for peer in [idle, *asks])

    play(script, workers=1)


@pytest.mark.parametrize("first", ["kept", "new"])
def test_what_lies_in_the_kernel_at_the_end_is_answered(first: str) -> None:
    # A request that lay unread was closed on; closing the socket reset those that waited to be taken.
    async def script(world: World) -> None:
        kept = await answered(world)
        new = [caller(world.port) for _ in range(12)]
        clients = [kept, *new] if first == "kept" else [*new, kept]
        for number, client in enumerate(clients):
            client.end.send(world.request(f"r{number}"))
        placed(newest(world).connection.has_unread_data)
        world.service.door.shut()
        for client in clients:
            await until(client.has_ended)
            assert client.status() == 200
            assert b"connection: close" in client.came.lower()

    play(script, workers=2, **CALM)


def test_a_hand_over_between_any_two_steps_of_a_connection_loses_nothing() -> None:
    async def script(world: World) -> None:
        service, listener = world.service, world.service.door.listener
        kept = await answered(world)
        assert listener.socket is not None
        service.listening, other = listener.socket, listener.socket.dup()  # the other process has it too
        seating, queued = caller(world.port), caller(world.port)
        for name, client in (("kept", kept), ("seating", seating), ("queued", queued)):
            client.end.send(world.request(name))
        placed(newest(world).connection.has_unread_data)
        listener._accept_some(1)  # accepted, and not seated yet
        service._leave()
        for client in (kept, seating):
            await until(client.has_ended)
            assert client.status() == 200 and b"connection: close" in client.came.lower()
        taken = Peer(other.accept()[0])
        assert b"Request-Id: queued" in await until(taken.read) and not queued.has_ended()
        assert sorted(name for _, name in world.sent) == ["before-look", "kept", "seating"]

    play(script, workers=1, **CALM)


def test_an_idle_client_whose_request_lies_unread_does_not_make_way() -> None:
    async def script(world: World) -> None:
        clients = [await answered(world, grade) for grade in GRADES]
        oldest: ClientSession = next(iter(world.service.door.sessions.values()))
        clients[0].end.send(world.request("b"))
        placed(oldest.connection.has_unread_data)
        assert world.service.door._evict_one() and not oldest.is_closing
        assert await until(clients[0].status) == 200
        await until(clients[1].has_ended)

    play(script, workers=1, **CALM)


@pytest.fixture
def held_start(tmp_path: Path) -> Iterator[Callable[[str], subprocess.Popen[bytes]]]:
    """The program, with a signal to it just while its imports are under way."""
    started: list[subprocess.Popen[bytes]] = []
    path, (listen, discovery) = tmp_path / "config.json", held_ports(2)
    addresses = {"listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery}"}
    path.write_text(json.dumps({**addresses, "settings": SETTINGS}))

    def start(name: str) -> subprocess.Popen[bytes]:
        shim = f"import os, signal, sys\nos.kill(os.getpid(), signal.{name})\ndel sys.modules['uvloop']\n"
        shim += f"sys.path.remove({str(tmp_path)!r})\nimport uvloop\n"
        (tmp_path / "uvloop.py").write_text(shim)
        environment = {**os.environ, "RELAY_CONFIG": str(path), "PYTHONPATH": str(tmp_path)}
        started.append(
            subprocess.Popen([sys.executable, "-m", "ploverspoke"], env=environment, stderr=subprocess.PIPE)
        )
        return started[-1]

    yield start
    for process in started:
        process.kill()
        process.wait()


@pytest.mark.parametrize("name", ["SIGHUP", "SIGTERM"])
def test_a_signal_during_the_start_waits_for_who_takes_it(
    name: str, held_start: Callable[[str], subprocess.Popen[bytes]]
) -> None:
    # A new configuration that was told of while the program started ended it.
    process = held_start(name)
    assert process.stderr is not None
    if name == "SIGHUP":
        assert b"serves at" in process.stderr.readline()
        process.send_signal(signal.SIGTERM)
    assert process.wait(20) == 0
