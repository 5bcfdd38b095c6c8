"""The running program: start, signals, end."""

import asyncio
import gc
import os
import resource
import signal
import socket
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import NamedTuple

import uvloop

from ploverspoke.decisions.settings import Settings
from ploverspoke.protocol.discovery import parse_endpoint_list
from ploverspoke.routing.active_settings import ActiveSettings
from ploverspoke.routing.admin_server import AdminServer
from ploverspoke.routing.client_server import ClientServer
from ploverspoke.routing.load_gossip import GossipSocket
from ploverspoke.routing.request_log import RequestLog
from ploverspoke.routing.router import Router
from ploverspoke.transport.connection_pool import ConnectionPool, max_idle_time_for
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.resource_limits import split_resources
from ploverspoke.transport.units import MILLISECOND, SECOND

from .config import Config, read_config
from .config_reader import ConfigError, first_missing_key
from .exit_codes import run_with_exit_code
from .handover import ProcessRegistry
from .inherited_socket import inherited_socket
from .startup import BLOCKED_SIGNALS, block_signals

STILL_COMING = 700 * MILLISECOND  # after the signal to end, connections may go on coming for so long
LONGEST_TO_FINISH = 3 * SECOND  # then what was taken has the longest abandon time to end in, but no more
HANDED_OVER = 600 * MILLISECOND  # so long clients go on here where another process has the socket
LOOK_EVERY = 20 * MILLISECOND
LIST_WITHIN = 1500 * MILLISECOND  # for discovery's first answer, where another process serves meanwhile
NEIGHBOURS_EVERY = 250 * MILLISECOND
NO_PEERS = "messages are permitted and cannot be sent: the configuration has no addresses (peers)"


