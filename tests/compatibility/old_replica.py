"""Runs one store replica of an older build as a process, and reports its state.

Started with that build's package on PYTHONPATH, so it uses only what that build had. It reads one JSON call a
line from standard input, and answers each with one line.
"""

import asyncio
import json
import sys
from pathlib import Path

import uvloop

import ploverspoke
from ploverspoke.consensus.cluster_config import read_replica_config
from ploverspoke.store.node import StoreNode


async def call(node: StoreNode, name: str, argument: object) -> object:
    if name == "propose":
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        node.propose(argument, future.set_result)  # type: ignore[arg-type]
        return await future
    if name == "transfer":
        return node.transfer_leadership(str(argument))
    return {
        "package": ploverspoke.__file__,
        "leads": node.leads(),
        "open": {key: len(request.attempts) for key, request in node.requests.open_requests.items()},
        "answered": {key: answer.result for key, answer in node.requests.answered.items()},
        "snapshot": node.replica.raft.log.snapshot_index if node.replica is not None else 0,
    }


async def main() -> None:
    node = StoreNode(read_replica_config(Path(sys.argv[1])))
    await node.open(new=sys.argv[2] == "new")
    while True:
        line = await asyncio.to_thread(sys.stdin.readline)
        if not line:
            break
        print(json.dumps(await call(node, *json.loads(line))), flush=True)
    await node.close()


uvloop.run(main())
