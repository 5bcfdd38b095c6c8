"""A process that wants leases and acts under them on a resource: what a fleet's process would do.

`contender SPEC`, started by the rig. It writes each look at its lease, and what it believes to have, to a
history of its own on the machine's clock; its effects go to the resource with the token and the time of the
look. It acts for a while, releases or goes on, and is never told what others do.
"""

import asyncio
import random
import sys
from functools import partial
from pathlib import Path

import msgspec
import uvloop

from ploverspoke.leases import guarded_task, holder
from ploverspoke.leases.client import LeaseClient
from ploverspoke.leases.config import read_lease_servers

from ..processes.history import History, monotonic_now

WAITS_AT_MOST = 3600.0  # seconds, for a lease
REACHES_WITHIN = 0.5


class Spec(msgspec.Struct):
    name: str
    seed: int
    keepers: str  # file
    resource: str  # address
    history: str
    leases: list[str]
    duration: int  # ns
    step: int  # ns that an effect may take
    rest: float  # seconds between two effects
    keeps: float  # chance to go on for good, rather than to release after a while
    outlasts: bool = False  # a planted fault: it believes a lease to last for twice its duration


class Looks:
    """Notes when the lease was looked at, on the machine's clock: just before, as a pause may come after."""

    def __init__(self, client: LeaseClient) -> None:
        self.client = client
        self.at = 0

    def time_left(self, name: str) -> int:
        self.at = monotonic_now()
        return self.client.time_left(name)

    def token(self, name: str) -> int:
        return self.client.token(name)


class Contender:
    def __init__(self, spec: Spec) -> None:
        self.spec = spec
        self.history = History(Path(spec.history), spec.name)
        self.chance = random.Random(f"{spec.seed} {spec.name} {monotonic_now()}")
        self.client = LeaseClient(read_lease_servers(Path(spec.keepers)), spec.name)
        self.streams: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}  # by lease

    async def run(self) -> None:
        await asyncio.gather(*(self.contend(name) for name in self.spec.leases))

    async def contend(self, name: str) -> None:
        spec, client = self.spec, self.client
        while True:
            lease = client.want(name, spec.duration)
            lease.on_lost = partial(self.lost, name)
            token = await client.wait_until_held(name, WAITS_AT_MOST)
            if not token:
                continue
            self.history.add("held", [name, token, client.time_left(name)])
            until = self.chance.expovariate(1 / 0.5) if self.chance.random() > spec.keeps else float("inf")
            began = monotonic_now()
            while client.token(name) == token and (monotonic_now() - began) / 1e9 < until:
                looks = Looks(client)
                step = guarded_task.GuardedStep(spec.step, partial(self.effect, looks, name))
                if not await guarded_task.run_guarded_steps(looks, name, [step]):
                    break
                await asyncio.sleep(spec.rest)
            self.history.add("stops", [name, token, client.time_left(name)])
            client.release(name)
            await asyncio.sleep(self.chance.random() * 0.1)

    def lost(self, name: str, why: str) -> None:
        self.history.add("lost", [name, why])

    async def effect(self, looks: "Looks", name: str, token: int) -> None:
        """One effect on the resource. It is sent at once after the look; the answer is waited for."""
        looked = looks.at
        if name not in self.streams or self.streams[name][1].is_closing():
            host, _, port = self.spec.resource.rpartition(":")
            try:
                async with asyncio.timeout(REACHES_WITHIN):
                    self.streams[name] = await asyncio.open_connection(host, int(port))
            except (OSError, TimeoutError):
                return
            return  # the look is old by now: the next step has its own
        reader, writer = self.streams[name]
        self.history.add("acts", [name, token], at=looked)
        writer.write(f"{name} {token} {looked}\n".encode())
        try:
            async with asyncio.timeout(REACHES_WITHIN):
                answer = await reader.readline()
        except (OSError, TimeoutError):
            answer = b""
        if not answer:
            writer.close()
            del self.streams[name]


async def live(spec: Spec) -> None:
    if spec.outlasts:
        vars(holder)["DRIFT"] = -1.0
    await Contender(spec).run()


if __name__ == "__main__":
    uvloop.run(live(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Spec)))
