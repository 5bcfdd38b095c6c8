"""Attempts at workers that fail, reject, break off or are not there; what must not run twice does not."""

import asyncio
import contextlib
import random
import socket
from typing import Any

import pytest

from ploverspoke.decisions.interface import AttemptResult
from ploverspoke.routing import worker_calls
from tests.decisions.harness import SETTINGS
from tests.routing.harness import (
    FAULTY_BEHAVIOURS,
    WorkerBehaviour,
    World,
    fail,
    message,
    play,
    turn_away,
)


@pytest.mark.parametrize("way", FAULTY_BEHAVIOURS)
def test_non_idempotent_request_is_retried_only_if_it_never_ran(way: WorkerBehaviour) -> None:
    async def script(world: World) -> None:
        world.behave = {"w0": way, "w1": way}
        status = (await world.ask(world.request("a", "book")))[0]
        sends = len([s for s in world.sent if s[1] == "a"])
        assert (status == 503 and sends > 1) if way is turn_away else (status == 504 and sends == 1)

    play(script)


def test_request_that_a_worker_rejects_is_final_and_ejects_no_worker() -> None:
    # Sent to one worker after the other, such a request made each of them be ejected for its errors.
    async def script(world: World) -> None:
        async def reject(reader: Any, writer: Any, headers: dict[str, str], body: bytes) -> None:
            writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")

        world.behave = {"w0": reject, "w1": reject}
        for number in range(6):
            status, headers, _ = await world.ask(world.request(f"r{number}"))
            assert status == 400 and headers["connection"] == "close"
        assert len(world.sent) == 6
        assert not any(w.ejected for w in world.service.router.dispatcher.workers.values())

    play(script)


def test_request_to_an_absent_worker_is_retried() -> None:
    async def script(world: World) -> None:
        world.servers[0].close()
        statuses = [(await world.ask(world.request(f"r{n}", "book")))[0] for n in range(6)]
        assert statuses == [200] * 6

    play(script)


def test_request_on_a_dropped_connection_is_retried_and_runs_once(monkeypatch: pytest.MonkeyPatch) -> None:
    # Workers drop idle connections silently, or reset new ones: non-idempotent requests were lost with each.
    # The stand-in shares our loop: on a busy machine it may read what we wrote some ms later.
    monkeypatch.setattr(worker_calls, "LAST_BYTE_DELAY", 100_000_000)

    async def script(world: World) -> None:
        async def drop_attempts(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readexactly(1) != b"P":
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{"queue":0,"x0":4}')
            dropped.append(writer)
            writer.transport.abort()

        dropped: list[asyncio.StreamWriter] = []
        server = await asyncio.start_server(drop_attempts, "127.0.0.1", 0)
        world.servers.append(server)
        port = server.sockets[0].getsockname()[1]
        await world.change_list([{**world.entries[0], "addr": f"127.0.0.1:{port}"}, world.entries[1]])
        statuses = [(await world.ask(world.request(f"r{n}", "book")))[0] for n in range(12)]
        assert statuses == [200] * 12 and dropped and set(world.ran.values()) == {1}
        assert not world.service.router.dispatcher.workers["w0"].ejected, "its probes were answered"

    play(script)


def test_request_to_a_worker_that_accepts_no_connection_is_retried() -> None:
    # A full table of connections: new ones never come up, and say nothing.
    async def script(world: World) -> None:
        with socket.socket() as deaf, contextlib.ExitStack() as held:
            deaf.bind(("127.0.0.1", 0))
            deaf.listen(0)
            for _ in range(4):
                filler = held.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(deaf.getsockname())
            mute = {**world.entries[0], "addr": f"127.0.0.1:{deaf.getsockname()[1]}"}
            await world.change_list([mute, world.entries[1]])
            answers = [world.ask(world.request(f"r{n}", "book")) for n in range(4)]
            assert [status for status, _, _ in await asyncio.gather(*answers)] == [200] * 4
            assert set(world.ran.values()) == {1} and world.service.router.dispatcher.workers["w0"].ejected

    play(script, Limits={**SETTINGS["Limits"], "Probing": False})


def test_exception_in_a_decision_is_logged_and_its_request_answered(capsys: Any) -> None:
    async def script(world: World) -> None:
        def fault(request_id: int, attempt: int, result: AttemptResult) -> None:
            raise ZeroDivisionError("a fault in the decisions")

        world.service.router.dispatcher.attempt_ended = fault  # type: ignore[method-assign]
        world.behave = {"w0": fail, "w1": fail}
        assert (await world.ask(world.request("r", "book")))[0] == 504
        assert (await world.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200

    play(script)
    assert "a fault in the decisions" in capsys.readouterr().err


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_faults_break_no_rule(seed: int) -> None:
    chance = random.Random(seed)

    async def client(world: World, number: int) -> None:
        await asyncio.sleep(chance.random() * 1.5)
        request_id, class_name = f"r{number}", chance.choice(["look", "book"])
        reader, writer = await world.connect()
        writer.write(world.request(request_id, class_name))
        if chance.random() < 0.1:
            await asyncio.sleep(chance.random() / 10)
            writer.close()
            return
        started = asyncio.get_running_loop().time()
        first, _, body = await asyncio.wait_for(message(reader), 3)
        writer.close()
        status = int(first.split()[1])
        assert asyncio.get_running_loop().time() - started < 0.9 + 0.5, "in time, on a busy machine too"
        assert status in (200, 503, 504)
        runs, sends = world.ran[request_id], len([s for s in world.sent if s[1] == request_id])
        if status == 200:
            assert body == f"{request_id}:x".encode() and runs
        if class_name == "book":
            assert runs <= 1, "no effect twice"
            assert status != 503 or not runs, "a rejection promises that it never ran"
        await asyncio.sleep(0.3)
        assert sends == len([s for s in world.sent if s[1] == request_id]), "nothing after the answer"

    async def script(world: World) -> None:
        async def inject_faults() -> None:
            while True:
                await asyncio.sleep(0.1)
                name = f"w{chance.randrange(4)}"
                world.behave[name] = chance.choice([world.serve, world.serve, *FAULTY_BEHAVIOURS])

        injector = asyncio.create_task(inject_faults())
        await asyncio.gather(*(client(world, number) for number in range(80)))
        injector.cancel()
        await asyncio.sleep(1)

    play(script, workers=4)
