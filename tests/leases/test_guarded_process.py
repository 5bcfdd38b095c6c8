"""A command under a lease, and all that it starts, end when the lease or the process that holds it does."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from ploverspoke.leases.guarded_process import ProcessOutcome, guard_process, start_under_lease
from ploverspoke.leases.process_tree import ZOMBIE_STATE
from tests.polling import until

SECOND = 1_000_000_000
# A script that starts a program of its own, which may detach from the script's session.
SCRIPT = "{detach} sleep 60 & echo $! > {path}; {rest}"
HOLD = """
import asyncio, sys
sys.path.insert(0, sys.argv[1])
from tests.leases.test_guarded_process import start_with_lease
asyncio.run(start_with_lease(sys.argv[2], wait=True))
"""


class HeldLease:
    """Stands in for a lease client whose lease has `left` ns left."""

    def __init__(self) -> None:
        self.left = 60 * SECOND

    def request_lease(self, name: str, duration: int) -> None: ...

    async def wait_until_held(self, name: str, timeout: float) -> int:
        return 7

    def token(self, name: str) -> int:
        return 7

    def time_left(self, name: str) -> int:
        return self.left


async def start_with_lease(script: str, wait: bool = False) -> tuple[Any, Any]:
    client: Any = HeldLease()
    guarded = await start_under_lease(client, "one", SECOND, 1.0, ["sh", "-c", script])
    assert guarded is not None
    if wait:
        await guarded.process.wait()
    return client, guarded


def is_running(process: int) -> bool:
    try:
        return Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()[0] != ZOMBIE_STATE
    except (FileNotFoundError, ProcessLookupError):  # ended before the file was opened, or before it was read
        return False


async def program_of(path: Path) -> int:
    return int(await until(lambda: path.exists() and path.read_text().strip()))


@pytest.mark.parametrize("detach", ["", "setsid"])
def test_program_that_the_command_started_is_killed_with_the_process_that_holds_the_lease(
    detach: str, tmp_path: Path
) -> None:
    # Guards against two commands that act at once: `lease run` was killed, its script as well, but not the
    # program that the script had started, and the next `lease run` got the lease.
    path = tmp_path / "program"
    script = SCRIPT.format(detach=detach, path=path, rest="wait")

    async def scenario() -> None:
        root = str(Path(__file__).parents[2])
        holder = subprocess.Popen([sys.executable, "-c", HOLD, root, script])
        program = await program_of(path)
        assert is_running(program)
        holder.kill()
        holder.wait()
        await until(lambda: not is_running(program))

    asyncio.run(scenario())


@pytest.mark.parametrize("detach", ["", "setsid"])
def test_program_that_the_command_started_is_ended_before_the_lease_expires(
    detach: str, tmp_path: Path
) -> None:
    async def scenario() -> ProcessOutcome:
        path = tmp_path / "program"
        rest = "trap '' TERM; sleep 60"
        client, guarded = await start_with_lease(SCRIPT.format(detach=detach, path=path, rest=rest))
        program = await program_of(path)
        ending = asyncio.create_task(guard_process(client, guarded, SECOND))
        client.left = SECOND
        await until(lambda: not is_running(program))  # by SIGTERM
        assert not ending.done()
        client.left = SECOND // 8
        return await ending

    assert asyncio.run(scenario()).lease_ended


def test_a_signal_ends_all_and_the_lease_is_held_until_then(tmp_path: Path) -> None:
    # Guards against a lease that is released while a program goes on that the script has left behind.
    async def scenario() -> None:
        path = tmp_path / "program"
        stubborn = SCRIPT.format(detach="nohup sh -c 'trap \"\" TERM; sleep 1;'", path=path, rest="sleep 60")
        client, guarded = await start_with_lease(stubborn)
        program = await program_of(path)
        waiting = asyncio.create_task(guard_process(client, guarded, SECOND))
        await asyncio.sleep(0.2)
        guarded.process.send_signal(signal.SIGTERM)
        outcome = await waiting
        assert not is_running(program) and outcome == ProcessOutcome(128 + signal.SIGTERM, False)

    asyncio.run(scenario())


@pytest.mark.parametrize(("script", "code"), [("exit 3", 3), ("kill -9 $$", 128 + signal.SIGKILL)])
def test_exit_code_is_that_of_the_command_and_a_program_may_outlive_its_usual_end(
    script: str, code: int, tmp_path: Path
) -> None:
    async def scenario() -> None:
        path = tmp_path / "program"
        client, guarded = await start_with_lease(SCRIPT.format(detach="", path=path, rest=script))
        assert await guard_process(client, guarded, SECOND) == ProcessOutcome(code, False)
        program = await program_of(path)
        assert is_running(program)
        os.kill(program, signal.SIGKILL)

    asyncio.run(scenario())
