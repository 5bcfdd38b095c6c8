"""`ploverspoke config` with real config servers and a dispatcher; repeated and invalid messages."""

import asyncio
import json
import signal
import socket
from pathlib import Path

from ploverspoke.config_distribution.messages import watcher_greeting
from ploverspoke.consensus.framing import FrameCodec
from ploverspoke.consensus.replica_client import send_admin_request

from .own_files import SECRET, body_with_classes
from .process_fleet import SERVERS, ProcessFleet, WatcherConnection, run_with_fleet

INVALID_VALUE = '{"settings": {"RoundUs": -4}}'
REMOVED_OWN_KEY = '{"settings": {"Limits": {"Cancel": null}}}'


async def publish_first_version(fleet: ProcessFleet) -> None:
    """Start the dispatcher and publish a version that it applies."""
    fleet.start_dispatcher()
    await fleet.wait_for_log_line("n0", "config: no version applied, own configuration alone")
    await fleet.wait_for_log_line("n0", "n0 serves at")
    assert not await fleet.has_class("g01")
    await fleet.wait_until_watched()
    options = ("--wait", "20", "--against", str(fleet.own_file))
    code, out = await fleet.publish(body_with_classes("g01"), *options)
    assert (code, out.splitlines()[0]) == (0, "version 1"), out
    assert await fleet.has_class("g01")
    assert (await fleet.admin_reply()).startswith("+OK version 1 applied\ndispatcher_config_version 1\n")


async def reload_own_file(fleet: ProcessFleet) -> None:
    """Reload the dispatcher's own file: the version stays applied."""
    own = json.loads(fleet.own_file.read_text())
    fleet.own_file.write_text(json.dumps({**own, "discovery": "127.0.0.1:2"}))
    fleet.processes["n0"].send_signal(signal.SIGHUP)
    await fleet.wait_for_log_line("n0", "new configuration: discovery is at 127.0.0.1:2 now")
    assert await fleet.has_class("g01")


async def publish_bodies_rejected_by_the_command(fleet: ProcessFleet) -> None:
    """Publish with an outdated expected version, an unchanged body, and bodies that the command rejects."""
    # A version that the author has not seen is never overwritten, and an unchanged body makes no new version.
    code, out = await fleet.publish(body_with_classes("g02"), "--expect", "0")
    assert (code, out) == (1, "not done: version 1 is in force, and 0 was expected\n")
    code, out = await fleet.publish(body_with_classes("g01"), "--json")
    assert (code, json.loads(out)["version"]) == (0, 1)

    # Keys reserved to a dispatcher's own file and invalid values are rejected before any request is sent.
    code, out = await fleet.publish('{"settings": {"SlotNo": 3}}')
    assert code == 2 and "settings.SlotNo: a dispatcher's own" in out
    code, out = await fleet.publish(INVALID_VALUE, "--against", str(fleet.own_file))
    assert code == 2 and "settings.RoundUs is -4" in out

    code, out = await fleet.publish(REMOVED_OWN_KEY, "--against", str(fleet.own_file))
    assert code == 2 and "settings.Limits.Cancel is missing" in out


async def publish_body_rejected_by_dispatchers(fleet: ProcessFleet) -> None:
    """Publish without --against: the dispatcher rejects the version, and the old one stays active."""
    code, out = await fleet.publish(INVALID_VALUE, "--wait", "20")
    assert code == 1 and "rejected at n0: settings.RoundUs is -4" in out
    await fleet.wait_for_log_line("n0", "config: version 2 rejected: settings.RoundUs is -4")
    assert await fleet.has_class("g01")
    assert (await fleet.admin_reply()).startswith("-ERR version 2 rejected: settings.RoundUs is -4")
    code, out = await fleet.run_config_command("status", "--json")
    status = json.loads(out)
    assert code == 1 and list(status["fleet"]["refused"]) == ["n0"] and len(status["servers"]) == 3


async def roll_back_and_publish_again(fleet: ProcessFleet) -> None:
    """Roll back, and publish bodies that remove keys."""
    code, out = await fleet.run_config_command("rollback", "1", "--wait", "20")
    assert (code, out.splitlines()[0]) == (0, "version 3"), out
    assert (await fleet.run_config_command("status"))[0] == 0
    # Removing a key of the own file is rejected; a key that only a version added can be removed.
    code, out = await fleet.publish(REMOVED_OWN_KEY, "--wait", "20")
    assert code == 1 and "rejected at n0: settings.Limits.Cancel is missing" in out
    other = '{"settings": {"RoundUs": 4000, "PeersTotal": 7}}'
    assert (await fleet.publish(other, "--wait", "20"))[0] == 0
    assert not await fleet.has_class("g01")
    assert (await fleet.run_config_command("rollback", "1", "--wait", "20"))[0] == 0
    assert await fleet.has_class("g01")


async def inspect_versions(fleet: ProcessFleet) -> None:
    """List all versions and show single ones."""
    rows = json.loads((await fleet.run_config_command("history", "--json"))[1])
    assert [row["version"] for row in rows] == [1, 2, 3, 4, 5, 6]
    assert rows[0]["digest"] == rows[2]["digest"]
    assert (await fleet.run_config_command("show", "1")) == (0, body_with_classes("g01") + "\n")
    assert (await fleet.run_config_command("show", "9"))[0] == 1
    assert "RoundUs" in (await fleet.run_config_command("diff"))[1]


