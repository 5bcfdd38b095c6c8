"""Config servers and a dispatcher as operators start them, `ploverspoke config`; bad files and callers."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from ploverspoke.cli import main as command_line
from ploverspoke.config_distribution.client import read_cache, write_cache
from ploverspoke.config_distribution.cluster_config import (
    read_config_server_config,
    read_config_servers,
    read_watch_config,
)
from ploverspoke.config_distribution.dynamic_config import VersionApplier, initial_config, merge_config
from ploverspoke.config_distribution.messages import WatchStatus, greeting
from ploverspoke.config_distribution.state_machine import digest_of
from ploverspoke.config_distribution.watcher import NOTHING, AppliedVersion
from ploverspoke.consensus.framing import FrameCodec
from ploverspoke.consensus.replica_client import send_admin_request
from ploverspoke.service.config import Config
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.testbed.processes.addresses import held_ports

SECRET = b"0123456789abcdef0123"
SERVERS = ("c1", "c2", "c3")
EXAMPLE = json.loads((Path(__file__).parents[2] / "deploy" / "example.json").read_text())
GRADE = EXAMPLE["settings"]["ServiceGrades"][0]


def own_file(folder: Path, ports: list[int]) -> Path:
    told = {
        **EXAMPLE,
        "listen": f"127.0.0.1:{ports[0]}",
        "admin_addr": f"127.0.0.1:{ports[1]}",
        "settings": {**EXAMPLE["settings"], "ServiceGrades": [GRADE]},
    }
    path = folder / "n0.json"
    path.write_text(json.dumps(told))
    return path


def with_grades(*names: str) -> str:
    return json.dumps({"settings": {"ServiceGrades": [GRADE, *({**GRADE, "Name": name} for name in names)]}})


class Stranger:
    """A watcher's connection, frame by frame."""

    def __init__(self, where: str, name: str) -> None:
        host, port = where.split(":")
        self.frames = FrameCodec(SECRET, greeting(name, "fleet"))
        self.unread: list[Any] = []
        self.socket = socket.create_connection((host, int(port)), 10)
        self.socket.sendall(self.frames.greeting_frame())
        assert self.hears()["k"] == "beat"
        self.socket.sendall(self.frames.encode(WatchStatus(0, b"", 0, "", False).message()))

    def hears(self) -> Any:
        """The next message, heartbeats among them; None where the connection is over."""
        while not self.unread:
            try:
                data = self.socket.recv(65536)
            except ConnectionResetError:
                return None
            if not data:
                return None
            self.unread += self.frames.decode(data)
        return self.unread.pop(0)


class Fleet:
    """Three config servers and a dispatcher that watches them, as processes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        ports = held_ports(8)
        (folder / "secret").write_bytes(SECRET)
        self.peers = {name: f"127.0.0.1:{ports[at]}" for at, name in enumerate(SERVERS)}
        self.clients = {name: f"127.0.0.1:{ports[3 + at]}" for at, name in enumerate(SERVERS)}
        replicas = {name: {"peers": self.peers[name], "clients": self.clients[name]} for name in SERVERS}
        common = {"cluster": "fleet", "secret_file": "secret", "replicas": replicas, "most_watchers": 2}
        for name in SERVERS:
            self.write(f"{name}.json", {**common, "name": name, "folder": name})
        self.file = self.write("tools.json", {"replicas": replicas, "secret_file": "secret"})
        servers = list(self.clients.values())
        told = {"cluster": "fleet", "servers": servers, "near": servers[:1], "secret_file": "secret"}
        self.watch = self.write("watch.json", {**told, "cache": "n0.cache"})
        self.serves, self.admin = ports[6:]
        self.own = own_file(folder, ports[6:])
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def write(self, name: str, told: Any) -> Path:
        path = self.folder / name
        path.write_text(json.dumps(told))
        return path

    def start(self, name: str, *words: str) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            command = [sys.executable, "-m", "ploverspoke", *words]
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def start_dispatcher(self) -> None:
        self.start("n0", "serve", str(self.own), "--watch", str(self.watch))

    async def said(self, name: str, line: str, times: int = 1) -> None:
        """Its log has that line so often."""
        while (self.folder / f"{name}.log").read_text().count(line) < times:
            assert self.processes[name].poll() is None, f"{name} ended before it said {line!r}"
            await asyncio.sleep(0.02)

    async def config(self, verb: str, *words: str) -> tuple[int, str]:
        """As the command line does; in this process, which is imported already."""
        call = ["config", verb, str(self.file), *words]
        told = await asyncio.to_thread(CliRunner().invoke, command_line, call)
        return told.exit_code, told.output

    async def is_watched(self) -> None:
        """The servers know of the dispatcher: `--wait` is for those that are connected."""
        while "in force at 1 of 1 connected" not in (await self.config("status"))[1]:
            await asyncio.sleep(0.05)

    async def publish(self, body: str, *words: str) -> tuple[int, str]:
        path = self.folder / "body.json"
        path.write_text(body)
        return await self.config("publish", str(path), *words)

    async def knows(self, grade: str) -> bool:
        """Whether the dispatcher has that grade, as clients see it."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.serves)
        writer.write(f"POST /{grade} HTTP/1.1\r\nHost: n0\r\nContent-Length: 0\r\n\r\n".encode())
        status = (await reader.readline()).split()[1]
        writer.close()
        return status != b"404"

    async def door(self) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        writer.write(b"config\n")
        answer = (await reader.read()).decode()
        writer.close()
        return answer

    async def end(self, name: str) -> int:
        process = self.processes.pop(name)
        process.terminate()
        return await asyncio.to_thread(process.wait)


