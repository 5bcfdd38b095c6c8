"""The admin server and the counters: commands split at any byte, and counts that add up."""

import asyncio
import random

import pytest

from ploverspoke.protocol.admin import AdminCommandReader, escape_label
from ploverspoke.protocol.errors import AdminCommandError
from ploverspoke.routing.admin_server import MAX_SESSIONS
from tests.routing.admin_client import admin_call, admin_counters, operations_key
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.http_messages import read_message
from tests.routing.race_harness import wait_until
from tests.routing.worker_behaviours import FAULTY_BEHAVIOURS


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
def test_admin_command_reads_the_same_wherever_it_is_cut(
    data: bytes, command: str | type[AdminCommandError] | None
) -> None:
    for cut in range(len(data)):
        reader, parsed = AdminCommandReader(), None
        try:
            for part in (data[:cut], data[cut:]):
                parsed = parsed if parsed is not None else reader.feed(memoryview(part))
            result: str | type[AdminCommandError] | None = parsed
        except AdminCommandError:
            result = AdminCommandError
        assert result == command or (
            b"\n" in data[:cut] and cut < len(data)
        )  # bytes after a complete command are not read


def test_label_cannot_end_its_line() -> None:
    assert escape_label('a"b\\c\nd\u010d') == 'a\\"b\\\\c\\nd\\u010d'


def test_counters_add_up_with_faulty_workers() -> None:
    def adds_up(harness: ServiceHarness) -> None:
        router = harness.service.router
        assert router.counters.total_ended() + router.requests.open_count() == router.counters.admitted

    async def script(harness: ServiceHarness) -> None:
        rng = random.Random(4)
        served = 0
        for number in range(40):
            harness.behaviours = {
                "w0": rng.choice([*FAULTY_BEHAVIOURS[:4], harness.serve]),
                "w1": harness.serve,
            }
            status, _, _ = await harness.exchange(harness.request(f"f{number}", rng.choice(["look", "book"])))
            served += status == 200
            adds_up(harness)
        _reader, writer = await harness.connect()
        writer.write(harness.request("gone"))  # the client disconnects, so no end is reported to it
        await writer.drain()
        writer.close()
        assert (await harness.exchange(harness.request("none", "unheard-of")))[0] == 404
        await asyncio.sleep(0.05)
        adds_up(harness)
        counters = await admin_counters(harness)
        assert sum(counters[operations_key(name, "fulfilled")] for name in ("look", "book")) in (
            served,
            served + 1,
        )
        assert sum(counters[operations_key(name, "relayed")] for name in ("look", "book")) == len(
            harness.sent
        )
        assert counters["dispatcher_registry_entries"] == 2 and counters["dispatcher_open_requests"] == 0
        assert counters["dispatcher_cfg_accepted"] == counters["dispatcher_cfg_invalid"] == 0
        await harness.change_list([{**harness.entries[0], "state": "Terminating"}])
        counters = await admin_counters(harness)
        assert counters["dispatcher_registry_entries"] == counters["dispatcher_out_of_rotation"] == 1

    run_script(script)


def test_silent_admin_connections_block_no_other() -> None:
    async def script(harness: ServiceHarness) -> None:
        idle_writers = []
        for number in range(3 * MAX_SESSIONS):
            _reader, writer = await asyncio.open_connection("127.0.0.1", harness.admin_port)
            writer.write(b"chec" if number % 2 else b"")
            idle_writers.append(writer)
        for _ in range(150):  # and more client connections than the limit
            idle_writers.append((await harness.connect())[1])
        for _ in range(5):
            assert (await admin_call(harness, b"check\n")).startswith("+OK")
        assert (await admin_call(harness, b"chek\r\n")).startswith("-ERR")
        assert len(harness.service.admin_server.sessions) <= MAX_SESSIONS
        for writer in idle_writers:
            writer.close()
        harness.service.shut_down()
        assert (await admin_call(harness, b"check\n")).startswith("-ERR leaving")

    run_script(script)


def test_requests_without_memory_for_them_count_as_throttled() -> None:
    async def script(harness: ServiceHarness) -> None:
        reader, writer = await harness.connect()
        await wait_until(lambda: harness.service.client_server.sessions)
        memory = harness.service.memory
        memory.set_limit((memory.total + 9500) * 8 // 7)  # enough for the head, not for the body
        writer.write(harness.request("big", body=b"x" * 5000))
        first, _, _ = await read_message(reader)
        assert first.startswith("HTTP/1.1 503")
        assert (await admin_counters(harness))[operations_key("look", "throttled")] == 1

    run_script(script)
