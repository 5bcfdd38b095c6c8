"""LeaseServers as operators start them, and `ploverspoke lease`; bad files and callers."""

import asyncio
import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from ploverspoke.consensus.framing import FrameCodec
from ploverspoke.leases.config import read_lease_server_config
from ploverspoke.leases.server import MessageError, checked
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.testbed.processes.lease_run import Leases, Plan
from ploverspoke.testbed.processes.rig import Rig
from ploverspoke.testbed.spans import SECOND, Span

RUNS_LONG = True  # scheduled first: see tests/conftest.py

Call = Callable[..., Awaitable[tuple[int, str]]]


def with_keepers(
    tmp_path: Path, script: Callable[[Leases, Call], Awaitable[None]], names: dict[str, int] | None = None
) -> None:
    """Three real keepers on a rig, ready; then the script, which gets a way to call `ploverspoke lease`."""
    plan = Plan(keepers=3, contenders=0, names=names or {"one": 1, "two": 1}, duration=Span(4 * SECOND))

    async def call(leases: Leases, verb: str, *words: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "ploverspoke", "lease", verb, str(leases.file), *words),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        out, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, out.decode()

    async def whole() -> None:
        async with Rig(tmp_path, 1) as rig:
            leases = Leases(rig, plan)
            await leases.start()
            while (await call(leases, "status"))[0]:
                await asyncio.sleep(0.1)
            await script(leases, lambda verb, *words: call(leases, verb, *words))

    asyncio.run(asyncio.wait_for(whole(), 90))


def test_operators_take_show_and_release_leases_and_run_commands_under_them(tmp_path: Path) -> None:
    async def script(leases: Leases, call: Call) -> None:
        code, out = await call("acquire", "one", "--for", "4", "--as", "me", "--json")
        held = json.loads(out)
        assert code == 0 and held["holder"].startswith("me/") and 3 < held["left_s"] <= 3.6
        assert (await call("show", "one"))[0] == 0
        code, out = await call("acquire", "one", "--for", "4", "--json")
        assert code == 1 and not json.loads(out)["token"]
        code, out = await call("list", "--json")
        told = json.loads(out)
        assert [row["name"] for row in told["leases"]] == ["one"] and told["declared"]["two"]["places"] == 1
        wrong = ["--holder", held["holder"], "--token", str(held["token"] + 1)]
        assert (await call("release", "one", *wrong))[0] == 1
        assert (await call("release", "one", "--holder", held["holder"], "--token", str(held["token"])))[
            0
        ] == 0
        assert (await call("show", "one"))[0] == 1
        code, out = await call("watch", "one", "--changes", "1", "--json")
        assert code == 0 and json.loads(out)["held"] == []

        words = ["--for", "2", "--grace", "0.4", "--", sys.executable, "-c"]
        shows = "import os, sys; print(os.environ['PLOVERSPOKE_LEASE_TOKEN']); sys.exit(7)"
        code, out = await call("run", "two", *words, shows)
        assert code == 7 and int(out) > held["token"]
        for name, words_of, says in (
            ("three", ["--for", "4"], "no lease is called 'three'"),
            ("one", ["--for", "0.1"], "is under 500"),
            ("one", ["--for", "60"], "is over 12000"),
        ):
            code, out = await call("acquire", name, *words_of)
            assert code == 1 and says in out
        assert (await call("run", "one", "--for", "4", "--grace", "2", "--", "true"))[0] == 2

        # Two of three keepers are paused: the command is told to end, and killed where it does not hear.
        stubborn = (
            "import signal, time; signal.signal(15, signal.SIG_IGN); print('up', flush=True); time.sleep(60)"
        )
        running = asyncio.create_task(call("run", "two", *words, stubborn))
        while (await call("show", "two"))[0]:
            await asyncio.sleep(0.05)
        began = time.monotonic()
        for name in ("k0", "k1"):
            leases.rig.running[name].pause()
        code, out = await running
        assert code == 4 and "cannot be renewed" in out and time.monotonic() - began < 10
        assert (await call("list"))[0] == 3
        for name in ("k0", "k1"):
            leases.rig.running[name].resume()
        while (await call("acquire", "one", "--for", "2"))[0]:
            await asyncio.sleep(0.1)

    with_keepers(tmp_path, script)


