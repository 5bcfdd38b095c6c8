"""Case 3: a request that waits while the store's leader is lost is rejected in the store, and runs later."""

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

LONG_ID, REQUEST_ID, RETRY_ID = "1000000000000001", "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"
LONG_SECONDS, SHORT_SECONDS = 4.65, 0.3
CLIENT_TIMEOUT_MS = 4000
KILL_AFTER_S = 2.4


async def play(record: Record, programs: Programs, trouble: bool) -> bool:
    durations = {LONG_ID: LONG_SECONDS}
    worker = Worker("w0", record, 1, lambda request_id: durations.get(request_id, SHORT_SECONDS))
    await worker.open()
    discovery = Discovery([worker.entry()])
    await discovery.open()
    store = Store(programs, 3)
    grades = [TRIP_LOOKUP, NEW_BOOKING, CANCEL_TRIP]
    own = write_dispatcher(programs.folder, "dispatcher.json", discovery.port, grades)
    for name in store.names:
        store.start(name, own, new=True)
    leader = await store.wait_for_all()
    record.write(f"operator: the store runs, {leader} leads")
    client = Client(record, store.addresses(first=leader))

    long_task = asyncio.create_task(client.submit("/new-booking", LONG_ID, 7500, b"seats=40"))
    for _ in range(100):
        if worker.runs:
            break
        await asyncio.sleep(0.05)
    else:
        raise CouldNotRunError("the long request reached no worker")
    await asyncio.sleep(0.3)
    task = asyncio.create_task(client.submit("/new-booking", REQUEST_ID, CLIENT_TIMEOUT_MS))
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        record.write(f"trouble: {leader}, the leader, is killed")
        programs.kill(leader)
    answer = await task
    if answer is None:
        raise CouldNotRunError("the client got no answer")
    if answer.status in (429, 503):
        # A refusal says that trying again is harmless, so the client does, with a new id.
        await client.submit("/new-booking", RETRY_ID, CLIENT_TIMEOUT_MS)
    await long_task
    await asyncio.sleep(1)
    runs = worker.runs.count(REQUEST_ID)
    was_refused = answer.status in (429, 503)
    record.write(f"check: {REQUEST_ID} (single_shot) was answered {answer.status} and ran {runs} time(s)")
    record.write(f"check: the client's retry {RETRY_ID} ran {worker.runs.count(RETRY_ID)} time(s)")
    return not (was_refused and runs) and runs <= 1


run_case(__file__, play)
