"""Race conditions on real sockets: a disconnect, a response or a list arrives between any two steps."""

from collections.abc import Callable

import pytest

from ploverspoke.transport.memory_account import MemoryKind
from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND
from tests.routing.harness import ServiceHarness, endpoint_entry, run_script
from tests.routing.race_harness import (
    CLASS_NAMES,
    LENIENT_SETTINGS,
    Clock,
    Gate,
    ManualWorker,
    connect_to,
    deliver_list,
    idle_client,
    newest_session,
    run_loop_turns,
    send_all,
    success_response,
    wait_for_kernel,
    wait_until,
)
from tests.transport.recording_pool_user import RecordingPoolUser


@pytest.mark.parametrize("class_name", CLASS_NAMES)
@pytest.mark.parametrize("event", ["drains", "gone", "moved", "left", "late", "lost"])
def test_attempt_is_not_written_once_it_is_no_longer_allowed(event: str, class_name: str) -> None:
    # After a slow connect, the request was sent to a worker that had meanwhile been listed as draining.
    async def script(harness: ServiceHarness) -> None:
        worker, other, clock = ManualWorker(), harness.entries[0], Clock(harness.service.deadlines)
        chosen = endpoint_entry("h", worker.port)
        deliver_list(harness, chosen)
        gate = Gate(harness.service.pool)
        client = connect_to(harness.port)
        client.socket.send(harness.request("r", class_name))
        await wait_until(lambda: gate.waiting)
        if event == "drains":
            deliver_list(harness, {**chosen, "state": "Terminating"}, other)
        elif event == "gone":
            deliver_list(harness, other)
        elif event == "moved":
            deliver_list(harness, {**chosen, "addr": other["addr"]}, other)
        elif event == "left":
            client.close()
            wait_for_kernel(newest_session(harness).connection.is_closed_by_peer)
        elif event == "late":
            clock.offset += 31 * SECOND
        else:
            worker.accept_pending()[0].reset()
        gate.event.set()
        if event == "lost":
            deliver_list(harness, other)
        if event == "late":
            await run_loop_turns()
            clock.resume_after(0)
        if event != "left":
            status = await wait_until(client.status)
            assert status == (503 if event == "late" else 200)
        await run_loop_turns()
        assert event == "lost" or worker.accept_pending()[0].read() == b"", (
            "no part of the request may be written there"
        )
        if event == "left":
            assert not harness.service.router.requests

    run_script(script, workers=1, **LENIENT_SETTINGS)


@pytest.mark.parametrize("class_name", CLASS_NAMES)
@pytest.mark.parametrize("disconnect", ["closed", "reset", "in a turn before", "far ahead", "queued behind"])
def test_nothing_is_sent_for_a_client_that_has_disconnected(disconnect: str, class_name: str) -> None:
    # Timers ran before unread data was read, and a disconnect after data that was sent ahead was not seen.
    async def script(harness: ServiceHarness) -> None:
        ready, clock = harness.entries[0], Clock(harness.service.deadlines)
        draining = {**ready, "state": "Terminating"}
        await idle_client(
            harness, class_name
        )  # the next attempt reuses this worker connection in the same turn
        deliver_list(harness, draining)
        client = connect_to(harness.port)
        client.socket.send(harness.request("left", class_name))
        await wait_until(lambda: harness.service.router.requests.open_count())
        if disconnect == "far ahead":
            await send_all(client, harness.request("behind", class_name, b"y" * 60_000) * 20)
        elif disconnect == "queued behind":
            client.socket.send(harness.request("behind", class_name))
            await run_loop_turns()
        connection = newest_session(harness).connection
        if disconnect == "reset":
            client.reset()
        else:
            client.close()
        if disconnect in ("in a turn before", "far ahead"):
            await wait_until(
                lambda: not harness.service.router.requests.open_count(),
                "not noticed while nothing else happened",
            )
        else:
            wait_for_kernel(connection.is_closed_by_peer)
        harness.sent.clear()
        deliver_list(harness, ready)
        for _ in range(4):  # due timers run, and waiting requests are sent
            clock.resume_after(500 * MS)
        await run_loop_turns(100)
        assert not harness.sent and not harness.service.router.requests.open_count()
        last = connect_to(harness.port)
        last.socket.send(harness.request("after", class_name))
        assert await wait_until(last.status) == 200

    run_script(script, workers=1, **LENIENT_SETTINGS)


def test_client_that_sends_too_far_ahead_gets_its_answer_and_is_closed() -> None:
    async def script(harness: ServiceHarness) -> None:
        deliver_list(harness, {**harness.entries[0], "state": "Terminating"})
        client = connect_to(harness.port)
        client.socket.send(harness.request("r"))
        await wait_until(lambda: harness.service.router.requests.open_count())
        await send_all(client, b"z" * 1_000_000)
        session = newest_session(harness)
        await wait_until(lambda: session.input.dropped_bytes)
        held = harness.service.memory.held
        assert held[MemoryKind.MESSAGES] + held[MemoryKind.READ_BUFFERS] <= 512 * 1024
        deliver_list(harness, harness.entries[0])
        assert await wait_until(client.status) == 200
        assert b"connection: close" in client.received.lower()
        await wait_until(client.has_ended)
        assert not held[MemoryKind.MESSAGES] and not held[MemoryKind.READ_BUFFERS] and len(harness.sent) == 1

    run_script(script, workers=1, **LENIENT_SETTINGS)


