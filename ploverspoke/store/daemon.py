"""The dispatcher as a daemon with a store: the program of `program/service.py` with a scribe."""

import asyncio
import gc
import os
import sys
from pathlib import Path

import uvloop

from ploverspoke.program.briefing import address, read_briefing
from ploverspoke.program.checked import BadKey, Checked
from ploverspoke.program.service import Service

from .disk import Damaged, DiskTrouble, WrongStore
from .node import Node
from .orders import read_store_orders
from .scribe import StoreScribe


async def _run(store: Path, new: bool, join: str) -> None:
    orders = read_store_orders(store)
    briefing = read_briefing(os.environ)
    clients = orders.replicas[orders.name][1]
    listen = address(Checked({"clients": clients}, f"replicas.{orders.name}"), "clients", None)
    briefing = briefing._replace(listen=listen, name=orders.name)
    node = Node(orders)
    try:
        await node.open(new, join)
        scribe = StoreScribe(node, briefing.orders["repeat"], briefing.orders["repeat_group"])
        service = Service(asyncio.get_running_loop(), briefing, scribe)
        scribe.on_lost = service.router.lead_no_more
        gc.collect()
        gc.freeze()
        await service.run()
    finally:
        await node.close()


def main(store: Path, new: bool = False, join: str = "") -> int:
    """Exit 0: told to end. 2: the configuration or the store cannot be used; says why."""
    try:
        uvloop.run(_run(store, new, join))
    except (BadKey, WrongStore, Damaged, DiskTrouble) as error:
        print(f"ploverspoke: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"ploverspoke: listen: {error}", file=sys.stderr)
        return 2
    return 0
