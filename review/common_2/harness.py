"""Shared by the cases 6 to 10: temporary folder, record, free ports, and the processes that a case starts."""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 105  # then the case is given up; ending its processes takes some seconds more


class CannotRunError(Exception):
    """The case could not be played; it says nothing about the rule."""


class EndedBySignalError(KeyboardInterrupt):
    """The time of the case is over, or it was ended from outside; passes through the event loop."""


class Case:
    """One run of a case: what it started, what it recorded, and its verdict."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began_at = time.monotonic()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.cleanups: list[Callable[[], None]] = []
        self.log_number = 0
        self.reserved: list[socket.socket] = []

    def note(self, text: str) -> None:
        """Write a line with the seconds since the start to record.txt."""
        self.record_file.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.record_file.flush()

    # ---- Ports and files ----

    def free_ports(self, count: int) -> list[int]:
        """Return different free ports of 127.0.0.1."""
        sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
        ports = [listening.getsockname()[1] for listening in sockets]
        for listening in sockets:
            listening.close()
        return ports

    def write_json(self, name: str, document: object) -> Path:
        """Write a JSON file into the temporary folder."""
        path = self.temporary / name
        path.write_text(json.dumps(document), encoding="utf-8")
        return path

    # ---- Processes ----

    def start(
        self, arguments: list[str], environment: dict[str, str] | None = None, new_group: bool = False
    ) -> subprocess.Popen[bytes]:
        """Start the program by the `run` command of the deploy file, with arguments of its command line."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        command = deploy["run"] + "".join(f" '{argument}'" for argument in arguments)
        return self.start_shell(command, " ".join(arguments[:2]), environment, new_group)

    def start_shell(
        self, command: str, name: str, environment: dict[str, str] | None = None, new_group: bool = False
    ) -> subprocess.Popen[bytes]:
        """Start a shell command from the root of the repository; its output goes to a log file."""
        self.log_number += 1
        log_path = self.temporary / f"{self.log_number}.log"
        with log_path.open("wb") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, "TMPDIR": str(self.temporary), **(environment or {})},
                process_group=0 if new_group else None,
            )
        process.log_path = log_path  # type: ignore[attr-defined]
        self.processes.append(process)
        self.note(f"started {name!r} as process {process.pid}")
        return process

    def log_of(self, process: subprocess.Popen[bytes]) -> str:
        """Return what the process has written."""
        return process.log_path.read_text(encoding="utf-8", errors="replace")  # type: ignore[attr-defined]

    def command(self, arguments: list[str], timeout: float = 20.0) -> subprocess.CompletedProcess[str]:
        """Run a command line of the program to its end, and record its output."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        command = deploy["run"] + "".join(f" '{argument}'" for argument in arguments)
        done = subprocess.run(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            capture_output=True,
            text=True,
            timeout=timeout,
            check=False,
        )
        output = (done.stdout + done.stderr).strip()
        self.note(f"ran {' '.join(arguments)!r}: exit {done.returncode}, {output[:600]!r}")
        return done

    def wait_until(self, condition: Callable[[], bool], seconds: float, what: str) -> None:
        """Wait for a condition. Raises CannotRunError after `seconds`."""
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                message = f"not within {seconds:g} s: {what}"
                raise CannotRunError(message)
            time.sleep(0.02)

    def end_all(self) -> None:
        """End all processes that this case started, also those that a cleanup knows of."""
        for process in self.processes:
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + 5
        for process in self.processes:
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for cleanup in self.cleanups:
            with contextlib.suppress(OSError):
                cleanup()

    def keep_logs(self) -> None:
        """Append what the processes wrote to record.txt."""
        for process in self.processes:
            text = self.log_of(process)
            self.note(f"log of process {process.pid}: {text[-3000:]!r}")


def kill_if_running(pid: int, marker: str) -> None:
    """Kill a process of this case that is no child of it; `marker` has to be in its command line."""
    with contextlib.suppress(OSError):
        command = Path(f"/proc/{pid}/cmdline").read_bytes().replace(b"\0", b" ").decode()
        if marker in command:
            os.kill(pid, signal.SIGKILL)


def run_case(folder: Path, play: Callable[[Case], str]) -> None:
    """Play a case and exit: `play` returns how the rule was broken, or "" if it held."""
    case = Case(folder)

    def on_alarm(number: int, frame: object) -> None:
        message = f"the case took over {TIME_LIMIT_S} s"
        raise EndedBySignalError(message)

    def on_terminated(number: int, frame: object) -> None:
        message = f"the case was ended by signal {number}"
        raise EndedBySignalError(message)

    signal.signal(signal.SIGALRM, on_alarm)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_terminated)
    signal.alarm(TIME_LIMIT_S)
    code = COULD_NOT_RUN
    try:
        broken = play(case)
        code = BROKEN if broken else HELD
        verdict = f"BROKEN: {broken}" if broken else "the rule held"
    except (Exception, EndedBySignalError) as error:  # whatever it is, the case could not be played
        verdict = f"could not run: {type(error).__name__}: {error}"
    finally:
        signal.alarm(0)
        case.end_all()
        case.keep_logs()
    case.note(f"TROUBLE={int(case.trouble)} {verdict}")
    print(f"{folder.name}: TROUBLE={int(case.trouble)} {verdict}")
    case.record_file.close()
    shutil.rmtree(case.temporary, ignore_errors=True)
    sys.exit(code)


# ---- Lease servers ----


def start_lease_servers(case: Case, leases: dict[str, object], election_ms: int = 200) -> Path:
    """Start three lease servers, wait until one leads, and return the file of the first."""
    ports = case.free_ports(6)
    names = ("k1", "k2", "k3")
    replicas = {
        name: {"peers": f"127.0.0.1:{ports[2 * i]}", "clients": f"127.0.0.1:{ports[2 * i + 1]}"}
        for i, name in enumerate(names)
    }
    secret = case.temporary / "leases.secret"
    secret.write_bytes(b"0123456789abcdef0123456789abcdef")
    secret.chmod(0o600)
    files = []
    for name in names:
        document = {
            "cluster": "review",
            "name": name,
            "folder": f"{name}-leases",
            "secret_file": secret.name,
            "election_ms": election_ms,
            "replicas": replicas,
            "leases": leases,
        }
        files.append(case.write_json(f"{name}.json", document))
        case.start(["lease-server", str(files[-1]), "--new"])
    deadline = time.monotonic() + 20
    while case.command(["lease", "list", str(files[0])]).returncode != 0:
        if time.monotonic() > deadline:
            message = "no lease server leads"
            raise CannotRunError(message)
        time.sleep(0.2)
    return files[0]


def read_lines(path: Path) -> list[list[str]]:
    """Return the words of each complete line of a file; none if there is no such file."""
    if not path.exists():
        return []
    return [line.split() for line in path.read_text(encoding="utf-8").splitlines() if line.endswith(".")]


# ---- HTTP of the stand-ins ----


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one message with a Content-Length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        length = int(headers.get("content-length", "0"))
        if length:
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def http_response(status: str, body: bytes, *headers: str) -> bytes:
    """Return a response with a Content-Length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Discovery:
    """A discovery that lists what it is told: whole lists, and watches that wait for the next version."""

    def __init__(self, servers: list[dict[str, object]]) -> None:
        self.version = 1
        self.servers = servers
        self.changed = asyncio.Event()

    async def open(self) -> int:
        """Listen on a free port of 127.0.0.1 and return it."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._serve_calls(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _serve_calls(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_http(reader)) is not None:
            target = message[0].split()[1]
            query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if "=" in pair)
            known = int(query.get("from", "-1"))
            if known >= self.version:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(query.get("hold_ms", "0")) / 1000)
            servers = self.servers if known < self.version else []
            full = known < self.version
            answer = {"version": self.version, "full": full, "servers": servers}
            writer.write(http_response("200 OK", json.dumps(answer).encode()))
            await writer.drain()


def server_entry(name: str, port: int, cell: int = 0) -> dict[str, object]:
    """Return the entry of a ready worker, as discovery lists it."""
    return {
        "id": name,
        "addr": f"127.0.0.1:{port}",
        "zone": "a",
        "kind": "plain",
        "cell": cell,
        "state": "Ready",
        "weight": 1.0,
        "started_ms": 0,
    }


async def post(
    port: int, target: str, request_id: str, timeout_ms: int, wait_s: float
) -> tuple[int, bytes] | None:
    """Send one request on a connection of its own; None if no whole answer came in time."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            body = b"from=review"
            head = (
                f"POST {target} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {request_id}\r\n"
                f"Request-Timeout-Ms: {timeout_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            message = await read_http(reader)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()
    return None if message is None else (int(message[0].split()[1]), message[2])


# ---- Stores ----


def start_store(case: Case, dispatcher: dict[str, object], election_ms: int = 200) -> list[tuple[Path, int]]:
    """Start three replicas of a store; return the file and the port for clients of each."""
    ports = case.free_ports(6)
    names = ("r1", "r2", "r3")
    replicas = {
        name: {"peers": f"127.0.0.1:{ports[2 * i]}", "clients": f"127.0.0.1:{ports[2 * i + 1]}"}
        for i, name in enumerate(names)
    }
    secret = case.temporary / "store.secret"
    secret.write_bytes(b"0123456789abcdef0123456789abcdef")
    secret.chmod(0o600)
    configuration = case.write_json("dispatcher.json", dispatcher)
    started = []
    for i, name in enumerate(names):
        document = {
            "cluster": "review",
            "name": name,
            "folder": f"{name}-store",
            "secret_file": secret.name,
            "election_ms": election_ms,
            "replicas": replicas,
        }
        file = case.write_json(f"{name}.json", document)
        case.start(["serve", str(configuration), "--store", str(file), "--new"])
        started.append((file, ports[2 * i + 1]))
    return started


def leader_of(case: Case, store_file: Path) -> str:
    """Return the name of the replica that leads, "" if none does."""
    done = case.command(["store", "status", str(store_file), "--json"])
    if done.returncode != 0:
        return ""
    rows = json.loads(done.stdout)
    return next((row["name"] for row in rows if row.get("leads")), "")
