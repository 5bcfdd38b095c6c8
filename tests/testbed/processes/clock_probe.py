"""A process that the tests of the rig start: it reports how its clocks run for each line that it receives."""

import asyncio
import json
import sys
import time

import uvloop


async def run_probe(host: str, port: int, delay: float) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    while await reader.readline():
        started_at, wall = time.monotonic_ns(), time.time()
        await asyncio.sleep(delay)
        report = {"slept": (time.monotonic_ns() - started_at) / 1e9, "wall": wall}
        writer.write(json.dumps(report).encode() + b"\n")


uvloop.run(run_probe(sys.argv[1], int(sys.argv[2]), float(sys.argv[3])))
