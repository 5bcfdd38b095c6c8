"""The admin server and the counters: commands read in any pieces, and counts that add up."""

import asyncio
import random
from typing import Any

import pytest

from ploverspoke.protocol.admin import AdminCommandReader, escape_label
from ploverspoke.protocol.errors import AdminCommandError
from ploverspoke.routing.admin_server import MAX_SESSIONS
from tests.routing.harness import (
    FAULTY_BEHAVIOURS,
    World,
    admin_call,
    admin_counters,
    message,
    operations_key,
    play,
)


@pytest.mark.parametrize(
    ("data", "command"),
    [
        (b"check\n", "check"),
        (b"vars\r\n", "vars"),
        (b"\n", ""),
        (b"chec", None),
        (b"x" * 65, AdminCommandError),
        (b"check\nvars\n", AdminCommandError),
        ("čeka\n".encode(), AdminCommandError),
        (b"a\x00b\n", AdminCommandError),
        (b"a\rb\n", AdminCommandError),
    ],
)
def test_admin_command_reads_the_same_wherever_it_is_cut(data: bytes, command: Any) -> None:
    for cut in range(len(data)):
        reader, found = AdminCommandReader(), None
        try:
            for part in (data[:cut], data[cut:]):
                found = found if found is not None else reader.feed(memoryview(part))
            got: Any = found
        except AdminCommandError:
            got = AdminCommandError
        assert got == command or (
            b"\n" in data[:cut] and cut < len(data)
        )  # what follows a whole call is not read


def test_label_cannot_end_its_line() -> None:
    assert escape_label('a"b\\c\nd\u010d') == 'a\\"b\\\\c\\nd\\u010d'


def test_counters_add_up_whatever_the_workers_do() -> None:
    def adds_up(world: World) -> None:
        router = world.service.router
        assert router.counters.total_ended() + router.requests.open_count() == router.counters.admitted

    async def script(world: World) -> None:
        rng = random.Random(4)
        served = 0
        for number in range(40):
            world.behave = {"w0": rng.choice([*FAULTY_BEHAVIOURS[:4], world.serve]), "w1": world.serve}
            status, _, _ = await world.ask(world.request(f"f{number}", rng.choice(["look", "book"])))
            served += status == 200
            adds_up(world)
        _reader, writer = await world.connect()
        writer.write(world.request("gone"))  # its client leaves: an end that is not shown
        await writer.drain()
        writer.close()
        assert (await world.ask(world.request("none", "unheard-of")))[0] == 404
        await asyncio.sleep(0.05)
        adds_up(world)
        shown = await admin_counters(world)
        assert sum(shown[operations_key(g, "fulfilled")] for g in ("look", "book")) in (served, served + 1)
        assert sum(shown[operations_key(g, "relayed")] for g in ("look", "book")) == len(world.sent)
        assert shown["dispatcher_registry_entries"] == 2 and shown["dispatcher_open_requests"] == 0
        assert shown["dispatcher_cfg_accepted"] == shown["dispatcher_cfg_invalid"] == 0
        await world.change_list([{**world.entries[0], "state": "Terminating"}])
        shown = await admin_counters(world)
        assert shown["dispatcher_registry_entries"] == shown["dispatcher_out_of_rotation"] == 1

    play(script)


def test_silent_operators_keep_nobody_waiting() -> None:
    async def script(world: World) -> None:
        quiet = []
        for number in range(3 * MAX_SESSIONS):
            _reader, writer = await asyncio.open_connection("127.0.0.1", world.admin_port)
            writer.write(b"chec" if number % 2 else b"")
            quiet.append(writer)
        for _ in range(150):  # and more clients than there is room for
            quiet.append((await world.connect())[1])
        for _ in range(5):
            assert (await admin_call(world, b"check\n")).startswith("+OK")
        assert (await admin_call(world, b"chek\r\n")).startswith("-ERR")
        assert len(world.service.admin_server.sessions) <= MAX_SESSIONS
        for writer in quiet:
            writer.close()
        world.service.shut_down()
        assert (await admin_call(world, b"check\n")).startswith("-ERR leaving")

    play(script)


def test_requests_without_memory_for_them_count_as_throttled() -> None:
    async def script(world: World) -> None:
        world.service.client_server.max_buffered_bytes = 1000
        reader, writer = await world.connect()
        writer.write(world.request("big", body=b"x" * 5000))
        first, _, _ = await message(reader)
        assert first.startswith("HTTP/1.1 503")
        assert (await admin_counters(world))[operations_key("look", "throttled")] == 1

    play(script)
