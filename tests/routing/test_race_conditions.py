"""Attempts and connections: an end, a response or a list between any two steps, on real sockets."""

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from typing import Any

import pytest

from ploverspoke.protocol.workers import AttemptResponseReader, LoadReport, ResponseListener
from ploverspoke.routing.worker_calls import WorkerCall
from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.outcomes import ExchangeOutcome
from tests.routing.harness import (
    World,
    listed,
    play,
)
from tests.routing.race_harness import (
    CALM,
    CLASS_NAMES,
    MS,
    SECOND,
    Clock,
    Gate,
    HeldWorker,
    connect_to,
    deliver_list,
    idle_client,
    newest_session,
    run_on_loop,
    success_response,
    turns,
    until,
    wait_for_kernel,
)
from tests.transport.recording_pool_user import RecordingPoolUser


@pytest.mark.parametrize("class_name", CLASS_NAMES)
@pytest.mark.parametrize("what", ["drains", "gone", "moved", "left", "late", "lost"])
def test_attempt_is_not_written_once_it_is_no_longer_allowed(what: str, class_name: str) -> None:
    # A connection that came up late carried the request to a worker that was listed as draining by then.
    async def script(world: World) -> None:
        worker, other, clock = HeldWorker(), world.entries[0], Clock(world.service.deadlines)
        chosen = listed("h", worker.port)
        deliver_list(world, chosen)
        gate = Gate(world.service.pool)
        client = connect_to(world.port)
        client.end.send(world.request("r", class_name))
        await until(lambda: gate.waiting)
        if what == "drains":
            deliver_list(world, {**chosen, "state": "Terminating"}, other)
        elif what == "gone":
            deliver_list(world, other)
        elif what == "moved":
            deliver_list(world, {**chosen, "addr": other["addr"]}, other)
        elif what == "left":
            client.close()
            wait_for_kernel(newest_session(world).connection.is_closed_by_peer)
        elif what == "late":
            clock.ahead += 31 * SECOND
        else:
            worker.called()[0].reset()
        gate.event.set()
        if what == "lost":
            deliver_list(world, other)
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


@pytest.mark.parametrize("class_name", CLASS_NAMES)
@pytest.mark.parametrize("how", ["closed", "reset", "in a turn before", "far ahead", "queued behind"])
def test_nothing_is_sent_for_a_client_that_has_disconnected(how: str, class_name: str) -> None:
    # Timers went before what lay in the kernel; behind what a client had sent ahead, its end was not read.
    async def script(world: World) -> None:
        ready, clock = world.entries[0], Clock(world.service.deadlines)
        draining = {**ready, "state": "Terminating"}
        await idle_client(world, class_name)  # whose connection the next attempt goes over, in the same turn
        deliver_list(world, draining)
        client = connect_to(world.port)
        client.end.send(world.request("left", class_name))
        await until(lambda: world.service.router.requests.open_count())
        if how == "far ahead":
            behind = world.request("behind", class_name, b"y" * 60_000) * 20
            while behind:
                with contextlib.suppress(BlockingIOError):
                    behind = behind[client.end.send(behind) :]
                await asyncio.sleep(0)
        elif how == "queued behind":
            client.end.send(world.request("behind", class_name))
            await turns()
        connection = newest_session(world).connection
        if how == "reset":
            client.reset()
        else:
            client.close()
        if how in ("in a turn before", "far ahead"):
            await until(
                lambda: not world.service.router.requests.open_count(),
                "not noticed while nothing else happened",
            )
        else:
            wait_for_kernel(connection.is_closed_by_peer)
        world.sent.clear()
        deliver_list(world, ready)
        for _ in range(4):  # the clock ticks, and what waits is drawn
            clock.wake_after(500 * MS)
        await turns(100)
        assert not world.sent and not world.service.router.requests.open_count()
        last = connect_to(world.port)
        last.end.send(world.request("after", class_name))
        assert await until(last.status) == 200

    play(script, workers=1, **CALM)


def test_client_that_sends_too_far_ahead_gets_its_answer_and_is_closed() -> None:
    async def script(world: World) -> None:
        deliver_list(world, {**world.entries[0], "state": "Terminating"})
        client = connect_to(world.port)
        client.end.send(world.request("r"))
        await until(lambda: world.service.router.requests.open_count())
        ahead = b"z" * 1_000_000
        while ahead:
            with contextlib.suppress(BlockingIOError):
                ahead = ahead[client.end.send(ahead) :]
            await asyncio.sleep(0)
        session = newest_session(world)
        await until(lambda: session.dropped_bytes)
        assert session.buffered_bytes + len(session.connection.buffer) <= 512 * 1024
        deliver_list(world, world.entries[0])
        assert await until(client.status) == 200
        assert b"connection: close" in client.came.lower()
        await until(client.has_ended)
        assert not world.service.client_server.buffered_bytes and len(world.sent) == 1

    play(script, workers=1, **CALM)


