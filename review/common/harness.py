"""Shared parts of the review's cases: processes of the project, stand-ins and the record of a run.

Only the standard library is used. The stand-ins follow the protocol page: discovery lists the workers that it
was given, a worker runs a request once its last byte has come, and a client waits for its answer.
"""

import asyncio
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
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CouldNotRunError(Exception):
    """The case could not be set up; it proves nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, line: str, echo: bool = True) -> None:
        """Write a line to the record, and to standard output with `echo`."""
        text = f"{time.monotonic() - self.began:8.3f} {line}"
        print(text, file=self.file, flush=True)
        if echo:
            print(text, flush=True)


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for held in sockets:
            held.bind((HOST, 0))
        return [held.getsockname()[1] for held in sockets]
    finally:
        for held in sockets:
            held.close()


def run_command() -> str:
    """Return the command of the deploy file that starts the project's program."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    return str(deploy["run"])


class Programs:
    """The processes of the project that a case has started; all are ended by `close`."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def command(self, *arguments: str) -> list[str]:
        """Return the shell call of the deploy file's `run` with further arguments."""
        return ["/bin/sh", "-c", run_command() + ' "$@"', "ploverspoke", *arguments]

    def environment(self) -> dict[str, str]:
        kept = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        return {**kept, "TMPDIR": str(self.folder)}

    def start(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        log = (self.folder / f"{name}.log").open("ab")
        process = subprocess.Popen(
            self.command(*arguments), cwd=ROOT, env=self.environment(), stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
        )
        log.close()
        self.running[name] = process
        return process

    def call(self, *arguments: str, timeout: float = 20) -> subprocess.CompletedProcess[str]:
        """Run a command of the project to its end."""
        return subprocess.run(
            self.command(*arguments), cwd=ROOT, env=self.environment(), capture_output=True, text=True,
            timeout=timeout, check=False,
        )

    async def acall(self, *arguments: str, timeout: float = 20) -> subprocess.CompletedProcess[str]:
        return await asyncio.to_thread(self.call, *arguments, timeout=timeout)

    def kill(self, name: str) -> None:
        process = self.running.pop(name)
        process.kill()
        process.wait()

    async def stop(self, name: str, timeout: float = 10) -> None:
        """End a process by SIGTERM, as at a planned restart."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait, timeout)

    def log(self, name: str) -> str:
        path = self.folder / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""

    def close(self) -> None:
        for process in self.running.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running.values():
            process.wait()
        self.running.clear()


async def until(check, timeout: float, what: str):
    """Wait until `check` returns something true, and return that."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        result = check()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        await asyncio.sleep(0.05)
    raise CouldNotRunError(what)


# ---- HTTP, as far as the stand-ins need it ----


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one message with a Content-Length; returns its first line, its headers and its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Discovery:
    """Lists the workers that it was given; watches wait for as long as they allow."""

    def __init__(self, servers: list[dict[str, object]]) -> None:
        self.servers = servers
        self.version = 1
        self.changed = asyncio.Event()
        self.port = 0

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _, _ = await read_message(reader)
                target = first.split(" ")[1]
                query = dict(part.split("=") for part in target.partition("?")[2].split("&") if "=" in part)
                is_full = "from" not in query
                if not is_full and int(query["from"]) >= self.version:
                    await asyncio.sleep(int(query.get("hold_ms", "0")) / 1000)
                servers = self.servers if is_full or int(query["from"]) < self.version else []
                document = {"version": self.version, "full": is_full, "servers": servers}
                body = json.dumps(document).encode()
                writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class Worker:
    """Runs requests, `slots` at a time; tells of starts and progress, and of each run in the record.

    A request that finds no free slot is turned away with 503 and `Not-Started: 1`. Running work goes on when
    its connection ends. `duration` gives the seconds of a run by the request's id.
    """

    def __init__(self, name: str, record: Record, slots: int, duration) -> None:
        self.name = name
        self.record = record
        self.slots = slots
        self.duration = duration
        self.busy = 0
        self.runs: list[str] = []  # ids, one entry a run
        self.usual_result = f"done by {name}"
        self.results: dict[str, str] = {}  # by id, where it is not the usual one
        self.is_quiet = False  # under load, single runs are not echoed
        self.tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
        return {
            "id": self.name, "addr": f"{HOST}:{self.port}", "zone": "zagreb", "kind": "full-speed", "cell": 0,
            "state": "Ready", "weight": 1.0, "started_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, _ = await read_message(reader)
                target = first.split(" ")[1]
                if target == "/-/healthy":
                    writer.write(message("HTTP/1.1 200 OK", {}))
                elif target == "/-/load":
                    free = max(0, self.slots - self.busy)
                    report = json.dumps({"backlog": 0, "x0": free}).encode()
                    writer.write(message("HTTP/1.1 200 OK", {}, report))
                else:
                    await self._attempt(headers["request-id"], target, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _attempt(self, request_id: str, target: str, writer: asyncio.StreamWriter) -> None:
        if self.busy >= self.slots:
            self.record.write(f"{self.name}: turns away {request_id} unstarted (503, Not-Started: 1)")
            writer.write(message("HTTP/1.1 503 Service Unavailable", {"Not-Started": "1"}))
            return
        self.busy += 1
        self.runs.append(request_id)
        line = f"{self.name}: runs {request_id} ({target}), run {self.runs.count(request_id)} of this id"
        self.record.write(line, echo=not self.is_quiet)
        run = asyncio.create_task(self._run(request_id, writer))
        self.tasks.add(run)
        run.add_done_callback(self.tasks.discard)
        await asyncio.shield(run)

    async def _run(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self._send(writer, head.encode())
        self._line(writer, {"id": request_id, "from": self.name, "state": "started"})
        remaining = self.duration(request_id)
        total = remaining
        while remaining > 0:
            await asyncio.sleep(min(0.5, remaining))
            remaining -= 0.5
            if remaining > 0:
                share = 1 - remaining / total
                self._line(writer, {"id": request_id, "from": self.name, "state": "running", "share": share})
        self.busy -= 1
        self.record.write(f"{self.name}: has done {request_id}", echo=not self.is_quiet)
        result = self.results.get(request_id, self.usual_result)
        self._line(writer, {"id": request_id, "from": self.name, "state": "done", "result": result})
        self._send(writer, b"0\r\n\r\n")

    def _line(self, writer: asyncio.StreamWriter, line: dict[str, object]) -> None:
        data = json.dumps(line).encode() + b"\n"
        self._send(writer, f"{len(data):x}\r\n".encode() + data + b"\r\n")

    @staticmethod
    def _send(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(data)


class Answer:
    """A final answer that a client got."""

    def __init__(self, status: int, body: str, headers: dict[str, str]) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class Client:
    """Hands in a request; asks another replica with the same id and request when it gets no answer."""

    def __init__(self, record: Record, addresses: list[str]) -> None:
        self.record = record
        self.addresses = addresses
        self.is_quiet = False  # under load, single requests are not echoed

    def _note(self, line: str) -> None:
        self.record.write(line, echo=not self.is_quiet)

    async def ask_once(
        self, address: str, path: str, request_id: str, timeout_ms: int, body: bytes
    ) -> Answer | None:
        """Send one request; None if no answer came (refused, closed or silent)."""
        host, _, port = address.rpartition(":")
        writer = None
        try:
            async with asyncio.timeout(timeout_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                headers = {"Host": "app.svc", "Request-Id": request_id, "Request-Timeout-Ms": str(timeout_ms)}
                writer.write(message(f"POST {path} HTTP/1.1", headers, body))
                first, answered, data = await read_message(reader)
                return Answer(int(first.split(" ")[1]), data.decode("utf-8", "replace"), answered)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return None
        finally:
            if writer is not None:
                writer.close()

    async def submit(
        self, path: str, request_id: str, timeout_ms: int, body: bytes = b"from=zagreb", first: str = "",
        give_up_after: float = 20,
    ) -> Answer | None:
        """Return the final answer, after redirects and further asks with the same id."""
        end = time.monotonic() + give_up_after
        turn = 0
        address = first or self.addresses[0]
        while time.monotonic() < end:
            self._note(f"client: sends {request_id} ({path}, waits {timeout_ms} ms) to {address}")
            answer = await self.ask_once(address, path, request_id, timeout_ms, body)
            if answer is None:
                self._note(f"client: no answer to {request_id} from {address}")
            elif answer.status == 307:
                address = answer.headers["location"].removeprefix("http://").partition("/")[0]
                self._note(f"client: {request_id} is redirected to {address}")
                await asyncio.sleep(0.02)
                continue
            elif answer.status == 503 and answer.body == "no replica leads":
                self._note(f"client: no replica leads, {request_id} is asked for again")
            else:
                self._note(f"client: {request_id} is answered {answer.status} {answer.body[:40]!r}")
                return answer
            await asyncio.sleep(0.2)
            turn += 1
            address = self.addresses[turn % len(self.addresses)]
        self._note(f"client: gives {request_id} up, it has no answer")
        return None


# ---- A store ----


TRIP_LOOKUP: dict[str, object] = {
    "Name": "trip-lookup", "Repeat": "free", "Group": "all", "RepeatWindowUs": 5000000, "Benefit": 2.0,
    "OverdueBenefit": 0.25, "ExpectedTimeUs": 80000, "AbandonTimeUs": 5000000,
}
FARE_LOOKUP: dict[str, object] = {**TRIP_LOOKUP, "Name": "fare-lookup"}
NEW_BOOKING: dict[str, object] = {
    "Name": "new-booking", "Repeat": "single_shot", "Group": "all", "RepeatWindowUs": 5000000, "Benefit": 5.0,
    "OverdueBenefit": 0.2, "ExpectedTimeUs": 300000, "AbandonTimeUs": 7500000,
}
CANCEL_TRIP: dict[str, object] = {
    "Name": "cancel-trip", "Repeat": "single_shot", "Group": "all", "RepeatWindowUs": 5000000, "Benefit": 3.0,
    "OverdueBenefit": 0.5, "ExpectedTimeUs": 80000, "AbandonTimeUs": 5000000,
}


def base_settings(grades: list[dict[str, object]]) -> dict[str, object]:
    """Return settings like those of horvat-booking, with one room and one kind of machine."""
    count = len(grades)
    return {
        "Discovery": "ask",
        "Localities": ["zagreb"],
        "HostTypes": ["full-speed"],
        "RoundUs": 2000,
        "ServiceGrades": grades,
        "Domain": {
            "TellsStart": True, "ProgressUs": 1000000, "ReportX0": "free slots", "ClassKind": [-1] * count,
            "ClassStretch": [2.0] * count,
        },
        "Report": {"Via": "on_probe", "Fields": ["errors_per_s", "backlog", "x0"]},
        "Limits": {
            "MaxHandOffs": 6, "MaxOpen": 2000, "Cancel": True, "Probing": True, "RetryAfter": True,
            "MaxRetryAfterUs": 2000000, "ConnectTimeoutUs": 150000, "IdleCloseUs": 30000000,
        },
        "Invariants": {
            "StopSendingWithinUs": 500000, "MustAskInUs": 10000000, "ColdShare": 0.3, "WarmWithinUs": 8900000,
            "TipMultiple": 3.0, "FallUs": 2000000,
        },
        "Tariffs": {"Handshake": 0.02, "Probe": 0.0013, "Waste": 0.046},
    }


def write_dispatcher(folder: Path, name: str, discovery_port: int, grades: list[dict[str, object]]) -> Path:
    """Write the configuration of a dispatcher; in a store, `listen` comes from the replica's own file."""
    document = {
        "name": "n0", "listen": f"{HOST}:1", "discovery": f"{HOST}:{discovery_port}", "seed": "8c1f30d27a5b",
        "limits": {"sockets": 512, "memory_mb": 192}, "settings": base_settings(grades),
    }
    path = folder / name
    path.write_text(json.dumps(document), encoding="utf-8")
    return path


class Store:
    """The replicas r1, r2, ... of a store, each a process of the project."""

    def __init__(self, programs: Programs, size: int, election_ms: int = 400) -> None:
        self.programs = programs
        self.folder = programs.folder
        ports = free_ports(2 * size)
        self.names = [f"r{number + 1}" for number in range(size)]
        self.replicas = {
            name: {"peers": f"{HOST}:{ports[2 * i]}", "clients": f"{HOST}:{ports[2 * i + 1]}"}
            for i, name in enumerate(self.names)
        }
        (self.folder / "store.secret").write_text("a secret that is long enough\n", encoding="utf-8")
        for name in self.names:
            document = {
                "cluster": "trips", "name": name, "folder": f"{name}-store", "secret_file": "store.secret",
                "replicas": self.replicas, "election_ms": election_ms,
            }
            self.file(name).write_text(json.dumps(document), encoding="utf-8")

    def file(self, name: str) -> Path:
        return self.folder / f"{name}.json"

    def address(self, name: str) -> str:
        return str(self.replicas[name]["clients"])

    def addresses(self, first: str = "") -> list[str]:
        """Return the addresses for clients, that of the replica `first` before the others."""
        return [self.address(name) for name in sorted(self.names, key=lambda name: name != first)]

    def start(self, name: str, dispatcher: Path, new: bool = False) -> None:
        arguments = ["serve", str(dispatcher), "--store", str(self.file(name))]
        self.programs.start(name, *arguments, *(["--new"] if new else []))

    async def status(self) -> list[dict[str, object]]:
        done = await self.programs.acall("store", "status", str(self.file(self.names[0])), "--json")
        try:
            rows = json.loads(done.stdout)
        except ValueError:
            return []
        return [row for row in rows if isinstance(row, dict)]

    async def leader(self) -> str:
        return next((str(row["name"]) for row in await self.status() if row.get("leads")), "")

    async def wait_for_all(self) -> str:
        """Wait until one replica leads and the others have all that it has; returns the leader's name."""

        async def check() -> str:
            rows = await self.status()
            leaders = [row for row in rows if row.get("leads")]
            if len(leaders) != 1 or any("applied" not in row for row in rows):
                return ""
            behind = leaders[0].get("behind")
            is_level = isinstance(behind, dict) and not any(behind.values())
            return str(leaders[0]["name"]) if is_level else ""

        return await until(check, 20, "the store has no leader that all replicas follow")


def run_case(case_file: str, play) -> None:
    """Run a case: `play(record, programs, trouble)` returns whether the rule held. Exits with 0, 1 or 2."""
    folder = Path(case_file).resolve().parent
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    programs = Programs(temporary, record)
    record.write(f"begins, trouble={'yes' if trouble else 'no'}")
    code = COULD_NOT_RUN
    try:
        held = asyncio.run(asyncio.wait_for(play(record, programs, trouble), 110))
        code = HELD if held else BROKEN
    except (CouldNotRunError, OSError, subprocess.SubprocessError, TimeoutError) as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
    finally:
        programs.close()
        for log in sorted(temporary.glob("*.log")):
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines()[-60:]:
                record.write(f"log of {log.stem}: {line}", echo=False)
        shutil.rmtree(temporary, ignore_errors=True)
    record.write({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(code, "could not run"))
    sys.exit(code)
