"""No new attempt goes to a draining worker, whatever kept its dispatcher from receiving the drain.

Observed failure: a request was tried at two workers that had been draining for 7.8 s, and then rejected. Both
workers refused the attempts; a worker that does not refuse them would have received work while it stopped.

Order of events: in a fleet of 177 dispatchers a new configuration changed the address of discovery. The old
watch was closed before it had delivered a drain. The only call to the new address was rejected (503), as many
dispatchers called at once, and the next call came up to 7.5 s later. Until then the dispatcher used the list
that it had.

Cause: the backoff after a rejection (5 s, the time that the calls of the whole fleet take, plus up to half of
it at random) had no limit counted from the last answer, and nothing kept requests from workers about which
no news had arrived for too long.

Evidence: the log showed one rejected call after the change of address and no further call for 6 s; discovery
sent no list after the one from before the drain. In this test the same fault logs "next call in 7.47 s" after
the rejection, and requests reach the draining worker until then.
"""

import asyncio
import contextlib
from pathlib import Path

import msgspec
import uvloop

from ploverspoke.testbed.fakes.discovery_protocol import ListedEndpoint
from ploverspoke.testbed.fakes.faulty_discovery import Failure, ScriptedDiscovery
from ploverspoke.testbed.processes.dispatcher_process import DispatcherProcess
from tests.routing.harness import ServiceHarness
from tests.routing.http_messages import read_message

RUNS_LONG = True  # scheduled first: see tests/conftest.py
BINDING_DELAY_S = 6.0  # until a change is binding
GRACE_S = 0.55  # after the binding delay, with a tolerance for sockets
FLEET_SIZE = 177
# These seeds drew the longest backoffs after a rejection.
SEEDS = (12, 88, 115, 142)


async def exchange(port: int, request: bytes) -> int:
    """Return the status of the response, or 0 if there was none."""
    with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        first, _, _ = await asyncio.wait_for(read_message(reader), 5)
        writer.close()
        return int(first.split()[1])
    return 0


async def wait_until_called_by_all(discovery: ScriptedDiscovery, count: int) -> None:
    async with asyncio.timeout(20):
        while len({call.dispatcher for call in discovery.calls}) < count:
            await asyncio.sleep(0.005)


def test_drain_is_respected_after_discovery_moved_and_rejected_the_first_call(tmp_path: Path) -> None:
    async def run() -> None:
        loop, harness = asyncio.get_running_loop(), ServiceHarness()
        await harness.start_workers_and_discovery(2)
        listed = msgspec.convert(harness.entries, list[ListedEndpoint])
        before, after = ScriptedDiscovery(listed), ScriptedDiscovery(listed)
        dispatchers = [
            DispatcherProcess(tmp_path, number, await before.address_for(number), seed, PeersTotal=FLEET_SIZE)
            for number, seed in enumerate(SEEDS)
        ]
        try:
            await asyncio.gather(*(dispatcher.start() for dispatcher in dispatchers))
            await wait_until_called_by_all(before, len(SEEDS))
            after.outage = Failure.REJECTED
            for number, dispatcher in enumerate(dispatchers):
                dispatcher.change_discovery_address(await after.address_for(number))
            await wait_until_called_by_all(after, len(SEEDS))
            after.outage = None
            after.set_worker_state("w0", "Terminating")
            binding_at = loop.time() + BINDING_DELAY_S
            await asyncio.sleep(binding_at + GRACE_S - loop.time())
            harness.sent.clear()
            statuses = await send_requests_until(dispatchers, harness, binding_at + GRACE_S + 1.0)
        finally:
            await asyncio.gather(*(dispatcher.kill() for dispatcher in dispatchers))
            for discovery in (before, after):
                discovery.close()
            harness.close_servers()
        logs = "\n".join(dispatcher.log.read_text() for dispatcher in dispatchers)
        assert "rejected, answered 503" in logs and "next call in" in logs, logs
        assert len(statuses) > 50 * len(SEEDS) and statuses.count(200) > len(statuses) * 0.9
        assert {worker for worker, _ in harness.sent} == {"w1"}, logs

    uvloop.run(run())


async def send_requests_until(
    dispatchers: list[DispatcherProcess], harness: ServiceHarness, end: float
) -> list[int]:
    """Send requests to each dispatcher at intervals until `end`, by the clock of the event loop."""
    loop, tasks, number = asyncio.get_running_loop(), list[asyncio.Task[int]](), 0
    while loop.time() < end:
        number += 1
        for index, dispatcher in enumerate(dispatchers):
            request = harness.request(f"r{index}-{number}")
            tasks.append(loop.create_task(exchange(dispatcher.port, request)))
        await asyncio.sleep(0.01)
    return list(await asyncio.gather(*tasks))