@pytest.mark.parametrize("class_name", CLASS_NAMES)
@pytest.mark.parametrize("data", [b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", b""])
@pytest.mark.parametrize("request_first", [True, False])
def test_idle_connection_with_unread_data_is_not_reused(
    request_first: bool, data: bytes, class_name: str
) -> None:
    # A second answer to the request before, late, was believed: a second copy went out beside the first.
    # Empty: the worker closes it, idle, under the request.
    async def script(world: World) -> None:
        worker = HeldWorker()
        deliver_list(world, listed("h", worker.port))
        client = await idle_client(world, class_name, worker)
        kept = worker.peers[0]
        steps: list[Callable[[], Any]] = [
            lambda: client.end.send(world.request("r", class_name)),
            (lambda: kept.end.send(data)) if data else kept.close,
        ]
        unread = [newest_session(world).connection, next(iter(world.service.pool.connections))]
        for step, connection in list(zip(steps, unread, strict=True))[:: 1 if request_first else -1]:
            step()
            wait_for_kernel(connection.has_unread_data)
        if not data:
            worker.peers.remove(kept)
        await until(lambda: worker.copies("r"))
        await turns(300)
        assert worker.copies("r") == 1
        next(p for p in worker.called() if b"request-id: r\r\n" in p.read()).end.send(success_response("r"))
        assert await until(client.status) == 200

    play(script, workers=1, **CALM)


def test_idle_connection_that_receives_data_is_discarded_at_once() -> None:
    # It was aborted, and until the event loop reported its end the next user got it.
    async def script(world: World) -> None:
        await idle_client(world)
        pool, address = world.service.pool, world.entries[0]["addr"]
        idle = next(iter(pool.connections))
        next_one = RecordingPoolUser()
        assert idle.user is not None
        idle.user.on_data_available()
        pool.acquire(address, next_one)
        assert next_one.connection is None
        given = await until(lambda: next_one.connection)
        assert given is not idle and pool.connection_count() == 1
        given.abort()

    play(script, workers=1, **CALM)


@pytest.mark.parametrize(
    "data",
    [b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"],
)
def test_response_before_the_last_byte_on_a_reused_connection_is_ignored(data: bytes) -> None:
    # A non-idempotent request was answered as failed though no worker had had it whole.
    async def script(world: World) -> None:
        worker, clock = HeldWorker(), Clock(world.service.deadlines)
        deliver_list(world, listed("h", worker.port))
        client = await idle_client(world, "book", worker)
        kept = worker.peers[0]
        kept.came = b""
        clock.hold()
        client.end.send(world.request("r", "book"))
        await until(kept.read)
        assert not kept.requests(), "all but its last byte"
        kept.end.send(data)
        await until(kept.has_ended)
        deliver_list(world, world.entries[0])
        clock.go_on()
        assert await until(client.status) == 200 and world.ran["r"] == 1

    play(script, workers=1, **CALM)


@pytest.mark.parametrize("how", ["closed", "reset", "drains", "left"])
def test_unread_data_is_read_before_the_last_byte_is_written(how: str) -> None:
    # The last byte was written to a worker that had ended the connection: who could say that it had not run?
    async def script(world: World) -> None:
        worker, clock = HeldWorker(), Clock(world.service.deadlines)
        deliver_list(world, listed("h", worker.port))
        clock.hold()
        client = connect_to(world.port)
        client.end.send(world.request("r", "book"))
        await until(lambda: worker.called() and worker.peers[0].read())
        peer, connection = worker.peers[0], next(iter(world.service.pool.connections))
        if how == "left":
            client.close()
            wait_for_kernel(newest_session(world).connection.is_closed_by_peer)
        elif how != "drains":
            peer.close() if how == "closed" else peer.reset()
            wait_for_kernel(connection.has_unread_data)
        drained = {**listed("h", worker.port), "state": "Terminating"}, world.entries[0]
        if how == "drains":
            deliver_list(world, *drained)
        clock.wake_after(5 * MS)
        deliver_list(world, *drained)
        clock.go_on()
        await turns(100)
        if how == "left":
            assert not peer.requests() and not world.ran and not world.service.router.requests.open_count()
        else:
            assert await until(client.status) == 200 and world.ran["r"] == 1
            assert how != "drains" or not peer.requests()

    play(script, workers=1, **CALM)


@pytest.mark.parametrize("way", ["on_timeout", "cancel"], ids=["too_late", "give_up"])
@pytest.mark.parametrize("after", range(8))
def test_connection_cancelled_while_pending_is_closed_and_counted_once(after: int, way: str) -> None:
    async def script() -> None:
        loop = asyncio.get_running_loop()
        worker, pool, user = (
            HeldWorker(),
            ConnectionPool(loop, Deadlines(loop), 4, SECOND, 60 * SECOND),
            RecordingPoolUser(),
        )

        opening = pool.acquire(f"127.0.0.1:{worker.port}", user)
        assert opening is not None
        await turns(after)
        getattr(opening, way)()
        pool.deadlines.cancel(opening.deadline)
        await until(lambda: pool.connection_count() == 0, f"held for good: {user.connection}, {user.outcome}")
        await turns()
        assert pool.pending_count == 0 and (user.connection is None or user.outcome is None)
        for peer in worker.called():
            await until(peer.has_ended)

    run_on_loop(script)


def test_connection_to_a_retired_address_is_not_reused() -> None:
    async def script(world: World) -> None:
        worker, entry = HeldWorker(), world.entries[0]
        deliver_list(world, listed("h", worker.port))
        client = connect_to(world.port)
        client.end.send(world.request("r"))
        await until(lambda: worker.copies("r"))
        deliver_list(world, {**listed("h", worker.port), "state": "Gone"}, entry)
        worker.peers[0].end.send(success_response("r"))
        assert await until(client.status) == 200
        await until(worker.peers[0].has_ended)
        assert not any(world.service.pool.idle.values())

    play(script, workers=1, **CALM)


@pytest.mark.parametrize("state", ["opening", "begun", "written"])
@pytest.mark.parametrize("order", list(itertools.permutations(["answer", "recall", "late", "close"])))
def test_worker_call_reports_one_outcome_for_any_order_of_events(order: tuple[str, ...], state: str) -> None:
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
            "answer": lambda: [p.end.send(success_response("r")) for p in worker.called()[:1]],
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

    run_on_loop(script)