def with_fleet(folder: Path, script: Callable[[Fleet], Awaitable[None]]) -> None:
    fleet = Fleet(folder)

    async def whole() -> None:
        try:
            for name in SERVERS:
                fleet.start(name, "config", "serve", str(folder / f"{name}.json"), "--new")
            for name in SERVERS:
                await fleet.said(name, f"config: {name} serves at {fleet.clients[name]}")
            await script(fleet)
        finally:
            for process in fleet.processes.values():
                process.kill()
                process.wait()

    asyncio.run(asyncio.wait_for(whole(), 90))


def test_operators_publish_look_and_roll_back_and_the_fleet_follows(tmp_path: Path) -> None:
    async def script(fleet: Fleet) -> None:
        fleet.start_dispatcher()
        await fleet.said("n0", "config: no version in force, the file alone")
        await fleet.said("n0", "n0 serves at")
        assert not await fleet.knows("g01")
        await fleet.is_watched()
        code, out = await fleet.publish(with_grades("g01"), "--wait", "20", "--against", str(fleet.own))
        assert (code, out.splitlines()[0]) == (0, "version 1"), out
        assert await fleet.knows("g01")
        assert (await fleet.door()).startswith("+OK version 1 in force\ndispatcher_config_version 1\n")

        # The file is read again, and the version stays laid on it.
        told = json.loads(fleet.own.read_text())
        fleet.own.write_text(json.dumps({**told, "discovery": "127.0.0.1:2"}))
        fleet.processes["n0"].send_signal(signal.SIGHUP)
        await fleet.said("n0", "new configuration: discovery is at 127.0.0.1:2 now")
        assert await fleet.knows("g01")

        # Somebody else's version is never written over unseen, and the same one is none.
        code, out = await fleet.publish(with_grades("g02"), "--expect", "0")
        assert (code, out) == (1, "not done: version 1 is in force, and 0 was expected\n")
        code, out = await fleet.publish(with_grades("g01"), "--json")
        assert (code, json.loads(out)["version"]) == (0, 1)

        # What is a dispatcher's own, or of no use, is refused before anything is asked.
        code, out = await fleet.publish('{"settings": {"SlotNo": 3}}')
        assert code == 2 and "settings.SlotNo: a dispatcher's own" in out
        wrong = '{"settings": {"RoundUs": -4}}'
        code, out = await fleet.publish(wrong, "--against", str(fleet.own))
        assert code == 2 and "settings.RoundUs is -4" in out

        own_key = '{"settings": {"Limits": {"Cancel": null}}}'
        code, out = await fleet.publish(own_key, "--against", str(fleet.own))
        assert code == 2 and "settings.Limits.Cancel is missing" in out

        # Without the check it is refused at each dispatcher, and the old one goes on.
        code, out = await fleet.publish(wrong, "--wait", "20")
        assert code == 1 and "refused at n0: settings.RoundUs is -4" in out
        await fleet.said("n0", "config: version 2 refused: settings.RoundUs is -4")
        assert await fleet.knows("g01")
        assert (await fleet.door()).startswith("-ERR version 2 refused: settings.RoundUs is -4")
        code, out = await fleet.config("status", "--json")
        told = json.loads(out)
        assert code == 1 and list(told["fleet"]["refused"]) == ["n0"] and len(told["servers"]) == 3

        code, out = await fleet.config("rollback", "1", "--wait", "20")
        assert (code, out.splitlines()[0]) == (0, "version 3"), out
        assert (await fleet.config("status"))[0] == 0
        # VersionRejectedError by first_missing_key, as from a file; and a key that only a version has
        # brought goes with it.
        code, out = await fleet.publish(own_key, "--wait", "20")
        assert code == 1 and "refused at n0: settings.Limits.Cancel is missing" in out
        assert (await fleet.publish('{"settings": {"RoundUs": 4000, "PeersTotal": 7}}', "--wait", "20"))[
            0
        ] == 0
        assert not await fleet.knows("g01")
        assert (await fleet.config("rollback", "1", "--wait", "20"))[0] == 0
        assert await fleet.knows("g01")
        code, out = await fleet.config("history", "--json")
        rows = json.loads(out)
        assert [row["version"] for row in rows] == [1, 2, 3, 4, 5, 6] and rows[0]["digest"] == rows[2][
            "digest"
        ]
        assert (await fleet.config("show", "1")) == (0, with_grades("g01") + "\n")
        assert (await fleet.config("show", "9"))[0] == 1
        assert "RoundUs" in (await fleet.config("diff"))[1]

        # A restart with all servers gone goes on with the last version that was taken, from the cache.
        assert await fleet.end("n0") == 0
        for name in SERVERS:
            fleet.processes[name].kill()
        assert (await fleet.publish(with_grades("g04")))[0] == 3 and (await fleet.config("status"))[0] == 3
        fleet.start_dispatcher()
        await fleet.said("n0", "config: version 6 in force", times=2)
        await fleet.said("n0", "n0 serves at", times=2)
        assert await fleet.knows("g01")
        assert await fleet.end("n0") == 0

    with_fleet(tmp_path, script)


