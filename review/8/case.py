"""A labelled submission whose repeat waits for a connection that comes up late is run a second time.

Two workers of one group share a memory: both drop a repeat for the window of the settings and `SLACK_S` more. Each
attempt that is no repeat runs for `RUN_S`, tells start and progress, and ends with `failed`: the work was done, but
its answer went wrong. Then the dispatcher repeats it at the other worker. With TROUBLE=1 the connection to that
worker comes up about 1 s late for every second submission: its accept queue is full until the first SYN was dropped.
"""

import asyncio
import json
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common_2"))

from harness import CannotRunError, Case, Discovery, http_response, post, read_http, run_case, server_entry

WINDOW_S = 2.5  # for which workers drop a repeat, as the settings say
SLACK_S = 0.2  # 50 ms on sockets, and 150 ms for a dispatcher that is held up
RUN_S = 2.0
FULL_FROM_S, FULL_UNTIL_S = 1.5, 2.85  # the accept queue, after the start of the first attempt
REQUESTS = 10
TIMEOUT_MS = 6000


class Group:
    """The workers that drop one another's repeats, and what they ran."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.first_arrivals: dict[str, float] = {}
        self.runs: dict[str, list[str]] = {}
        self.workers: list[Worker] = []
        self.late_ids: set[str] = set()  # whose repeats meet a full accept queue


class Worker:
    """One worker: HTTP by the protocol page, one request on a connection."""

    def __init__(self, group: Group, name: str) -> None:
        self.group = group
        self.name = name
        self.listening = socket.socket()
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen(0)
        self.listening.setblocking(False)
        self.port = self.listening.getsockname()[1]
        self.may_accept = asyncio.Event()
        self.may_accept.set()
        self.fillers: list[socket.socket] = []
        self.tasks: set[asyncio.Task[None]] = set()

    async def accept(self) -> None:
        """Accept connections while that is allowed."""
        loop = asyncio.get_running_loop()
        while True:
            await self.may_accept.wait()
            try:
                accepted, _ = self.listening.accept()
            except BlockingIOError:
                await asyncio.sleep(0.002)
                continue
            accepted.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=accepted)
            task = loop.create_task(self.serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def be_full(self) -> None:
        """Let connections come up late: fill the accept queue for a while."""
        await asyncio.sleep(FULL_FROM_S)
        self.may_accept.clear()
        await asyncio.sleep(0.01)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)
        self.group.case.note(f"{self.name}: its accept queue is full")
        await asyncio.sleep(FULL_UNTIL_S - FULL_FROM_S)
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.may_accept.set()
        self.group.case.note(f"{self.name}: accepts again")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one request, and close."""
        try:
            message = await read_http(reader)
            if message is not None:
                await self.answer(message[1], writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
        """Drop a repeat inside the window; run anything else, and fail it."""
        group, request_id, now = self.group, headers.get("request-id", ""), time.monotonic()
        if not request_id:
            writer.write(http_response("404 Not Found", b"", "Connection: close"))
            return
        first = group.first_arrivals.setdefault(request_id, now)
        age = now - first
        known = bool(group.runs.get(request_id))
        if known and age < WINDOW_S + SLACK_S:
            group.case.note(f"{self.name}: {request_id} is a repeat after {age:.3f} s: dropped")
            lines = [{"id": request_id, "from": self.name, "state": "done", "result": "as before"}]
            writer.write(chunked_head() + chunk(lines[0]) + b"0\r\n\r\n")
            await writer.drain()
            return
        group.runs.setdefault(request_id, []).append(self.name)
        group.case.note(f"{self.name}: {request_id} RUNS, {age:.3f} s after the first attempt came")
        other = next(worker for worker in group.workers if worker is not self)
        if request_id in group.late_ids and not known:
            task = asyncio.get_running_loop().create_task(other.be_full())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        writer.write(chunked_head() + chunk({"id": request_id, "from": self.name, "state": "started"}))
        for share in (0.25, 0.5, 0.75):
            await asyncio.sleep(RUN_S / 4)
            writer.write(chunk({"id": request_id, "from": self.name, "state": "running", "share": share}))
        await asyncio.sleep(RUN_S / 4)
        state = {"state": "failed"} if not known else {"state": "done", "result": "again"}
        writer.write(chunk({"id": request_id, "from": self.name, **state}) + b"0\r\n\r\n")
        await writer.drain()
        group.case.note(f"{self.name}: {request_id} ended: {state['state']}")


def chunked_head() -> bytes:
    """Return the head of an answer that goes on in chunks."""
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"


def chunk(line: dict[str, object]) -> bytes:
    """Return one chunk with a line of JSON."""
    data = json.dumps(line).encode() + b"\n"
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def configuration(port: int, discovery: int) -> dict[str, object]:
    """Return the configuration of a small deployment: no probes, a connect time-out of 1.5 s."""
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "settings": {
            "Discovery": "ask",
            "Localities": ["a"],
            "HostTypes": ["plain"],
            "RoundUs": 2000,
            "ServiceGrades": [
                {
                    "Name": "submit-turn",
                    "Repeat": "guarded",
                    "Group": "all",
                    "RepeatWindowUs": int(WINDOW_S * 1e6),
                    "ExpectedTimeUs": 300000,
                    "AbandonTimeUs": 6000000,
                    "OverdueBenefit": 0.5,
                }
            ],
            "Domain": {"TellsStart": True, "ProgressUs": 1000000},
            "Report": {"Via": "off"},
            "Limits": {
                "MaxHandOffs": 5,
                "Cancel": False,
                "Probing": False,
                "RetryAfter": True,
                "MaxRetryAfterUs": 2000000,
                "ConnectTimeoutUs": 1500000,
                "IdleCloseUs": 30000000,
            },
            "Invariants": {
                "StopSendingWithinUs": 500000,
                "MustAskInUs": 10000000,
                "ColdShare": 0.3,
                "WarmWithinUs": 8900000,
                "TipMultiple": 3.0,
                "FallUs": 2000000,
            },
        },
    }


