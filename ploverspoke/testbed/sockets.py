"""Sockets: the real program, started as users start it, among stand-ins in processes of their own.

Everything is on loopback. Each process that is started here is ended here, by its own handle.
"""

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from . import experiment as ex
from . import records
from .clients import LATE_ASKS
from .records import Event, Records, merged, read_records
from .settings import settings_of
from .spans import MILLISECOND, SECOND, write_span

LEAD = 300 * MILLISECOND  # from the word to start to the start
READY_WITHIN = 20.0  # seconds
MOST_BEHIND = 100 * MILLISECOND  # of the load generator; past that the figures are void
STOP_WITHIN = 10.0
FINAL_CALM = SECOND
OUTAGE = "outage"  # the name of tasks that play one

Told = Callable[[dict[str, Any]], None]


class Played(NamedTuple):
    events: list[Event]
    void: str
    took_s: float
    logs: str  # what dispatchers wrote, the last lines


class NotStarted(RuntimeError):
    """A process of the run did not come up."""


class Child:
    """A stand-in process and its pipes."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(cls, kind: str, spec: Path, part: int) -> "Child":
        words = ("-m", "ploverspoke.testbed.standins", kind, str(spec), str(part))
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            sys.executable, *words, stdin=pipe, stdout=pipe, limit=1 << 22
        )
        return cls(process)

    async def hear(self) -> dict[str, Any] | None:
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        told: dict[str, Any] | None = msgspec.json.decode(line) if line else None
        return told

    def tell(self, told: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(told) + b"\n")

    async def stop(self) -> None:
        """Its input ends, so it writes its records and ends; what it still says has been heard elsewhere."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), STOP_WITHIN)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


class Program:
    """One dispatcher: the real program in a process of its own, killed and started again as troubles want
    it.
    """

    def __init__(
        self, folder: Path, number: int, config: dict[str, Any], store: dict[str, Any] | None = None
    ) -> None:
        self.path = folder / f"d{number}.json"
        self.path.write_bytes(msgspec.json.encode(config))
        self.log = (folder / f"d{number}.log").open("ab")
        self.port = int(config["listen"].rpartition(":")[2])
        self.process: asyncio.subprocess.Process | None = None
        self.words = ["-m", "ploverspoke"]
        self.started = False
        if store is not None:
            file = folder / f"store{number}.json"
            file.write_bytes(msgspec.json.encode(store))
            self.words += ["serve", str(self.path), "--store", str(file)]

    async def start(self) -> None:
        environment = {**os.environ, "RELAY_CONFIG": str(self.path)}
        new = ["--new"] if len(self.words) > 2 and not self.started else []
        self.started = True
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *self.words, *new, env=environment, stdout=self.log, stderr=self.log
        )
        await self._ready()

    async def _ready(self) -> None:
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until:
            if self.process is not None and self.process.returncode is not None:
                break
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: testbed\r\nConnection: close\r\n\r\n")
                first = await reader.readline()
                writer.close()
                if b" 200 " in first:
                    return
            await asyncio.sleep(0.02)
        raise NotStarted(f"a dispatcher did not come up; its log: {Path(self.log.name).read_text()[-2000:]}")

    async def end(self, number: signal.Signals, within: float) -> None:
        """Send it a signal and wait for its end; past the time it is killed."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), within)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def crashed(self) -> bool:
        return self.process is not None and self.process.returncode not in (None, 0, -signal.SIGKILL)


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on just now."""
    held = [socket.socket() for _ in range(count)]
    for one in held:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in held]
    for one in held:
        one.close()
    return ports


