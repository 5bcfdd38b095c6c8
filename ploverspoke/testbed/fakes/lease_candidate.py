"""A lease candidate: a process that acquires leases and, while it holds them, sends effects to a resource.

`python -m ploverspoke.testbed.fakes.lease_candidate SPEC`. It runs the product's lease client. Each check of
a lease is written to a history with the time of the machine's clock. Each effect is sent to the resource with
the fencing token and the time of the check. A candidate acts for a while and then releases the lease, or
holds it until it is lost. It does not communicate with other candidates.
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

LEASE_TIMEOUT_S = 3600.0  # longest wait for a lease
RESOURCE_TIMEOUT_S = 0.5  # to connect, and to receive an answer
MEAN_HOLDING_TIME_S = 0.5  # before a release
MAX_RELEASE_PAUSE_S = 0.1  # after a release
FAULTY_DRIFT = -1.0  # with it the lease client takes a lease to last for twice its duration


class LeaseCandidateSpec(msgspec.Struct, rename={"max_effect_duration": "step", "effect_pause": "pause"}):
    """The parameters of one candidate."""

    name: str
    seed: int
    servers_file: str
    resource: str  # host:port
    history: str  # path of the history file
    leases: list[str]
    duration: int  # ns, of a lease
    max_effect_duration: int  # ns
    effect_pause: float  # seconds between two effects
    hold_share: float  # probability of holding a lease until it is lost instead of releasing it
    overestimates_duration: bool = False  # injected fault: leases are taken to last twice as long


class RecordedLeaseView:
    """A view of the leases that records the time of a check before it is made: a pause may follow it."""

    def __init__(self, client: LeaseClient) -> None:
        """Create a view of that client's leases."""
        self.client = client
        self.checked_at = 0  # ns of the machine's clock

    def time_left(self, name: str) -> int:
        """Return the nanoseconds for which the lease is certainly still held; 0 if it is not held."""
        self.checked_at = monotonic_now()
        return self.client.time_left(name)

    def token(self, name: str) -> int:
        """Return the fencing token of a lease; 0 if it is not held."""
        return self.client.token(name)


class LeaseCandidate:
    """The process: one lease client, and a connection to the resource for each lease."""

    def __init__(self, spec: LeaseCandidateSpec) -> None:
        """Create the lease client from the file of the lease servers; nothing is sent yet."""
        self.spec = spec
        self.history = History(Path(spec.history), spec.name)
        self.random = random.Random(f"{spec.seed} {spec.name} {monotonic_now()}")
        self.client = LeaseClient(read_lease_servers(Path(spec.servers_file)), spec.name)
        self.streams: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}  # by lease

    async def run(self) -> None:
        """Acquire and release the leases until cancelled."""
        await asyncio.gather(*(self._run_lease(name) for name in self.spec.leases))

    async def _run_lease(self, name: str) -> None:
        while True:
            lease = self.client.request_lease(name, self.spec.duration)
            lease.on_lost = partial(self._on_lost, name)
            token = await self.client.wait_until_held(name, LEASE_TIMEOUT_S)
            if not token:
                continue
            self.history.add("held", [name, token, self.client.time_left(name)])
            await self._act_while_held(name, token)
            self.history.add("stops", [name, token, self.client.time_left(name)])
            self.client.release(name)
            await asyncio.sleep(self.random.random() * MAX_RELEASE_PAUSE_S)

    async def _act_while_held(self, name: str, token: int) -> None:
        """Send effects until the lease is lost or the holding time has passed."""
        will_release = self.random.random() > self.spec.hold_share
        holding_time = self.random.expovariate(1 / MEAN_HOLDING_TIME_S) if will_release else float("inf")
        began_at = monotonic_now()
        while self.client.token(name) == token and (monotonic_now() - began_at) / SECOND < holding_time:
            view = RecordedLeaseView(self.client)
            step = guarded_task.GuardedStep(self.spec.max_effect_duration, partial(self._act, view, name))
            if not await guarded_task.run_guarded_steps(view, name, [step]):
                break
            await asyncio.sleep(self.spec.effect_pause)

    def _on_lost(self, name: str, reason: str) -> None:
        self.history.add("lost", [name, reason])

    async def _act(self, view: RecordedLeaseView, name: str, token: int) -> None:
        """Send one effect to the resource right after the check of the lease, and wait for the answer."""
        checked_at = view.checked_at
        if name not in self.streams or self.streams[name][1].is_closing():
            await self._connect(name)
            return  # the check of the lease is out of date by now: the next step makes a new one
        reader, writer = self.streams[name]
        self.history.add("acts", [name, token], at=checked_at)
        writer.write(f"{name} {token} {checked_at}\n".encode())
        try:
            async with asyncio.timeout(RESOURCE_TIMEOUT_S):
                answer = await reader.readline()
        except (OSError, TimeoutError):
            answer = b""
        if not answer:
            writer.close()
            del self.streams[name]

    async def _connect(self, name: str) -> None:
        host, _, port = self.spec.resource.rpartition(":")
        try:
            async with asyncio.timeout(RESOURCE_TIMEOUT_S):
                self.streams[name] = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return


async def main() -> None:
    """Run the candidate with the spec file that the command line names."""
    spec: LeaseCandidateSpec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LeaseCandidateSpec)
    if spec.overestimates_duration:
        vars(holder)["DRIFT"] = FAULTY_DRIFT
    await LeaseCandidate(spec).run()


if __name__ == "__main__":
    uvloop.run(main())
