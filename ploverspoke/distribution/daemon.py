"""The dispatcher with a watch: the program of `program/service.py`, its configuration laid over by versions.

What is in force is the dispatcher's own file with the last version laid on that passed the same checks as a
file does. Where none did, or no server was ever heard, the file alone.
"""

import asyncio
import gc
import os
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

from ploverspoke.program.briefing import Briefing, briefing_of, read_told
from ploverspoke.program.checked import BadKey, first_missing
from ploverspoke.program.early import hold_signals
from ploverspoke.program.exits import exit_code
from ploverspoke.program.neighbours import Neighbours
from ploverspoke.program.passed import passed_socket
from ploverspoke.program.service import Service
from ploverspoke.protocol import operators
from ploverspoke.transport.log_lines import say

from .client import WatchClient, read_cache
from .orders import WatchOrders, read_watch_orders
from .overlay import lay_on, read_body
from .parcels import LONGEST_NAME, is_name
from .watch import NOTHING, Taken


def put_together(own: Any, body: str, environment: Mapping[str, str]) -> Briefing:
    """A dispatcher's own configuration with a version's body laid on ("": none). Raises BadKey."""
    return briefing_of(lay_on(own, read_body(body)) if body else own, environment)


def without_list(own: Mapping[str, Any]) -> dict[str, Any]:
    """A configuration without the list of workers, as a briefing keeps it."""
    return {key: value for key, value in own.items() if key != "known"}


def first_briefing(own: Any, orders: WatchOrders, environment: Mapping[str, str]) -> tuple[Briefing, Taken]:
    """At start: the file with the version of the cache, or the file alone, and it is said. Raises BadKey."""
    alone = put_together(own, "", environment)
    taken, why = read_cache(orders)
    if taken is not NOTHING:
        try:
            briefing = put_together(own, taken.body, environment)
            say(f"config: version {taken.number} in force ({taken.digest.hex()[:16]}), from the cache")
            return briefing, taken
        except ValueError as error:
            why = f"version {taken.number}: {error}"
    say(f"config: no version in force, the file alone{': the cache is of no use: ' + why if why else ''}")
    return alone, NOTHING


class Laying:
    """Lays versions on one service's own configuration."""

    def __init__(
        self,
        service: Service,
        own: Any,
        read_own: Callable[[], Any],
        taken: Taken,
        environment: Mapping[str, str],
    ) -> None:
        self.service = service
        self.own = own
        self.read_own = read_own
        self.body = taken.body
        self.environment = environment

    def take(self, number: int, body: str) -> str:
        """Why it is not in force, or "": then it is. A refused one changes nothing.

        What the file has may not be missing. What only an earlier version has brought may: else none could
        be rolled back that has added a key.
        """
        service, before = self.service, self.service.briefing
        try:
            new = put_together(self.own, body, self.environment)
            service.briefing = before._replace(told=without_list(self.own))
            service.take_configuration(new)
        except Exception as error:
            service.briefing = before
            if isinstance(error, ValueError):
                return str(error)
            raise
        service.briefing = service.briefing._replace(told=new.told)
        self.body = body
        return ""

    def read(self) -> Briefing:
        """At SIGHUP: the file again, the version in force laid on. Raises BadKey."""
        own = self.read_own()
        briefing = put_together(own, self.body, self.environment)
        missing = first_missing(self.service.briefing.told, briefing.told)
        if missing is not None:
            raise BadKey(f"{missing} is missing: the configuration in force has it")
        self.own = own  # only what will be taken: the versions after it rest on it
        return briefing


def attach(
    service: Service,
    orders: WatchOrders,
    own: Any,
    *,
    read_own: Callable[[], Any] | None = None,
    taken: Taken = NOTHING,
    seed: int | None = None,
    environment: Mapping[str, str] | None = None,
    begin: bool = True,
) -> WatchClient:
    """Watches for a service that was built from `own` with `taken` laid on. Nothing is global: many may live
    in one loop, each with a cache of its own.

    `read_own` gives its configuration anew at SIGHUP; by default it stays what it was. `seed` is of the
    watch's chance.
    """
    if not is_name(service.briefing.name):
        raise BadKey(
            f"name is {service.briefing.name!r}: config servers expect 1 to {LONGEST_NAME} characters"
        )
    read = read_own if read_own is not None else lambda: own
    laying = Laying(service, own, read, taken, environment if environment is not None else {})
    client = WatchClient(service.loop, orders, service.briefing.name, laying.take, taken, seed)
    service.read = laying.read
    service.operators.calls["config"] = partial(answer, client)
    if begin:
        client.begin()
    return client


def answer(client: WatchClient) -> bytes:
    """To `config` at the operators' door."""
    watch = client.watch
    if watch.reason:
        return operators.said_no(f"version {watch.came.number} refused: {watch.reason}")
    lines = [operators.figure(key, value) for key, value in client.figures().items()]
    return operators.said_yes(f"version {watch.in_force} in force") + operators.figures(lines)[len("+OK\n") :]


def _run(watch_file: Path) -> None:
    orders = read_watch_orders(watch_file)
    own = read_told(os.environ)
    briefing, taken = first_briefing(own, orders, os.environ)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    service = Service(loop, briefing)
    service.listening = passed_socket(os.environ)
    if service.listening is not None:
        service.neighbours = Neighbours(os.environ.get("TMPDIR"))
    client = attach(
        service,
        orders,
        own,
        read_own=partial(read_told, os.environ),
        taken=taken,
        environment=os.environ,
        begin=False,
    )
    service.on_ready = client.begin
    gc.collect()
    gc.freeze()
    loop.run_until_complete(service.run())
    client.close()


def main(watch_file: Path) -> int:
    """Exit 0: told to end. 2: the configuration or the watch's file cannot be used; says why."""
    hold_signals()
    return exit_code(partial(_run, watch_file))