def test_a_publish_that_is_asked_again_is_committed_once_and_strangers_change_nothing(tmp_path: Path) -> None:
    async def script(fleet: Fleet) -> None:
        assert (await fleet.publish(with_grades("g01")))[0] == 0

        def asked(question: dict[str, Any]) -> list[Any]:
            return [send_admin_request(where, SECRET, question) for where in fleet.peers.values()]

        async def led(question: dict[str, Any]) -> Any:
            """What the leader answers, as soon as there is one."""
            while True:
                for told in asked(question):
                    if "leader" not in told and "unknown" not in told:
                        return told
                    assert told.get("leader", "") in {*fleet.peers.values(), ""} and not told["done"]
                await asyncio.sleep(0.05)

        question = {"ask": "publish", "body": with_grades("g02"), "expect": 1, "by": "me", "id": "same"}
        for _ in range(3):
            assert await led(question) == {"done": True, "version": 2, "why": ""}
        for harmed in ({"body": 7}, {"body": "{"}, {"expect": -1}, {"expect": None}, {"by": ""}, {"id": 4}):
            told = await led({**question, "id": "other", **harmed})
            assert not told["done"] and told["bad"] and told["why"]
        assert max(row[0] for rows in asked({"ask": "versions"}) for row in rows) == 2

        # Garbage, another secret, another cluster, a frame that was changed: closed, said, and nothing else.
        host, port = fleet.clients["c1"].split(":")
        for secret, cluster, harm in (
            (b"another secret, as long", "fleet", b""),
            (SECRET, "other", b""),
            (SECRET, "fleet", b"\x00\x00\x00\x05" + b"x" * 21),
            (SECRET, "fleet", b"\xff" * 40),
        ):
            with socket.create_connection((host, int(port)), 10) as stranger:
                frames = FrameCodec(secret, greeting("n9", cluster))
                stranger.sendall(frames.greeting_frame() + harm)
                while stranger.recv(65536):
                    pass
        await fleet.said("c1", "config: a message is refused:", times=4)
        assert all(
            row[0] != "n9" for row in send_admin_request(fleet.peers["c1"], SECRET, {"ask": "watchers"})
        )
        # The same name again takes the place of the first, and who is too many is sent on.
        first, other = Stranger(fleet.clients["c2"], "n8"), Stranger(fleet.clients["c2"], "n9")
        assert (first.hears()["n"], other.hears()["n"]) == (2, 2)
        again, more = Stranger(fleet.clients["c2"], "n8"), Stranger(fleet.clients["c2"], "n10")
        assert again.hears()["n"] == 2 and more.hears() == {"k": "elsewhere"} and more.hears() is None
        while first.hears() is not None:
            pass
        for name in SERVERS:
            assert await fleet.end(name) == 0
        # The versions are there again, also without --new.
        for name in SERVERS:
            fleet.start(name, "config", "serve", str(fleet.folder / f"{name}.json"))
        while (await fleet.publish(with_grades("g02"), "--expect", "2"))[0]:
            await asyncio.sleep(0.1)
        assert json.loads((await fleet.config("history", "--json"))[1])[-1]["version"] == 2

    with_fleet(tmp_path, script)