class Service:
    def __init__(
        self, loop: asyncio.AbstractEventLoop, briefing: Config, scribe: RequestLog | None = None
    ) -> None:
        self.loop = loop
        self.briefing = briefing
        self.read: Callable[[], Config] = partial(
            read_config, os.environ
        )  # where a new configuration comes from
        self.deadlines = Deadlines(loop)
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        told = briefing.sockets
        self.sockets = told if allowed == resource.RLIM_INFINITY else min(told, allowed)
        self.processes = 1  # of this dispatcher, with us
        shares = split_resources(self.sockets, briefing.memory)
        settings = briefing.settings
        self.pool = ConnectionPool(
            loop,
            self.deadlines,
            shares.worker_connections,
            settings.idle_timeout,
            settings.connect_timeout,
        )
        self.router = Router(
            self.deadlines,
            self.pool,
            briefing.discovery,
            briefing.seed,
            ActiveSettings(settings, briefing.names),
            scribe,
        )
        if briefing.peers:
            own = settings.dispatcher_index
            self.router.load_gossip = GossipSocket(
                briefing.peers, own, self.router.known_workers, self.router.on_gossip
            )
        self.door = ClientServer(
            loop, self.deadlines, self.router, shares.client_connections, shares.buffered_bytes
        )
        self.operators = AdminServer(loop, self.deadlines, self.door, self.router)
        self.leaving_since = 0
        self.listening: socket.socket | None = None  # inherited, in place of one of its own
        self.neighbours = ProcessRegistry(None)
        self.on_ready: Callable[[], None] = lambda: None
        self.over = asyncio.Event()

    async def run(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self._leave)
        self.loop.add_signal_handler(signal.SIGHUP, self._read_again)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
        if self.briefing.admin is not None:
            self.operators.listener.open(*self.briefing.admin)
        if self.neighbours.enter():
            self._look_at_neighbours()
        if self.router.load_gossip is not None:
            await self.router.load_gossip.open(self.loop)
        elif self.briefing.cannot_tell:
            log_line(NO_PEERS)
        replaces = self.processes > 1
        document = self.briefing.known
        known = None if document is None else parse_endpoint_list(dict(document))
        self.router.start(known, resume=not replaces)
        if replaces:
            await self._list_came()
        if not self.leaving_since:
            if self.listening is not None:
                self.door.listener.adopt(self.listening)
            else:
                self.door.listener.open(*self.briefing.listen)
            log_line(f"{self.briefing.name} serves at {':'.join(map(str, self.briefing.listen))}")
            self.on_ready()
        await self.over.wait()
        self.neighbours.leave()

    async def _list_came(self) -> None:
        """Who replaces another need not guess: that one serves until we say that we do."""
        until = self.deadlines.now() + LIST_WITHIN
        while (
            not self.router.endpoints.lists_received
            and self.deadlines.now() < until
            and not self.leaving_since
        ):
            await asyncio.sleep(LOOK_EVERY / SECOND)

    def _look_at_neighbours(self) -> None:
        """To limits we are one dispatcher, however many processes are there for the moment."""
        processes = 1 + self.neighbours.others()
        if processes != self.processes:
            log_line(f"processes={processes}: each has its part of the descriptors and of the memory")
            self.processes = processes
            shares = split_resources(self.sockets, self.briefing.memory, processes)
            self.pool.resize(shares.worker_connections)
            self.door.max_sessions, self.door.max_buffered_bytes = (
                shares.client_connections,
                shares.buffered_bytes,
            )
        self.deadlines.schedule(self.deadlines.now() + NEIGHBOURS_EVERY, self._look_at_neighbours)

    # ---- A new configuration ----

    def _read_again(self) -> None:
        """A new configuration, read whole before anything changes: a bad one leaves all as it is."""
        try:
            self.take_configuration(self.read())
            self.router.counters.configs_accepted += 1
        except ConfigError as error:
            self.router.counters.configs_invalid += 1
            log_line(f"new configuration not taken, the old one goes on: {error}")

    def take_configuration(self, new: Config) -> None:
        """Raises ConfigError, with nothing changed, where it lacks what the one in force has."""
        old = self.briefing
        if self.router.load_gossip is None:
            # Addresses wait for the next start, and so do messages.
            new = new._replace(settings=replace(new.settings, gossip_allowed=False))
        missing = first_missing_key(old.document, new.document)
        if missing is not None:
            raise ConfigError(f"{missing} is missing: the configuration in force has it")
        differ = new.settings != old.settings or new.names != old.names
        for key, changed in (
            ("name", new.name != old.name),
            ("listen", new.listen != old.listen),
            ("admin_addr", new.admin != old.admin),
            ("peers", new.peers != old.peers),
            ("limits", (new.sockets, new.memory) != (old.sockets, old.memory)),
            ("settings", differ and self.router.recorder is not None),
        ):
            if changed:
                log_line(f"new configuration: {key} stays as it was until the next start")
        if new.discovery != old.discovery:
            log_line(f"new configuration: discovery is at {new.discovery} now")
            self.router.endpoints.change_address(new.discovery)
        self.briefing = old._replace(discovery=new.discovery)
        # What a store keeps of submissions goes by the grades' numbers: there they must not change.
        if differ and self.router.recorder is None:
            log_line(f"new configuration: settings taken, grades={','.join(new.names.request_classes)}")
            self.router.change_settings(new.settings, new.names)
            self.pool.max_idle_time = max_idle_time_for(new.settings.idle_timeout)
            self.pool.connect_timeout = new.settings.connect_timeout
            self.briefing = self.briefing._replace(
                settings=new.settings, names=new.names, document=new.document
            )

    # ---- The end ----

    def _leave(self) -> None:
        """Take what still comes, finish what was taken, then end."""
        if not self.leaving_since:
            log_line("told to end: finishing what was taken")
            self.leaving_since = self.deadlines.now()
            if self.router.load_gossip is not None:
                self.router.load_gossip.close()  # what others tell is for the process that comes after
            self.door.leave(hand_over=self.listening is not None)
            self._look_whether_over(times_to_end(self.router.settings, self.listening is not None))

    def _look_whether_over(self, end: "TimesToEnd") -> None:
        now = self.deadlines.now()
        since = now - self.leaving_since
        if since >= (end.still_coming if self.door.is_empty() else end.still_served):
            self.door.shut()
        if since >= end.last_answers:
            self.router.completion.answer_all()
        if (self.door.is_shut and self.door.is_empty()) or since >= end.last_word:
            self.over.set()
        else:
            self.deadlines.schedule(now + end.look_every, partial(self._look_whether_over, end))


class TimesToEnd(NamedTuple):
    """After the signal to end."""

    still_coming: int  # so long the socket stays open, even with nobody there
    still_served: int  # and clients go on over theirs: nobody else may be there for them yet
    last_answers: int  # then whoever still waits is answered
    last_word: int  # and nobody is waited for any more
    look_every: int


def times_to_end(settings: Settings, shared: bool) -> TimesToEnd:
    """We may be killed once what came last has had the longest abandon time in force: all is over before.

    Where another process has the socket, clients are sent over to it with each answer.
    """
    finish = min(
        LONGEST_TO_FINISH, max(settings.classes[grade].deadline for grade in settings.active_classes)
    )
    return TimesToEnd(
        0 if shared else STILL_COMING,
        HANDED_OVER if shared else STILL_COMING + finish // 2,
        STILL_COMING + finish * 18 // 20,
        STILL_COMING + finish * 19 // 20,
        max(MILLISECOND, min(LOOK_EVERY, finish // 100)),
    )


def _run() -> None:
    briefing = read_config(os.environ)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    service = Service(loop, briefing)
    service.listening = inherited_socket(os.environ)
    if service.listening is not None:
        service.neighbours = ProcessRegistry(os.environ.get("TMPDIR"))
    gc.collect()
    gc.freeze()
    loop.run_until_complete(service.run())


def main() -> int:
    block_signals()
    return run_with_exit_code(_run)