def test_keepers_that_are_restored_from_a_backup_give_higher_tokens_after_the_longest_lease(
    tmp_path: Path,
) -> None:
    async def script(leases: Leases, call: Call) -> None:
        backup = tmp_path / "backup.db"
        own = [tmp_path / f"k{n}.json" for n in range(3)]

        async def tool(verb: str, file: Path, *words: str) -> int:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ploverspoke",
                "lease",
                verb,
                str(file),
                *words,
                stdout=subprocess.DEVNULL,
            )
            return await process.wait()

        async def acquired() -> int:
            return int(
                json.loads((await call("acquire", "one", "--for", "1", "--wait", "20", "--json"))[1])["token"]
            )

        assert await tool("backup", own[0], str(backup)) == 0
        later = [await acquired() for _ in range(2)]
        assert later[0] < later[1]
        keepers = [leases.rig.running[f"k{n}"] for n in range(3)]
        for keeper, file in zip(keepers, own, strict=True):
            await keeper.end(signal.SIGTERM, 10)
            assert await tool("restore", file, str(backup)) == 2  # never written over
            keeper.empty_folder()
            assert await tool("restore", file, str(backup)) == 0
        await leases.rig.start()
        began = time.monotonic()
        assert await acquired() > later[1]
        # The longest declared is 12 s: what was given after the backup may go on for that long.
        assert time.monotonic() - began > 8

        # One alone whose folder was emptied does not come back as what it was.
        await keepers[0].kill()
        keepers[0].empty_folder()
        keepers[0].ready = None
        await keepers[0].start()
        assert keepers[0].process is not None and await keepers[0].process.wait() == 2
        assert "a new store begins with --new" in keepers[0].tail()
        keepers[0].process = None
        assert await acquired() > later[1]

    with_keepers(tmp_path, script)


def test_a_caller_with_another_secret_or_a_message_of_another_form_changes_nothing(tmp_path: Path) -> None:
    async def script(leases: Leases, call: Call) -> None:
        place = leases.keepers[0]
        for secret, said in (
            (b"another secret than theirs", None),
            (b"a secret of the testbed's own", {"n": "x"}),
        ):
            frames = FrameCodec(secret, {"id": "stranger/1", "store": ""})
            with socket.create_connection((place.own, place.ports["clients"]), 5) as connection:
                connection.sendall(frames.greeting_frame())
                if said is not None:
                    while frames.peer_greeting is None:
                        frames.decode(connection.recv(4096))
                    connection.sendall(frames.encode(said))
                while connection.recv(4096):  # until it is closed on us
                    pass
        assert leases.rig.running["k0"].lives() and (await call("status"))[0] == 0
        assert (
            "wrong MAC" in leases.rig.running["k0"].tail() and "no message" in leases.rig.running["k0"].tail()
        )

    with_keepers(tmp_path, script)


@pytest.mark.parametrize(
    "message",
    [
        None,
        [],
        {"n": 1},
        {"n": True, "want": [], "release": []},
        {"n": 1 << 63, "want": [], "release": []},
        {"n": 1, "want": [["a", 1, 2]], "release": []},
        {"n": 1, "want": [["a", 1, 2, -1]], "release": []},
        {"n": 1, "want": [], "release": [["a", 1, 2]]},
    ],
)
def test_a_message_of_another_form_is_refused(message: Any) -> None:
    with pytest.raises(MessageError):
        checked(message)


GOOD: dict[str, Any] = {
    "cluster": "c",
    "name": "k1",
    "folder": "k1",
    "secret_file": "secret",
    "replicas": {"k1": {"peers": "127.0.0.1:7101", "clients": "127.0.0.1:7201"}},
    "leases": {"sweep": {}, "restart-*": {"places": 3, "longest_ms": 20_000}},
}


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"leases": {}}, "leases"),
        ({"leases": {"a": {"places": 0}}}, "leases.a.places"),
        ({"leases": {"a": {"longest_ms": 10}}}, "leases.a.longest_ms"),
        ({"leases": {"a": {"longest_ms": 10**9}}}, "leases.a.longest_ms"),
        ({"leases": {"A b": {}}}, "leases.A b"),
        ({"name": "k2"}, "name"),
        ({"secret_file": "none"}, "secret_file"),
        ({"replicas": {"k1": {"peers": "x", "clients": "127.0.0.1:1"}}}, "replicas.k1.peers"),
    ],
)
def test_a_keepers_file_is_refused_by_its_key(tmp_path: Path, change: dict[str, Any], key: str) -> None:
    (tmp_path / "secret").write_text("a secret that is long enough")
    file = tmp_path / "k1.json"
    file.write_text(json.dumps(GOOD))
    rules = read_lease_server_config(file).rules
    assert rules.of("restart-a") == rules.of("restart-") != rules.of("sweep") and rules.of("other") is None
    file.write_text(json.dumps({**GOOD, **change}))
    with pytest.raises(ConfigError) as caught:
        read_lease_server_config(file)
    assert str(caught.value).startswith(key)
