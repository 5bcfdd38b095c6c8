"""A process that tells who it is and how its clocks go: started by tests of the rig."""

import asyncio
import json
import sys
import time

import uvloop


async def probe(host: str, port: int, sleeps: float) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    while await reader.readline():  # each line asks
        began, wall = time.monotonic_ns(), time.time()
        await asyncio.sleep(sleeps)
        told = {"slept": (time.monotonic_ns() - began) / 1e9, "wall": wall}
        writer.write(json.dumps(told).encode() + b"\n")


uvloop.run(probe(sys.argv[1], int(sys.argv[2]), float(sys.argv[3])))
