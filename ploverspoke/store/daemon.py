"""The dispatcher as a daemon with a store: the program of `program/service.py` with a scribe.

What the replicas share of the configuration comes from the store once it is there (`store configure`); what
is a machine's own, its limits and seed, from its file.
"""

import asyncio
import gc
import json
import os
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

from ploverspoke.consensus.disk import Damaged, DiskTrouble, WrongStore
from ploverspoke.consensus.orders import ReplicaOrders, read_replica_orders
from ploverspoke.program.briefing import Briefing, address, briefing_of, read_told
from ploverspoke.program.checked import BadKey, Checked
from ploverspoke.program.exits import exit_code
from ploverspoke.program.service import Service
from ploverspoke.transport.log_lines import say

from .ledger import Configuration
from .memory import RosterMemory
from .node import CONFIGURATION, ROSTER, StoreNode
from .scribe import StoreScribe

SHARED = ("settings", "discovery")


def put_together(told: Any, shared: str, orders: ReplicaOrders, roster: Any) -> Briefing:
    """One replica's file, what the store shares, and the roster as last known. Raises BadKey."""
    listen = orders.replicas[orders.name][1]
    address(Checked({"clients": listen}, f"replicas.{orders.name}"), "clients", None)
    whole = dict(Checked(told).value)
    if shared:
        whole |= {key: value for key, value in json.loads(shared).items() if key in SHARED}
    if roster is not None and whole.get("known") is None:
        whole["known"] = roster
    return briefing_of({**whole, "listen": listen, "name": orders.name}, os.environ)


class Daemon:
    def __init__(self, orders: ReplicaOrders) -> None:
        self.orders = orders
        self.node = StoreNode(orders)
        self.shared = ""

    async def run(self, new: bool, join: str) -> None:
        read_told(os.environ)  # a bad file is told before anything is opened
        try:
            await self.node.open(new, join)
            kept = self.node.disk.kept(CONFIGURATION)
            self.shared = kept[1] if kept is not None else ""
            briefing = self.read()
            orders = briefing.orders
            scribe = StoreScribe(
                self.node, orders["repeat"], orders["repeat_group"], orders["full_may_have_run"]
            )
            self.service = Service(asyncio.get_running_loop(), briefing, scribe)
            self.service.read = self.read
            self.service.router.on_roster = RosterMemory(partial(self.node.keep, ROSTER), briefing.known).told
            scribe.on_lost = self.service.router.lead_no_more
            self.node.on_configuration = self._configured
            gc.collect()
            gc.freeze()
            await self.service.run()
        finally:
            await self.node.close()

    def read(self) -> Briefing:
        return put_together(read_told(os.environ), self.shared, self.orders, self.node.disk.kept(ROSTER))

    def _configured(self, configuration: Configuration) -> None:
        """A new version was committed: it is taken as by SIGHUP, and whole at the next start."""
        before, self.shared = self.shared, configuration.body
        try:
            self.service.take_configuration(self.read())
            say(f"store: configuration {configuration.version} is taken")
        except (BadKey, ValueError) as error:
            self.shared = before
            say(f"store: configuration {configuration.version} is not taken, the old one goes on: {error}")


def main(store: Path, new: bool = False, join: str = "") -> int:
    """Exit 0: told to end. 2: the configuration or the store cannot be used; says why."""

    def run() -> None:
        uvloop.run(Daemon(read_replica_orders(store)).run(new, join))

    return exit_code(run, WrongStore, Damaged, DiskTrouble)
