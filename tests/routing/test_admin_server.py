"""The operators' door and the figures: calls read in any pieces, and counts that add up."""

import asyncio
import random
from typing import Any

import pytest

from ploverspoke.protocol.admin import AdminCommandReader, escape_label
from ploverspoke.protocol.errors import AdminCommandError
from ploverspoke.routing.admin_server import MAX_SESSIONS
from tests.routing.test_service import WAYS, World, message, play


@pytest.mark.parametrize(
    ("said", "call"),
    [
        (b"check\n", "check"),
        (b"vars\r\n", "vars"),
        (b"\n", ""),
        (b"chec", None),
        (b"x" * 65, AdminCommandError),
    ]
    + [
        (b"check\nvars\n", AdminCommandError),
        ("čeka\n".encode(), AdminCommandError),
        (b"a\x00b\n", AdminCommandError),
        (b"a\rb\n", AdminCommandError),
    ],
)
def test_a_call_reads_the_same_cut_anywhere(said: bytes, call: Any) -> None:
    for cut in range(len(said)):
        reader, found = AdminCommandReader(), None
        try:
            for part in (said[:cut], said[cut:]):
                found = found if found is not None else reader.feed(memoryview(part))
            got: Any = found
        except AdminCommandError:
            got = AdminCommandError
        assert got == call or (
            b"\n" in said[:cut] and cut < len(said)
        )  # what follows a whole call is not read


def test_labels_cannot_end_their_line() -> None:
    assert escape_label('a"b\\c\nd\u010d') == 'a\\"b\\\\c\\nd\\u010d'


async def call(world: World, said: bytes = b"vars\n") -> str:
    reader, writer = await asyncio.open_connection("127.0.0.1", world.admin_port)
    writer.write(said)
    answer = await asyncio.wait_for(reader.read(), 1)
    writer.close()
    return answer.decode()


async def figures(world: World) -> dict[str, int]:
    first, *lines, dot, end = (await call(world)).split("\n")
    assert first == "+OK" and dot == "." and end == ""
    return {name: int(value) for name, _, value in (line.rpartition(" ") for line in lines)}


def operations(grade: str, status: str) -> str:
    return f'dispatcher_operations{{priority="{grade}",status="{status}"}}'


def test_figures_add_up_whatever_the_workers_do() -> None:
    def adds_up(world: World) -> None:
        router = world.service.router
        assert router.counters.total_ended() + router.requests.open_count() == router.counters.admitted

    async def script(world: World) -> None:
        rng = random.Random(4)
        served = 0
        for number in range(40):
            world.behave = {"w0": rng.choice([*WAYS[:4], world.serve]), "w1": world.serve}
            status, _, _ = await world.ask(world.request(f"f{number}", rng.choice(["look", "book"])))
            served += status == 200
            adds_up(world)
        reader, writer = await world.connect()
        writer.write(world.request("gone"))  # its client leaves: an end that is not shown
        await writer.drain()
        writer.close()
        assert (await world.ask(world.request("none", "unheard-of")))[0] == 404
        await asyncio.sleep(0.05)
        adds_up(world)
        shown = await figures(world)
        assert sum(shown[operations(g, "fulfilled")] for g in ("look", "book")) in (served, served + 1)
        assert sum(shown[operations(g, "relayed")] for g in ("look", "book")) == len(world.sent)
        assert shown["dispatcher_registry_entries"] == 2 and shown["dispatcher_open_requests"] == 0
        assert shown["dispatcher_cfg_accepted"] == shown["dispatcher_cfg_invalid"] == 0
        await world.tell([{**world.entries[0], "state": "Terminating"}])
        shown = await figures(world)
        assert shown["dispatcher_registry_entries"] == shown["dispatcher_out_of_rotation"] == 1

    play(script)


def test_silent_and_half_callers_keep_nobody_waiting() -> None:
    async def script(world: World) -> None:
        quiet = []
        for number in range(3 * MAX_SESSIONS):
            reader, writer = await asyncio.open_connection("127.0.0.1", world.admin_port)
            writer.write(b"chec" if number % 2 else b"")
            quiet.append(writer)
        for _ in range(150):  # and more clients than there is room for
            quiet.append((await world.connect())[1])
        for _ in range(5):
            assert (await call(world, b"check\n")).startswith("+OK")
        assert (await call(world, b"chek\r\n")).startswith("-ERR")
        assert len(world.service.operators.sessions) <= MAX_SESSIONS
        for writer in quiet:
            writer.close()
        world.service._leave()
        assert (await call(world, b"check\n")).startswith("-ERR leaving")

    play(script)


def test_bodies_turned_away_at_the_door_count_as_refused() -> None:
    async def script(world: World) -> None:
        world.service.door.max_buffered_bytes = 1000
        reader, writer = await world.connect()
        writer.write(world.request("big", body=b"x" * 5000))
        first, _, _ = await message(reader)
        assert first.startswith("HTTP/1.1 503")
        assert (await figures(world))[operations("look", "throttled")] == 1

    play(script)