def test_a_bad_file_names_its_key(tmp_path: Path) -> None:
    (tmp_path / "secret").write_bytes(SECRET)
    good_watch = {"cluster": "c", "servers": ["127.0.0.1:1"], "secret_file": "secret", "cache": "x"}
    replicas = {"c1": {"peers": "127.0.0.1:1", "clients": "127.0.0.1:2"}}
    good = {"cluster": "c", "name": "c1", "folder": "c1", "secret_file": "secret", "replicas": replicas}
    readers: list[tuple[Callable[[Path], Any], dict[str, Any], str, Any]] = [
        (read_watch_config, good_watch, "cluster", None),
        (read_watch_config, good_watch, "servers", []),
        (read_watch_config, good_watch, "servers", ["nowhere"]),
        (read_watch_config, good_watch, "near", ["127.0.0.1:9"]),
        (read_watch_config, good_watch, "secret_file", "none"),
        (read_watch_config, good_watch, "cache", ""),
        (read_config_server_config, good, "name", "c9"),
        (read_config_server_config, good, "most_watchers", 0),
        (read_config_server_config, good, "bytes_a_second", 1),
        (read_config_server_config, good, "snapshot_every", 1),
        (read_config_servers, good, "replicas", {}),
    ]
    path = tmp_path / "file.json"
    for read, told, key, value in readers:
        path.write_text(json.dumps(told))
        read(path)
        path.write_text(json.dumps({**told, key: value}))
        with pytest.raises(ConfigError, match=key):
            read(path)


def test_a_cache_that_is_harmed_or_of_another_cluster_is_left_aside(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "secret").write_bytes(SECRET)
    told = {"cluster": "c", "servers": ["127.0.0.1:1"], "secret_file": "secret", "cache": "n0.cache"}
    path = tmp_path / "watch.json"
    path.write_text(json.dumps(told))
    orders = read_watch_config(path)
    own = json.loads(own_file(tmp_path, [1, 2]).read_text())
    assert read_cache(orders) == (NOTHING, "")
    body = with_grades("g01")
    taken = AppliedVersion(7, digest_of(body), body)
    write_cache(orders, taken)
    assert read_cache(orders) == (taken, "")
    briefing, found = initial_config(own, orders, {})
    assert briefing.names.request_classes == ("look-up", "g01") and found == taken
    whole = orders.cache.read_text()
    for harmed, says in (
        (whole.replace("g01", "g02"), "digest"),
        (whole[:-20], "JSON"),
        (whole.replace('"format": 1', '"format": 2'), "format 2"),
        (whole.replace('"cluster": "c"', '"cluster": "d"'), "cluster 'd'"),
        ("[]", "TypeError"),
        (whole.replace('"version": 7', '"version": "7"'), "version '7'"),
    ):
        orders.cache.write_text(harmed)
        briefing, found = initial_config(own, orders, {})
        assert found is NOTHING and briefing.names.request_classes == ("look-up",)
        assert says in capsys.readouterr().err
    # One that does not go with the file any more.
    wrong = '{"settings": {"RoundUs": -4}}'
    write_cache(orders, AppliedVersion(8, digest_of(wrong), wrong))
    assert initial_config(own, orders, {})[1] is NOTHING
    assert "version 8: settings.RoundUs is -4" in capsys.readouterr().err


def test_a_refused_version_leaves_the_briefing_as_it_was(tmp_path: Path) -> None:
    own = json.loads(own_file(tmp_path, [1, 2]).read_text())

    class Serving:
        briefing = merge_config(own, "", {})

        def take_configuration(self, new: Config) -> None:
            if new.settings.batch_interval == 4_000_000:
                raise ConfigError("settings.RoundUs")
            self.briefing = new

    service: Any = Serving()
    before, laying = service.briefing, VersionApplier(service, own, lambda: own, NOTHING, {})
    assert laying.take(1, '{"settings": {"RoundUs": 4000}}') == "settings.RoundUs"
    assert service.briefing is before and laying.body == ""
    assert laying.take(2, with_grades("g02")) == "" and service.briefing.names.request_classes[1] == "g02"


def test_who_serves_without_a_watch_imports_none_of_it(tmp_path: Path) -> None:
    program = "import sys, ploverspoke.cli, ploverspoke.service.service; print(*sys.modules)"
    out = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True).stdout.decode()
    assert "ploverspoke.service.service" in out.split() and "ploverspoke.config_distribution" not in out
    own = own_file(tmp_path, [1, 2])
    for words in (["--processes", "2"], ["--store", str(own)]):
        command = [sys.executable, "-m", "ploverspoke", "serve", str(own), "--watch", str(own), *words]
        told = subprocess.run(command, capture_output=True, env=os.environ)
        assert told.returncode == 2 and b"--watch goes neither with" in told.stderr