async def restart_without_servers(fleet: ProcessFleet) -> None:
    """Restart the dispatcher while no server is running: it applies the last version from its cache."""
    assert await fleet.terminate("n0") == 0
    for name in SERVERS:
        fleet.processes[name].kill()
    assert (await fleet.publish(body_with_classes("g04")))[0] == 3
    assert (await fleet.run_config_command("status"))[0] == 3
    fleet.start_dispatcher()
    await fleet.wait_for_log_line("n0", "config: version 6 applied", times=2)
    await fleet.wait_for_log_line("n0", "n0 serves at", times=2)
    assert await fleet.has_class("g01")
    assert await fleet.terminate("n0") == 0


def test_operators_publish_inspect_and_roll_back_versions(tmp_path: Path) -> None:
    async def script(fleet: ProcessFleet) -> None:
        await publish_first_version(fleet)
        await reload_own_file(fleet)
        await publish_bodies_rejected_by_the_command(fleet)
        await publish_body_rejected_by_dispatchers(fleet)
        await roll_back_and_publish_again(fleet)
        await inspect_versions(fleet)
        await restart_without_servers(fleet)

    run_with_fleet(tmp_path, script)


def first_columns(rows: object) -> list[int | str]:
    """Return the first value of each row of a reply: a version number or a watcher name."""
    assert isinstance(rows, list)
    return [row[0] for row in rows]


def ask_all(fleet: ProcessFleet, request: dict[str, object]) -> list[object]:
    """Return the replies of all servers, in server order."""
    return [send_admin_request(address, SECRET, request) for address in fleet.peers.values()]


async def ask_leader(fleet: ProcessFleet, request: dict[str, object]) -> dict[str, object]:
    """Wait for a leader and return its reply."""
    while True:
        for reply in ask_all(fleet, request):
            assert isinstance(reply, dict)
            if "leader" not in reply and "unknown" not in reply:
                return reply
            assert reply.get("leader", "") in {*fleet.peers.values(), ""} and not reply["done"]
        await asyncio.sleep(0.05)


async def repeat_publish_request(fleet: ProcessFleet) -> None:
    """Repeat one request, which is committed once. Malformed requests are rejected."""
    request: dict[str, object] = {"ask": "publish", "body": body_with_classes("g02"), "expect": 1}
    request |= {"by": "me", "id": "same"}
    for _ in range(3):
        assert await ask_leader(fleet, request) == {"done": True, "version": 2, "why": ""}
    for invalid in ({"body": 7}, {"body": "{"}, {"expect": -1}, {"expect": None}, {"by": ""}, {"id": 4}):
        reply = await ask_leader(fleet, {**request, "id": "other", **invalid})
        assert not reply["done"] and reply["bad"] and reply["why"]
    assert max(number for rows in ask_all(fleet, {"ask": "versions"}) for number in first_columns(rows)) == 2


async def connect_with_invalid_frames(fleet: ProcessFleet) -> None:
    """Connect with a wrong secret, a wrong cluster, a corrupt frame and garbage: nothing changes."""
    host, port = fleet.clients["c1"].split(":")
    for secret, cluster, garbage in (
        (b"another secret, as long", "fleet", b""),
        (SECRET, "other", b""),
        (SECRET, "fleet", b"\x00\x00\x00\x05" + b"x" * 21),
        (SECRET, "fleet", b"\xff" * 40),
    ):
        with socket.create_connection((host, int(port)), 10) as connection:
            frames = FrameCodec(secret, watcher_greeting("n9", cluster))
            connection.sendall(frames.greeting_frame() + garbage)
            while connection.recv(65536):
                pass
    await fleet.wait_for_log_line("c1", "config: message rejected:", times=4)
    assert "n9" not in first_columns(send_admin_request(fleet.peers["c1"], SECRET, {"ask": "watchers"}))


async def connect_more_watchers_than_allowed(fleet: ProcessFleet) -> None:
    """A second connection with the same name replaces the first; a watcher above the limit is redirected."""
    address = fleet.clients["c2"]
    first, other = WatcherConnection(address, "n8"), WatcherConnection(address, "n9")
    assert (first.receive_message()["n"], other.receive_message()["n"]) == (2, 2)
    again, surplus = WatcherConnection(address, "n8"), WatcherConnection(address, "n10")
    assert again.receive_message()["n"] == 2
    assert surplus.receive() == {"k": "elsewhere"} and surplus.receive() is None
    while first.receive() is not None:
        pass


async def restart_servers(fleet: ProcessFleet) -> None:
    """Restart all servers without --new: the versions are still there."""
    for name in SERVERS:
        assert await fleet.terminate(name) == 0
    for name in SERVERS:
        fleet.start(name, "config", "serve", str(fleet.folder / f"{name}.json"))
    while (await fleet.publish(body_with_classes("g02"), "--expect", "2"))[0]:
        await asyncio.sleep(0.1)
    assert json.loads((await fleet.run_config_command("history", "--json"))[1])[-1]["version"] == 2


def test_repeated_publish_commits_once_and_invalid_connections_change_nothing(tmp_path: Path) -> None:
    async def script(fleet: ProcessFleet) -> None:
        assert (await fleet.publish(body_with_classes("g01")))[0] == 0
        await repeat_publish_request(fleet)
        await connect_with_invalid_frames(fleet)
        await connect_more_watchers_than_allowed(fleet)
        await restart_servers(fleet)

    run_with_fleet(tmp_path, script)