@pytest.mark.parametrize("class_name", CLASS_NAMES)
@pytest.mark.parametrize("data", [b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", b""])
@pytest.mark.parametrize("request_first", [True, False])
def test_idle_connection_with_unread_data_is_not_reused(
    request_first: bool, data: bytes, class_name: str
) -> None:
    # A late second response to the previous request was accepted, and caused a second concurrent attempt.
    # With empty data, the worker closes the idle connection while the request is sent.
    async def script(harness: ServiceHarness) -> None:
        worker = ManualWorker()
        deliver_list(harness, endpoint_entry("h", worker.port))
        client = await idle_client(harness, class_name, worker)
        kept = worker.peers[0]
        steps: list[Callable[[], object]] = [
            lambda: client.socket.send(harness.request("r", class_name)),
            (lambda: kept.socket.send(data)) if data else kept.close,
        ]
        unread = [newest_session(harness).connection, next(iter(harness.service.pool.connections))]
        for step, connection in list(zip(steps, unread, strict=True))[:: 1 if request_first else -1]:
            step()
            wait_for_kernel(connection.has_unread_data)
        if not data:
            worker.peers.remove(kept)
        await wait_until(lambda: worker.copies("r"))
        await run_loop_turns(300)
        assert worker.copies("r") == 1
        next(peer for peer in worker.accept_pending() if b"request-id: r\r\n" in peer.read()).socket.send(
            success_response("r")
        )
        assert await wait_until(client.status) == 200

    run_script(script, workers=1, **LENIENT_SETTINGS)


def test_idle_connection_that_receives_data_is_discarded_at_once() -> None:
    # The connection was aborted, and its next user got it before the event loop reported its end.
    async def script(harness: ServiceHarness) -> None:
        await idle_client(harness)
        pool, address = harness.service.pool, str(harness.entries[0]["addr"])
        idle = next(iter(pool.connections))
        next_user = RecordingPoolUser()
        assert idle.user is not None
        idle.user.on_data_available()
        pool.acquire(address, next_user)
        assert next_user.connection is None
        new_connection = await wait_until(lambda: next_user.connection)
        assert new_connection is not None
        assert new_connection is not idle and pool.connection_count() == 1
        new_connection.abort()

    run_script(script, workers=1, **LENIENT_SETTINGS)


@pytest.mark.parametrize(
    "data",
    [b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"],
)
def test_response_before_the_last_byte_on_a_reused_connection_is_ignored(data: bytes) -> None:
    # A non-idempotent request was answered as failed though no worker had received it completely.
    async def script(harness: ServiceHarness) -> None:
        worker, clock = ManualWorker(), Clock(harness.service.deadlines)
        deliver_list(harness, endpoint_entry("h", worker.port))
        client = await idle_client(harness, "book", worker)
        kept = worker.peers[0]
        kept.received = b""
        clock.hold()
        client.socket.send(harness.request("r", "book"))
        await wait_until(kept.read)
        assert not kept.requests(), "all but its last byte"
        kept.socket.send(data)
        await wait_until(kept.has_ended)
        deliver_list(harness, harness.entries[0])
        clock.release()
        assert await wait_until(client.status) == 200 and harness.run_counts["r"] == 1

    run_script(script, workers=1, **LENIENT_SETTINGS)


@pytest.mark.parametrize("event", ["closed", "reset", "drains", "left"])
def test_unread_data_is_read_before_the_last_byte_is_written(event: str) -> None:
    # The last byte was written to a worker that had closed the connection, and the request might have run.
    async def script(harness: ServiceHarness) -> None:
        worker, clock = ManualWorker(), Clock(harness.service.deadlines)
        deliver_list(harness, endpoint_entry("h", worker.port))
        clock.hold()
        client = connect_to(harness.port)
        client.socket.send(harness.request("r", "book"))
        await wait_until(lambda: worker.accept_pending() and worker.peers[0].read())
        peer, connection = worker.peers[0], next(iter(harness.service.pool.connections))
        if event == "left":
            client.close()
            wait_for_kernel(newest_session(harness).connection.is_closed_by_peer)
        elif event != "drains":
            peer.close() if event == "closed" else peer.reset()
            wait_for_kernel(connection.has_unread_data)
        drained = {**endpoint_entry("h", worker.port), "state": "Terminating"}, harness.entries[0]
        if event == "drains":
            deliver_list(harness, *drained)
        clock.resume_after(5 * MS)
        deliver_list(harness, *drained)
        clock.release()
        await run_loop_turns(100)
        if event == "left":
            assert (
                not peer.requests()
                and not harness.run_counts
                and not harness.service.router.requests.open_count()
            )
        else:
            assert await wait_until(client.status) == 200 and harness.run_counts["r"] == 1
            assert event != "drains" or not peer.requests()

    run_script(script, workers=1, **LENIENT_SETTINGS)


def test_connection_to_a_retired_address_is_not_reused() -> None:
    async def script(harness: ServiceHarness) -> None:
        worker, entry = ManualWorker(), harness.entries[0]
        deliver_list(harness, endpoint_entry("h", worker.port))
        client = connect_to(harness.port)
        client.socket.send(harness.request("r"))
        await wait_until(lambda: worker.copies("r"))
        deliver_list(harness, {**endpoint_entry("h", worker.port), "state": "Gone"}, entry)
        worker.peers[0].socket.send(success_response("r"))
        assert await wait_until(client.status) == 200
        await wait_until(worker.peers[0].has_ended)
        assert not any(harness.service.pool.idle.values())

    run_script(script, workers=1, **LENIENT_SETTINGS)
