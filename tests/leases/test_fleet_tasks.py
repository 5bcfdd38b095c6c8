"""Tasks under leases, on real keepers and real processes: what stand-ins saw of them is judged."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ploverspoke.leases.fencing import FencingTokenGuard
from ploverspoke.leases.fleet_tasks import figures, put_whole, written_under
from ploverspoke.leases.guarded_task import GuardedStep, act
from ploverspoke.store.log_commands import CommitConfiguration, encode_command
from ploverspoke.store.state_machine import RequestStateMachine
from ploverspoke.testbed.processes.addresses import held_ports
from ploverspoke.testbed.processes.lease_run import Leases
from ploverspoke.testbed.processes.rig import listens
from tests.leases.test_commands import Call, with_keepers

RUNS_LONG = True  # scheduled first: see tests/conftest.py

COUNT, PLACES = 6, 2


class LeaseServer:
    """A stand-in dispatcher's operators' door. `restart` takes it out for a while, `break` for good."""

    def __init__(self) -> None:
        self.out: list[tuple[str, float]] = []  # "out" and "back", and when
        self.well = True
        self.port = 0

    async def open(self) -> None:
        server = await asyncio.start_server(self._came, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _came(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = (await reader.readline()).strip()
        if line in (b"restart", b"break"):
            self.well = False
            self.out.append(("out", time.monotonic()))
            if line == b"restart":
                asyncio.get_running_loop().call_later(0.4, self._back)
        if line == b"vars":
            writer.write(b"+OK\ndispatcher_open_requests 2\ndispatcher_cfg_accepted 1\n.\n")
        else:
            writer.write(b"+OK ready\n" if self.well else b"-ERR leaving\n")
        writer.close()

    def _back(self) -> None:
        self.well = True
        self.out.append(("back", time.monotonic()))


TELLS = """
import socket, sys
with socket.create_connection(("127.0.0.1", int(sys.argv[1]))) as door:
    door.sendall(sys.argv[2].encode() + b"\\n")
    door.recv(99)
