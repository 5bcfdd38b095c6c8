"""Attempts at workers that fail, reject, disconnect or are absent; non-idempotent requests run once."""

import asyncio
import contextlib
import random
import socket

import pytest

from ploverspoke.decisions.interface import AttemptResult
from ploverspoke.routing import worker_calls
from tests.decisions.harness import SETTINGS
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.http_messages import Headers, read_message
from tests.routing.worker_behaviours import FAULTY_BEHAVIOURS, WorkerBehaviour, fail, reject_unstarted


@pytest.mark.parametrize("behaviour", FAULTY_BEHAVIOURS)
def test_non_idempotent_request_is_retried_only_if_it_never_ran(behaviour: WorkerBehaviour) -> None:
    async def script(harness: ServiceHarness) -> None:
        harness.behaviours = {"w0": behaviour, "w1": behaviour}
        status = (await harness.exchange(harness.request("a", "book")))[0]
        sends = harness.attempt_count("a")
        assert (
            (status == 503 and sends > 1) if behaviour is reject_unstarted else (status == 504 and sends == 1)
        )

    run_script(script)


def test_request_that_a_worker_rejects_is_final_and_ejects_no_worker() -> None:
    # An invalid request was retried at one worker after another, and each was ejected for its errors.
    async def script(harness: ServiceHarness) -> None:
        async def reject(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
        ) -> None:
            writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")

        harness.behaviours = {"w0": reject, "w1": reject}
        for number in range(6):
            status, headers, _ = await harness.exchange(harness.request(f"r{number}"))
            assert status == 400 and headers["connection"] == "close"
        assert len(harness.sent) == 6
        assert not any(worker.ejected for worker in harness.service.router.dispatcher.workers.values())

    run_script(script)


def test_request_to_an_absent_worker_is_retried() -> None:
    async def script(harness: ServiceHarness) -> None:
        harness.servers[0].close()
        statuses = [(await harness.exchange(harness.request(f"r{number}", "book")))[0] for number in range(6)]
        assert statuses == [200] * 6

    run_script(script)


def test_request_on_a_dropped_connection_is_retried_and_runs_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # Workers drop idle connections silently, or reset new ones; each time, a non-idempotent request was lost.
    # The worker of this test shares the event loop, so on a busy machine it may read some ms late.
    monkeypatch.setattr(worker_calls, "LAST_BYTE_DELAY_NS", 100_000_000)

    async def script(harness: ServiceHarness) -> None:
        async def drop_attempts(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readexactly(1) != b"P":
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{"queue":0,"x0":4}')
            dropped.append(writer)
            writer.transport.abort()

        dropped: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(drop_attempts, "127.0.0.1", 0)
        harness.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        await harness.change_list([{**harness.entries[0], "addr": f"127.0.0.1:{port}"}, harness.entries[1]])
        statuses = [
            (await harness.exchange(harness.request(f"r{number}", "book")))[0] for number in range(12)
        ]
        assert statuses == [200] * 12 and dropped and set(harness.run_counts.values()) == {1}
        assert not harness.service.router.dispatcher.workers["w0"].ejected, "its probes were answered"

    run_script(script)


def test_request_to_a_worker_that_accepts_no_connection_is_retried() -> None:
    # The worker's accept queue is full, so new connects neither complete nor fail.
    async def script(harness: ServiceHarness) -> None:
        with socket.socket() as full_listener, contextlib.ExitStack() as fillers:
            full_listener.bind(("127.0.0.1", 0))
            full_listener.listen(0)
            for _ in range(4):
                filler = fillers.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(full_listener.getsockname())
            unresponsive = {**harness.entries[0], "addr": f"127.0.0.1:{full_listener.getsockname()[1]}"}
            await harness.change_list([unresponsive, harness.entries[1]])
            answers = [harness.exchange(harness.request(f"r{n}", "book")) for n in range(4)]
            assert [status for status, _, _ in await asyncio.gather(*answers)] == [200] * 4
            assert (
                set(harness.run_counts.values()) == {1}
                and harness.service.router.dispatcher.workers["w0"].ejected
            )

    run_script(script, Limits={**SETTINGS["Limits"], "Probing": False})


def test_exception_in_a_decision_is_logged_and_its_request_answered(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def script(harness: ServiceHarness) -> None:
        def fault(request_id: int, attempt: int, result: AttemptResult) -> None:
            raise ZeroDivisionError("a fault in the decisions")

        harness.service.router.dispatcher.attempt_ended = fault  # type: ignore[method-assign]
        harness.behaviours = {"w0": fail, "w1": fail}
        assert (await harness.exchange(harness.request("r", "book")))[0] == 504
        assert (await harness.exchange(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200

    run_script(script)
    assert "a fault in the decisions" in capsys.readouterr().err


async def inject_faults(harness: ServiceHarness, random_numbers: random.Random) -> None:
    """Give one of four workers another behaviour every 100 ms, with a fault or without one."""
    while True:
        await asyncio.sleep(0.1)
        name = f"w{random_numbers.randrange(4)}"
        behaviours = [harness.serve, harness.serve, *FAULTY_BEHAVIOURS]
        harness.behaviours[name] = random_numbers.choice(behaviours)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_faults_break_no_rule(seed: int) -> None:
    random_numbers = random.Random(seed)

    async def client(harness: ServiceHarness, number: int) -> None:
        await asyncio.sleep(random_numbers.random() * 1.5)
        request_id, class_name = f"r{number}", random_numbers.choice(["look", "book"])
        reader, writer = await harness.connect()
        writer.write(harness.request(request_id, class_name))
        if random_numbers.random() < 0.1:
            await asyncio.sleep(random_numbers.random() / 10)
            writer.close()
            return
        started = asyncio.get_running_loop().time()
        first, _, body = await asyncio.wait_for(read_message(reader), 3)
        writer.close()
        status = int(first.split()[1])
        assert asyncio.get_running_loop().time() - started < 0.9 + 0.5, "in time, on a busy machine too"
        assert status in (200, 503, 504)
        runs, sends = harness.run_counts[request_id], harness.attempt_count(request_id)
        if status == 200:
            assert body == f"{request_id}:x".encode() and runs
        if class_name == "book":
            assert runs <= 1, "no effect twice"
            assert status != 503 or not runs, "a rejection promises that it never ran"
        await asyncio.sleep(0.3)
        assert sends == harness.attempt_count(request_id), "nothing after the answer"

    async def script(harness: ServiceHarness) -> None:
        injector = asyncio.create_task(inject_faults(harness, random_numbers))
        await asyncio.gather(*(client(harness, number) for number in range(80)))
        injector.cancel()
        await asyncio.sleep(1)

    run_script(script, workers=4)
