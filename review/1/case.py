"""Case 1: a follower of a store was away for some seconds; once it is back, the store stops answering."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import (
    CANCEL_TRIP,
    NEW_BOOKING,
    TRIP_LOOKUP,
    Client,
    CouldNotRunError,
    Discovery,
    Programs,
    Record,
    Store,
    Worker,
    run_case,
    write_dispatcher,
)

RESULT = "trip;" * 4800  # 24,000 bytes; a body may have 64 KiB
REQUESTS_PER_SECOND = 50
CLIENT_TIMEOUT_MS = 5000  # the class's AbandonTimeUs
GIVE_UP_AFTER_S = 5.5  # half a second after its time at the latest, then a request is lost
CALM_SECONDS = 2.0
AWAY_SECONDS = 8.0
WATCHED_SECONDS = 12.0


class Load:
    """Clients that send a look-up each, at a steady rate, and count the answers."""

    def __init__(self, client: Client) -> None:
        self.client = client
        self.tasks: list[asyncio.Task[None]] = []
        self.sent = self.answered = 0
        self.unanswered: list[str] = []
        self.is_on = True

    async def run(self) -> None:
        while self.is_on:
            self.sent += 1
            self.tasks.append(asyncio.create_task(self._one(f"{self.sent:016x}")))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        await asyncio.gather(*self.tasks)

    async def _one(self, request_id: str) -> None:
        answer = await self.client.submit(
            "/trip-lookup", request_id, CLIENT_TIMEOUT_MS, give_up_after=GIVE_UP_AFTER_S
        )
        if answer is None:
            self.unanswered.append(request_id)
        else:
            self.answered += 1

    def __str__(self) -> str:
        return f"sent={self.sent} answered={self.answered} given up without an answer={len(self.unanswered)}"


async def play(record: Record, programs: Programs, trouble: bool) -> bool:
    workers = [Worker(f"w{number}", record, 64, lambda _: 0.02) for number in range(3)]
    for worker in workers:
        await worker.open()
        worker.usual_result = RESULT
        worker.is_quiet = True
    discovery = Discovery([worker.entry() for worker in workers])
    await discovery.open()
    store = Store(programs, 3)
    own = write_dispatcher(
        programs.folder, "dispatcher.json", discovery.port, [TRIP_LOOKUP, NEW_BOOKING, CANCEL_TRIP]
    )
    for name in store.names:
        store.start(name, own, new=True)
    leader = await store.wait_for_all()
    record.write(f"operator: the store runs, {leader} leads")
    client = Client(record, store.addresses(first=leader))
    client.is_quiet = True
    load = Load(client)
    running = asyncio.create_task(load.run())
    await asyncio.sleep(CALM_SECONDS)
    record.write(f"clients: {load}")
    if not load.answered or load.unanswered:
        raise CouldNotRunError("the store does not serve before the trouble")
    follower = next(name for name in store.names if name != leader)
    if trouble:
        record.write(f"trouble: {follower}, a follower, is killed")
        programs.kill(follower)
    await asyncio.sleep(AWAY_SECONDS)
    record.write(f"clients: {load}")
    if load.unanswered:
        raise CouldNotRunError("the store does not serve without one of three")
    if trouble:
        record.write(f"operator: {follower} is started again")
        store.start(follower, own)
    for _ in range(4):
        await asyncio.sleep(WATCHED_SECONDS / 4)
        record.write(f"clients: {load}")
    load.is_on = False
    await running
    record.write(f"check: {load}")
    return not load.unanswered


run_case(__file__, play)
