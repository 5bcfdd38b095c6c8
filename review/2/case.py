"""Case 2: a store's leader is lost while the replicas are being restarted with a changed list of classes."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import (
    CANCEL_TRIP,
    FARE_LOOKUP,
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

RUN_SECONDS = 4.0
REQUEST_ID = "9b1f03aa5c7e2d41"


async def play(record: Record, programs: Programs, trouble: bool) -> bool:
    workers = [Worker(f"w{number}", record, 4, lambda _: RUN_SECONDS) for number in range(2)]
    for worker in workers:
        await worker.open()
    discovery = Discovery([worker.entry() for worker in workers])
    await discovery.open()
    store = Store(programs, 3)
    grades = [TRIP_LOOKUP, NEW_BOOKING, CANCEL_TRIP]
    own = write_dispatcher(programs.folder, "dispatcher.json", discovery.port, grades)
    grades = [TRIP_LOOKUP, FARE_LOOKUP, NEW_BOOKING, CANCEL_TRIP]
    changed = write_dispatcher(programs.folder, "changed.json", discovery.port, grades)
    for name in store.names:
        store.start(name, own, new=True)
    leader = await store.wait_for_all()
    record.write(f"operator: the store runs, {leader} leads")

    done = await programs.acall("store", "configure", str(store.file(leader)), str(changed))
    output = f"{done.stdout.strip()}{done.stderr.strip()}"
    record.write(f"operator: store configure, the class fare-lookup is added: {output}")
    if done.returncode:
        raise CouldNotRunError("the configuration was not committed")
    for name in store.names:
        if name != await store.leader():
            await programs.stop(name)
            store.start(name, own)
            leader = await store.wait_for_all()
            record.write(f"operator: {name} was restarted as planned (SIGTERM), {leader} leads")

    client = Client(record, store.addresses(first=leader))
    waiting = asyncio.create_task(client.submit("/new-booking", REQUEST_ID, 5000))
    for _ in range(100):
        if any(worker.runs for worker in workers):
            break
        await asyncio.sleep(0.05)
    else:
        raise CouldNotRunError("the request reached no worker")
    await asyncio.sleep(1)
    if trouble:
        record.write(f"trouble: {leader}, the leader, is killed")
        programs.kill(leader)
    answer = await waiting
    await asyncio.sleep(RUN_SECONDS + 1)
    runs = [worker.name for worker in workers for run in worker.runs if run == REQUEST_ID]
    places = ", ".join(runs)
    record.write(f"check: {REQUEST_ID}, single_shot, class new-booking, ran {len(runs)} time(s), at {places}")
    if answer is None:
        raise CouldNotRunError("the client got no answer")
    return len(runs) <= 1


run_case(__file__, play)