async def play_async(case: Case) -> str:
    """Send the submissions one after the other; return what ran twice."""
    group = Group(case)
    group.workers = [Worker(group, "w0"), Worker(group, "w1")]
    accepting = [asyncio.create_task(worker.accept()) for worker in group.workers]
    discovery = Discovery([server_entry(worker.name, worker.port) for worker in group.workers])
    discovery_port = await discovery.open()
    port = case.free_ports(1)[0]
    path = case.write_json("n0.json", configuration(port, discovery_port))
    dispatcher = case.start([], {"RELAY_CONFIG": str(path)})
    deadline = time.monotonic() + 20
    while "serves at" not in case.log_of(dispatcher):
        if time.monotonic() > deadline or dispatcher.poll() is not None:
            message = "the dispatcher does not serve"
            raise CannotRunError(message)
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    for number in range(REQUESTS):
        request_id = f"turn-{number:04x}"
        if case.trouble and number % 2:
            group.late_ids.add(request_id)
        case.note(f"client sends {request_id}" + (", late connection" if request_id in group.late_ids else ""))
        answer = await post(port, "/submit-turn", request_id, TIMEOUT_MS, 8.0)
        case.note(f"client gets for {request_id}: {answer}")
        await asyncio.sleep(0.8)
    for task in accepting:
        task.cancel()
    if not group.runs:
        message = "no worker ran anything"
        raise CannotRunError(message)
    twice = {request_id: runs for request_id, runs in group.runs.items() if len(runs) > 1}
    return f"{len(twice)} of {REQUESTS} submissions ran twice: {twice}" if twice else ""


def play(case: Case) -> str:
    """Play the case."""
    return asyncio.run(play_async(case))


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