def client_processes(e: ex.Experiment) -> int:
    """As many as the offered load wants: one carries some thousands of submissions a second."""
    rate = sum(max(t.rate, t.to_rate or 0.0) * (1 + t.wave) for t in e.traffic)
    return max(1, min(4, int(rate // 1500) + 1))


class Stage:
    """All processes of one run."""

    def __init__(self, e: ex.Experiment, seed: int, folder: Path, told: Told | None) -> None:
        self.e = e
        self.seed = seed
        self.folder = folder
        self.told = told
        self.seen = Records()
        self.epoch = 0
        self.faults: list[str] = []
        self.behind = 0
        self.children: list[Child] = []
        self.programs: list[Program] = []
        self.tasks: list[asyncio.Task[None]] = []

    def now(self) -> int:
        return time.monotonic_ns() - self.epoch

    async def play(self) -> None:
        e = self.e
        clients = client_processes(e)
        spec = self.folder / "spec.json"
        builtins = msgspec.to_builtins(e, enc_hook=int)
        told = {"experiment": builtins, "seed": self.seed, "records": str(self.folder), "clients": clients}
        spec.write_bytes(msgspec.json.encode(told))
        workers, discovery, *others = [
            await self._child(kind, spec, part)
            for kind, part in [("workers", 0), ("discovery", 0), *(("clients", n) for n in range(clients))]
        ]
        worker_ports = (await self._first(workers))["ports"]
        discovery_ports = (await self._first(discovery))["ports"]
        for child in others:
            await self._first(child)
        # Discovery answers dispatchers from their start on, so it begins before them, on a clock that is
        # set later.
        ports, peer_ports = free_ports(e.dispatchers.count), free_ports(e.dispatchers.count)
        self.epoch = time.monotonic_ns() + LEAD + int(e.dispatchers.count * 0.4 * SECOND)
        discovery.tell({"start": self.epoch, "worker_ports": worker_ports})
        for number, port in enumerate(ports):
            config = self._config(number, port, discovery_ports[number], worker_ports)
            store = self._store(number, ports, peer_ports) if e.dispatchers.store else None
            self.programs.append(Program(self.folder, number, config, store))
        await asyncio.gather(*(program.start() for program in self.programs))
        late = self.now()
        if late > -LEAD // 2:
            raise NotStarted(f"the dispatchers came up {write_span(late + LEAD)} too late")
        for child in (workers, *others):
            child.tell({"start": self.epoch, "dispatcher_ports": ports})
        listening = [asyncio.create_task(self._listen(child, discovery)) for child in (workers, *others)]
        self.tasks += listening
        if any(isinstance(t, ex.DispatcherReplaced | ex.SettingsChanged) for t in e.troubles):
            raise ex.BadExperiment("troubles: replacing and changed settings are played on virtual time only")
        for outage in ex.outages(e, self.seed):
            self.tasks.append(asyncio.create_task(self._outage(*outage), name=OUTAGE))
        end = e.lasts + max(g.abandon_time for g in e.grades) + FINAL_CALM
        end += LATE_ASKS if e.dispatchers.store else 0
        await asyncio.sleep(max(0.0, (end - self.now()) / SECOND))

    async def _child(self, kind: str, spec: Path, part: int) -> Child:
        child = await Child.start(kind, spec, part)
        self.children.append(child)
        return child

    async def _first(self, child: Child) -> dict[str, Any]:
        told = await asyncio.wait_for(child.hear(), READY_WITHIN)
        if told is None:
            raise NotStarted("a stand-in ended at its start")
        return told

    def _config(
        self, number: int, port: int, discovery: int, worker_ports: dict[str, list[int]]
    ) -> dict[str, Any]:
        e = self.e
        return {
            "name": f"d{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{self.seed * 1_000_003 + number:x}",
            "limits": {"sockets": e.dispatchers.sockets, "memory_mb": e.dispatchers.memory_mb},
            "settings": settings_of(e, number),
        }

    def _store(self, number: int, ports: list[int], peer_ports: list[int]) -> dict[str, Any]:
        (self.folder / "secret").write_text("a secret of the testbed's own")
        replicas = {
            f"r{n}": {"peers": f"127.0.0.1:{peers}", "clients": f"127.0.0.1:{clients}"}
            for n, (peers, clients) in enumerate(zip(peer_ports, ports, strict=True))
        }
        name = f"r{number}"
        told = {"cluster": "testbed", "name": name, "folder": f"store-{name}", "secret_file": "secret"}
        return {**told, "replicas": replicas, "snapshot_every": self.e.dispatchers.snapshot_every}

    async def _listen(self, child: Child, discovery: Child) -> None:
        while (told := await child.hear()) is not None:
            if "fault" in told:
                self.faults.append(told["fault"])
            if "fell" in told or "back" in told:
                discovery.tell(told)
            self.behind = max(self.behind, told.get("behind", 0))
            if self.told is not None:
                self.told({"at": self.now(), "child": id(child), **told})

    async def _outage(self, begin: int, end: int, number: int, how: str) -> None:
        program = self.programs[number]
        await asyncio.sleep((begin - self.now()) / SECOND)
        if how == "paused":
            program.signal(signal.SIGSTOP)
            await asyncio.sleep((end - self.now()) / SECOND)
            program.signal(signal.SIGCONT)
            return
        what = records.DISPATCHER_LEAVES if how == "restarted" else records.DISPATCHER_DOWN
        self.seen.add(self.now(), what, dispatcher=number)
        longest = max(g.abandon_time for g in self.e.grades) / SECOND
        await program.end(signal.SIGTERM if how == "restarted" else signal.SIGKILL, longest + 0.7)
        await asyncio.sleep(max(0.0, (end - self.now()) / SECOND))
        await program.start()
        self.seen.add(self.now(), records.DISPATCHER_UP, dispatcher=number)

    async def close(self) -> None:
        """End all that was started, whatever happened."""
        for task in self.tasks:
            if task.get_name() == OUTAGE:
                task.cancel()
        for program in self.programs:
            if program.crashed():
                self.faults.append(f"a dispatcher ended with {program.process.returncode}")  # type: ignore[union-attr]
            await program.end(signal.SIGKILL, STOP_WITHIN)
            program.log.close()
        await asyncio.gather(*(child.stop() for child in self.children))
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def play_on_sockets(e: ex.Experiment, seed: int, told: Told | None = None) -> Played:
    """One run, in real time. Raises NotStarted where a process does not come up."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="ploverspoke-testbed-") as name:
        folder = Path(name)
        stage = Stage(e, seed, folder, told)
        asyncio.run(_play(stage))
        parts = [read_records(path) for path in sorted(folder.glob("*.jsonl"))]
        events = merged([stage.seen.events, *parts])
        logs = "\n".join(path.read_text()[-2000:] for path in sorted(folder.glob("d*.log")))
    void = ""
    if stage.behind > MOST_BEHIND:
        void = f"the load generator fell behind by {write_span(stage.behind)}"
    elif stage.faults:
        void = f"{len(stage.faults)} faults, the first: {stage.faults[0]}"
    return Played(events, void, time.monotonic() - began, logs)


async def _play(stage: Stage) -> None:
    try:
        await stage.play()
    finally:
        await stage.close()
