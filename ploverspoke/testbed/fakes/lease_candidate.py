"""A lease candidate: a process that wants leases and acts under them on a resource.

`python -m ploverspoke.testbed.fakes.lease_candidate SPEC`. It runs the product's lease client. Each look at a
lease goes to a history on the machine's clock; each effect goes to the resource with the fencing token and
the time of the look. It acts for a while, then releases the lease or goes on, and knows nothing of others.
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

from ..experiment_files.durations import SECOND
from ..processes.history import History, monotonic_now

WAIT_TIMEOUT = 3600.0  # seconds, for a lease
RESOURCE_TIMEOUT = 0.5  # seconds, to connect and to be answered
MEAN_HOLDING_TIME = 0.5  # seconds, of those who release
MAX_PAUSE = 0.1  # seconds, after a release
DRIFT_OF_FAULT = -1.0  # by which a lease seems to last for twice its duration


class LeaseCandidateSpec(msgspec.Struct):
    """What one candidate does."""

    name: str
    seed: int
    servers_file: str
    resource: str  # address
    history: str  # file
    leases: list[str]
    duration: int  # of a lease, ns
    step: int  # ns that an effect may take
    pause: float  # seconds between two effects
    hold_share: float  # probability of holding a lease for good, rather than releasing it after a while
    overestimates_duration: bool = False  # a planted fault: leases are believed to last for twice their time


class RecordedLeaseView:
    """A view of the leases that notes when it was looked at, just before: a pause may follow."""

    def __init__(self, client: LeaseClient) -> None:
        """A view of that client's leases."""
        self.client = client
        self.looked_at = 0  # ns of the machine's clock

    def time_left(self, name: str) -> int:
        """Return nanoseconds for which the lease is certainly held; 0 where it is not."""
        self.looked_at = monotonic_now()
        return self.client.time_left(name)

    def token(self, name: str) -> int:
        """Return the fencing token of a lease that is held now; 0 where it is not."""
        return self.client.token(name)


class LeaseCandidate:
    """The process: one lease client, and a connection to the resource for each lease."""

    def __init__(self, spec: LeaseCandidateSpec) -> None:
        """Read the file of the lease servers; nothing is sent yet."""
        self.spec = spec
        self.history = History(Path(spec.history), spec.name)
        self.random = random.Random(f"{spec.seed} {spec.name} {monotonic_now()}")
        self.client = LeaseClient(read_lease_servers(Path(spec.servers_file)), spec.name)
        self.streams: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}  # by lease

    async def run(self) -> None:
        """Acquire and release the leases, forever."""
        await asyncio.gather(*(self._run_lease(name) for name in self.spec.leases))

    async def _run_lease(self, name: str) -> None:
        while True:
            lease = self.client.request_lease(name, self.spec.duration)
            lease.on_lost = partial(self._on_lost, name)
            token = await self.client.wait_until_held(name, WAIT_TIMEOUT)
            if not token:
                continue
            self.history.add("held", [name, token, self.client.time_left(name)])
            await self._act_while_held(name, token)
            self.history.add("stops", [name, token, self.client.time_left(name)])
            self.client.release(name)
            await asyncio.sleep(self.random.random() * MAX_PAUSE)

    async def _act_while_held(self, name: str, token: int) -> None:
        """Act under the lease until it is lost, or until this candidate has had it for long enough."""
        releases = self.random.random() > self.spec.hold_share
        holding_time = self.random.expovariate(1 / MEAN_HOLDING_TIME) if releases else float("inf")
        began_at = monotonic_now()
        while self.client.token(name) == token and (monotonic_now() - began_at) / SECOND < holding_time:
            view = RecordedLeaseView(self.client)
            step = guarded_task.GuardedStep(self.spec.step, partial(self._act, view, name))
            if not await guarded_task.run_guarded_steps(view, name, [step]):
                break
            await asyncio.sleep(self.spec.pause)

    def _on_lost(self, name: str, reason: str) -> None:
        self.history.add("lost", [name, reason])

    async def _act(self, view: RecordedLeaseView, name: str, token: int) -> None:
        """Send one effect to the resource, at once after the look, and wait for the answer."""
        looked_at = view.looked_at
        if name not in self.streams or self.streams[name][1].is_closing():
            await self._connect(name)
            return  # the look is old by now: the next step has its own
        reader, writer = self.streams[name]
        self.history.add("acts", [name, token], at=looked_at)
        writer.write(f"{name} {token} {looked_at}\n".encode())
        try:
            async with asyncio.timeout(RESOURCE_TIMEOUT):
                answer = await reader.readline()
        except (OSError, TimeoutError):
            answer = b""
        if not answer:
            writer.close()
            del self.streams[name]

    async def _connect(self, name: str) -> None:
        host, _, port = self.spec.resource.rpartition(":")
        try:
            async with asyncio.timeout(RESOURCE_TIMEOUT):
                self.streams[name] = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return


async def main() -> None:
    """Run the candidate whose spec the command line names."""
    spec: LeaseCandidateSpec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LeaseCandidateSpec)
    if spec.overestimates_duration:
        vars(holder)["DRIFT"] = DRIFT_OF_FAULT
    await LeaseCandidate(spec).run()


if __name__ == "__main__":
    uvloop.run(main())
