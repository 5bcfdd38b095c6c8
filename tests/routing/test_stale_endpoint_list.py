"""No new attempt goes to a draining worker, whatever kept its dispatcher from receiving the drain.

What users saw: a request was tried at two workers that had been draining for 7.8 s, and then rejected. In
that case both refused it; one that does not refuse by itself would have been given work while it stopped.

Order of events: in a fleet of 177 dispatchers a new configuration moved discovery; the old watch was closed
with a drain not yet delivered. The one call at the new address was rejected (503), as many dispatchers called
at once. The next call came up to 7.5 s later. Until then the dispatcher went on with the list that it had.

Cause: the backoff after a rejection (the time that the calls of the whole fleet take, 5 s, and half of it
more by chance) had no bound that counted from the last answer, and nothing kept requests from workers of
which nothing had been heard for too long.

Evidence: in the log one rejected call after the move and no further call for 6 s; discovery wrote no list
after the one from before the drain. Replayed here, the log says "next call in 7.47 s" after the rejection,
and requests reach the draining worker until then.
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
BINDING_DELAY = 6.0  # seconds until a change is binding
GRACE = 0.55  # seconds after that, with a tolerance for sockets
FLEET_SIZE = 177
# With these the longest backoffs after a rejection were drawn.
SEEDS = (12, 88, 115, 142)


async def exchange(port: int, request: bytes) -> int:
    """The status of the answer; 0 where there was none."""
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
            await asyncio.gather(*(each.start() for each in dispatchers))
            await wait_until_called_by_all(before, len(SEEDS))
            after.outage = Failure.REJECTED
            for number, dispatcher in enumerate(dispatchers):
                dispatcher.move_discovery(await after.address_for(number))
            await wait_until_called_by_all(after, len(SEEDS))
            after.outage = None
            after.change("w0", "Terminating")
            binding_at = loop.time() + BINDING_DELAY
            await asyncio.sleep(binding_at + GRACE - loop.time())
            harness.sent.clear()
            statuses = await send_requests_until(dispatchers, harness, binding_at + GRACE + 1.0)
        finally:
            await asyncio.gather(*(each.kill() for each in dispatchers))
            for discovery in (before, after):
                discovery.close()
            harness.close_servers()
        logs = "\n".join(each.log.read_text() for each in dispatchers)
        assert "rejected, answered 503" in logs and "next call in" in logs, logs
        assert len(statuses) > 50 * len(SEEDS) and statuses.count(200) > len(statuses) * 0.9
        assert {worker for worker, _ in harness.sent} == {"w1"}, logs

    uvloop.run(run())


async def send_requests_until(
    dispatchers: list[DispatcherProcess], harness: ServiceHarness, end: float
) -> list[int]:
    """Send requests to each dispatcher at intervals, up to that time of the loop's clock."""
    loop, tasks, number = asyncio.get_running_loop(), list[asyncio.Task[int]](), 0
    while loop.time() < end:
        number += 1
        for index, each in enumerate(dispatchers):
            request = harness.request(f"r{index}-{number}")
            tasks.append(loop.create_task(exchange(each.port, request)))
        await asyncio.sleep(0.01)
    return list(await asyncio.gather(*tasks))