"""


def test_no_more_are_out_than_there_are_places_and_one_that_fails_gives_its_place_back(
    tmp_path: Path,
) -> None:
    async def script(leases: Leases, call: Call) -> None:
        doors = [LeaseServer() for _ in range(COUNT)]
        for door in doors:
            await door.open()

        async def restart(door: LeaseServer, verb: str) -> int:
            words = ["--ready", f"127.0.0.1:{door.port}", "--for", "1.5", "--within", "2"]
            command = ["--", sys.executable, "-c", TELLS, str(door.port), verb]
            return (await call("restart", "both", *words, *command))[0]

        broken = await restart(doors[0], "break")
        codes = await asyncio.gather(*(restart(door, "restart") for door in doors[1:]))
        assert broken == 5 and codes == [0] * (COUNT - 1)
        # The broken one is out for good; its place came back by time, and only then.
        events = sorted((at, what) for door in doors[1:] for what, at in door.out)
        out = most = 0
        for _, what in events:
            out += 1 if what == "out" else -1
            most = max(most, out)
        assert most == PLACES and len(events) == 2 * (COUNT - 1)

    with_keepers(tmp_path, script, {"both": PLACES})


def test_the_summary_is_one_process_s_at_a_time_and_goes_on_when_that_is_killed(tmp_path: Path) -> None:
    async def script(leases: Leases, call: Call) -> None:
        doors = [LeaseServer() for _ in range(3)]
        for door in doors:
            await door.open()
        nobody = held_ports(1)[0]
        path = tmp_path / "summary.json"
        words = [
            "lease",
            "summary",
            str(leases.file),
            "one",
            "--to",
            str(path),
            "--every",
            "0.2",
            "--for",
            "1.5",
        ]
        for port in (*(door.port for door in doors), nobody):
            words += ["--from", f"127.0.0.1:{port}"]
        writers = [
            await asyncio.create_subprocess_exec(sys.executable, "-m", "ploverspoke", *words, "--as", f"w{n}")
            for n in range(3)
        ]
        try:
            tokens: list[int] = []
            killed: set[int] = set()
            until = time.monotonic() + 30
            while len(tokens) < 3:
                assert time.monotonic() < until
                await asyncio.sleep(0.05)
                if not path.exists():
                    continue
                told = json.loads(path.read_text())  # whole, whenever it is read
                assert told["asked"] == 4 and told["answered"] == 3
                assert told["sums"] == {"dispatcher_open_requests": 6, "dispatcher_cfg_accepted": 3}
                if not tokens or told["token"] != tokens[-1]:
                    tokens.append(told["token"])
                    if len(killed) == 2:
                        break
                    holder = json.loads((await call("show", "one", "--json"))[1])["held"][0]["holder"]
                    number = int(holder[1])
                    killed.add(number)
                    writers[number].kill()
            assert tokens == sorted(set(tokens)) and len(tokens) == 3
        finally:
            for writer in writers:
                if writer.returncode is None:
                    writer.kill()
                await writer.wait()

    with_keepers(tmp_path, script)


def test_configurations_of_many_publishers_never_interleave(tmp_path: Path) -> None:
    async def script(leases: Leases, call: Call) -> None:
        rig = leases.rig
        place = rig.place("store", [], direct=["peers", "clients"])
        example = Path(__file__).parents[2] / "deploy" / "example.json"
        told = {"cluster": "s", "name": "r1", "folder": "store", "secret_file": "secret"}
        replicas = {"r1": {"peers": place.at("peers"), "clients": place.at("clients")}}
        store = tmp_path / "store.json"
        store.write_bytes(msgspec.json.encode({**told, "replicas": replicas}))
        process = rig.add(place, "ploverspoke", ["serve", str(example), "--store", str(store)])
        process.ready = listens(place.own, place.ports["peers"])
        await rig.start(["store"], ["--new"])
        status = [sys.executable, "-m", "ploverspoke", "store", "status", str(store)]
        while await (await asyncio.create_subprocess_exec(*status, stdout=asyncio.subprocess.DEVNULL)).wait():
            await asyncio.sleep(0.1)
        files = []
        for n in range(4):
            files.append(tmp_path / f"c{n}.json")
            files[-1].write_text(json.dumps({**json.loads(example.read_text()), "note": n}))

        async def publish(n: int) -> dict[str, Any]:
            code, out = await call(
                "publish", "one", str(store), str(files[n]), "--for", "3", "--as", f"p{n}", "--json"
            )
            assert code == 0, out
            answer: dict[str, Any] = json.loads(out)
            return answer

        answers = await asyncio.gather(*(publish(n) for n in range(4)), *(publish(n) for n in range(4)))
        assert sorted(answer["version"] for answer in answers) == list(range(1, 9))
        words = [sys.executable, "-m", "ploverspoke", "store"]
        for verb, more, code in (("configure", [str(files[0])], 1), ("configurations", ["--json"], 0)):
            run = await asyncio.create_subprocess_exec(
                *words, verb, str(store), *more, stdout=asyncio.subprocess.PIPE
            )
            out, _ = await run.communicate()
            assert run.returncode == code, out
        assert [row["version"] for row in json.loads(out)] == list(range(1, 9))

    with_keepers(tmp_path, script)


def test_a_store_takes_no_configuration_under_an_older_token() -> None:
    ledger = RequestStateMachine()
    for body, token in (("a", 0), ("b", 7), ("late", 6), ("without", 0), ("c", 7), ("d", 9)):
        ledger.apply(1, encode_command(CommitConfiguration(body, "me", 1, token)))
    again = RequestStateMachine()
    again.restore_snapshot(ledger.take_snapshot())
    again.apply(1, encode_command(CommitConfiguration("late", "me", 1, 8)))
    assert [c.body for c in again.configurations] == ["a", "b", "c", "d"]


class Clocked:
    def __init__(self, *left: int) -> None:
        self.lefts = list(left)

    def left(self, name: str) -> int:
        return self.lefts.pop(0) if self.lefts else 0

    def token(self, name: str) -> int:
        return 5


@pytest.mark.parametrize(
    ("lefts", "takes", "done", "whole"),
    [
        ([10**9, 10**9], 10**8, 2, True),
        ([10**9, 10**7], 10**8, 1, False),  # what is left would not do for the second
        ([10**9, 10**9], 10**6, 0, False),  # a step that lasts longer than it said is called off
    ],
)
def test_no_step_begins_that_may_outlast_the_lease(
    lefts: list[int], takes: int, done: int, whole: bool
) -> None:
    did = []

    async def step(token: int) -> None:
        await asyncio.sleep(0.02)
        did.append(token)

    assert asyncio.run(act(Clocked(*lefts), "n", [GuardedStep(takes, step)] * 2)) is whole
    assert did == [5] * done


def test_old_tokens_are_refused_by_a_fence_and_by_the_summary(tmp_path: Path) -> None:
    fence = FencingTokenGuard(most=2)
    assert [fence.takes("a", t) for t in (1, 3, 2, 3, 0, 4)] == [True, True, False, True, False, True]
    assert fence.takes("b", 1) and fence.takes("c", 1) and len(fence.seen) == 2 and fence.refused == 2
    path = tmp_path / "s.json"
    assert put_whole(path, {"x": 1}, 5) and not put_whole(path, {"x": 2}, 4) and put_whole(path, {"x": 3}, 6)
    assert written_under(path) == 6 and os.listdir(tmp_path) and json.loads(path.read_text())["x"] == 3
    path.write_text("{")
    assert written_under(path) == 0
    assert figures(["a 1", 'b{x="y z"} 22', "c -1", "d"]) == {"a": 1, 'b{x="y z"}': 22}
