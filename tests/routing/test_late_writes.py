"""Repeats whose connection, commit or bytes are late, on real sockets: none is written after its window."""

import socket
from collections.abc import Callable
from typing import Any

import pytest

from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND
from tests.decisions.harness import SETTINGS
from tests.routing.admin_client import admin_call
from tests.routing.harness import ServiceHarness, endpoint_entry, run_script
from tests.routing.race_harness import (
    LENIENT_SETTINGS,
    Clock,
    Gate,
    ManualWorker,
    connect_to,
    deliver_list,
    run_loop_turns,
    success_response,
    wait_until,
)
from tests.store.request_log_harness import ControlledRequestLog, run_with_request_log

WINDOW = 2 * SECOND
KEYED_CLASS = {
    "Name": "turn",
    "Repeat": "guarded",
    "Group": "all",
    "RepeatWindowUs": WINDOW // 1000,
    "AbandonTimeUs": 30_000_000,
    "ExpectedTimeUs": 20_000_000,
}
LIMITS = {"Cancel": False, "ConnectTimeoutUs": 20_000_000, "MaxHandOffs": 6, "IdleCloseUs": 60_000_000}
KEYED_SETTINGS: dict[str, Any] = {
    "Limits": LIMITS,
    "ServiceGrades": [*SETTINGS["ServiceGrades"], KEYED_CLASS],
}
FAILED_RESPONSE = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"


SMALL_BUFFER = 4096  # bytes; the kernel doubles it


def limit_send_buffers(harness: ServiceHarness) -> None:
    """Let the kernel take only a part of a long request until its worker reads."""
    pool = harness.service.pool
    create_connection = pool.loop.create_connection

    class Loop:
        def __getattr__(self, name: str) -> Any:
            return getattr(harness.running.get_loop(), name)

        async def create_connection(self, make: Callable[[], Any], *arguments: Any) -> Any:
            small = socket.create_connection(arguments)
            small.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
            return await create_connection(make, sock=small)

    pool.loop = Loop()  # type: ignore[assignment]


@pytest.mark.parametrize("held_up", ["connection", "process"])
def test_repeat_is_not_written_after_its_window(held_up: str) -> None:
    # A labelled request ran twice: the connection for its repeat came up after workers had forgotten it.
    async def script(harness: ServiceHarness) -> None:
        first, second, clock = ManualWorker(), ManualWorker(), Clock(harness.service.deadlines)
        deliver_list(harness, endpoint_entry("a", first.port))
        client = connect_to(harness.port)
        client.socket.send(harness.request("r", "turn"))
        await wait_until(lambda: first.copies("r"))
        gate = Gate(harness.service.pool)
        deliver_list(harness, endpoint_entry("b", second.port))
        first.peers[-1].socket.send(FAILED_RESPONSE)
        await wait_until(lambda: gate.waiting)
        if held_up == "connection":
            clock.resume_after(WINDOW)
            status = await wait_until(client.status)
            gate.event.set()
        else:
            clock.offset += WINDOW  # the connection is up before any timer runs
            gate.event.set()
            await run_loop_turns()
            clock.resume_after(0)
            status = await wait_until(client.status)
        assert status == 503, "answered when its window ends, long before its deadline"
        await run_loop_turns()
        assert not any(peer.read() for peer in second.accept_pending())
        assert 'withheld_attempts{reason="send_window_ended"} 1' in await admin_call(harness)

    run_script(script, workers=1, **KEYED_SETTINGS)


@pytest.mark.parametrize("late_by", [WINDOW, 200 * MS], ids=["after its window", "with an old timeout"])
def test_repeat_whose_bytes_a_worker_does_not_read_is_not_finished(late_by: int) -> None:
    # A long repeat was taken by the kernel in part, and its end was written once the worker read on.
    async def script(harness: ServiceHarness) -> None:
        first, second, clock = ManualWorker(), ManualWorker(), Clock(harness.service.deadlines)
        second.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        deliver_list(harness, endpoint_entry("a", first.port))
        client, body = connect_to(harness.port), b"y" * 60_000
        client.socket.send(harness.request("r", "turn", body))
        await wait_until(lambda: first.accept_pending() and first.peers[-1].requests(body))
        limit_send_buffers(harness)
        deliver_list(harness, endpoint_entry("b", second.port))
        first.peers[-1].socket.send(FAILED_RESPONSE)
        pool = harness.service.pool
        await wait_until(lambda: any(each.has_unsent_data for each in pool.connections))
        clock.offset += late_by  # the process is suspended, and the worker reads on before any timer runs
        await wait_until(lambda: second.accept_pending() and second.peers[0].has_ended())
        assert not second.peers[0].requests(body)
        clock.resume_after(0)
        if late_by < WINDOW:
            await wait_until(lambda: any(peer.requests(body) for peer in second.accept_pending()))
            second.peers[-1].socket.send(success_response("r"))
        assert await wait_until(client.status) == (503 if late_by == WINDOW else 200)

    run_script(script, workers=1, **KEYED_SETTINGS)


def test_last_byte_that_a_suspended_process_holds_back_is_not_written_with_an_old_timeout() -> None:
    # The worker was given more time than its client had left when the last byte came.
    async def script(harness: ServiceHarness) -> None:
        worker, clock = ManualWorker(), Clock(harness.service.deadlines)
        clock.hold()
        deliver_list(harness, endpoint_entry("a", worker.port))
        client = connect_to(harness.port)
        client.socket.send(harness.request("r", "book"))
        await wait_until(lambda: worker.accept_pending() and worker.peers[0].read())
        clock.resume_after(500 * MS)
        await wait_until(lambda: worker.peers[0].has_ended())
        assert not worker.peers[0].requests()
        clock.release()
        await wait_until(lambda: worker.copies("r"))
        worker.peers[-1].socket.send(success_response("r"))
        assert await wait_until(client.status) == 200

    run_script(script, workers=1, **LENIENT_SETTINGS)


def test_repeat_whose_commit_is_late_is_not_sent_and_its_request_ends() -> None:
    async def scenario(harness: ServiceHarness, log: ControlledRequestLog) -> None:
        worker, clock = ManualWorker(), Clock(harness.service.deadlines)
        deliver_list(harness, endpoint_entry("a", worker.port))
        client = connect_to(harness.port)
        client.socket.send(harness.request("r", "turn"))
        (await log.wait_for("attempt"))(True)
        await wait_until(lambda: worker.copies("r"))
        worker.peers[-1].socket.send(FAILED_RESPONSE)
        commit = await log.wait_for("attempt")
        clock.resume_after(WINDOW)
        assert await wait_until(client.status) == 503
        commit(True)
        await run_loop_turns()
        assert worker.copies("r") == 1 and ("r", 1, "not_sent") in log.outcomes

    run_with_request_log(scenario, "attempt", **KEYED_SETTINGS)
