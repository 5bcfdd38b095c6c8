"""The running dispatcher: startup, signals, changes of the configuration, and shutdown."""

import asyncio
import os
import signal
import socket
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial

from ploverspoke.protocol.discovery import parse_endpoint_list
from ploverspoke.routing.active_settings import ActiveSettings
from ploverspoke.routing.admin_server import AdminServer
from ploverspoke.routing.client_server import ClientServer
from ploverspoke.routing.load_gossip import GossipSocket
from ploverspoke.routing.request_ids import MIN_AGE
from ploverspoke.routing.request_log import RequestLog
from ploverspoke.routing.router import Router
from ploverspoke.transport import resource_limits
from ploverspoke.transport.allocator import MemoryTrimmer
from ploverspoke.transport.connection_pool import ConnectionPool, max_idle_time_for
from ploverspoke.transport.connections import ConnectionMonitor
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.loop_meter import ConnectionKind
from ploverspoke.transport.memory_account import MemoryAccount
from ploverspoke.transport.rate_limited_log import log_line
from ploverspoke.transport.units import MILLISECOND, SECOND

from .config import NO_PEERS_MESSAGE, Config, read_config
from .config_changes import log_unapplied_keys
from .config_reader import ConfigError, InvalidValueError, first_missing_key
from .descriptor_limit import usable_descriptors
from .handover import ProcessRegistry
from .inherited_socket import open_inherited_socket
from .shared_request_ids import open_request_ids
from .shutdown import ShutdownSchedule, longest_deadline, shutdown_schedule
from .startup import BLOCKED_SIGNALS

FIRST_LIST_TIMEOUT = 1500 * MILLISECOND  # wait for discovery's first answer while a predecessor serves
FIRST_VERSION_TIMEOUT = 1500 * MILLISECOND  # wait for the latest version of a distributed configuration
START_CHECK_INTERVAL = 20 * MILLISECOND
PROCESS_COUNT_INTERVAL = 250 * MILLISECOND


class Service:
    """One dispatcher: its servers, its router and its signal handlers.

    Attributes that may be set before `run`:
        load_config: Reads the configuration again on SIGHUP; may raise ConfigError.
        listening_socket: An inherited listening socket, used in place of a new one.
        process_registry: The registry that counts the processes of this dispatcher.
        on_started: Called when all but the listening socket is open.
        is_configured: Whether the settings are the latest. Clients cannot connect before, but are not kept
            waiting for longer than `FIRST_VERSION_TIMEOUT`.
        on_ready: Called when clients can connect.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: Config, request_log: RequestLog | None = None
    ) -> None:
        """Build the components; nothing is opened before `run`. `request_log` is that of a store, if any."""
        self.loop = loop
        self.config = config
        self.load_config: Callable[[], Config] = partial(read_config, os.environ)
        self.deadlines = Deadlines(loop)
        self.descriptor_limit = usable_descriptors(config.descriptor_limit)
        self.process_count = 1  # processes of this dispatcher, including this one
        replica_memory = 0 if request_log is None else resource_limits.REQUEST_LOG_MEMORY
        self.memory_limit = config.memory_limit - replica_memory  # of the dispatcher itself
        resources = resource_limits.split_resources(self.descriptor_limit, self.memory_limit)
        settings = config.settings
        idle_timeout, connect_timeout = settings.idle_timeout, settings.connect_timeout
        self.memory = MemoryAccount(resources.held_bytes)
        self.pool = ConnectionPool(
            loop,
            self.deadlines,
            resources.worker_connections,
            idle_timeout,
            connect_timeout,
            ConnectionMonitor(ConnectionKind.WORKER, self.memory, self.deadlines.meter),
        )
        self.router = Router(
            self.deadlines,
            self.pool,
            config.discovery,
            config.seed,
            ActiveSettings(settings, config.names),
            request_log,
        )
        if config.peers:
            self.router.load_gossip = GossipSocket(
                config.peers, settings.dispatcher_index, self.router.known_workers, self.router.on_gossip
            )
        self.client_server = ClientServer(loop, self.deadlines, self.router, resources.client_connections)
        self.admin_server = AdminServer(loop, self.deadlines, self.client_server, self.router)
        self.listening_socket: socket.socket | None = None
        self.process_registry = ProcessRegistry(None)
        self.on_started: Callable[[], None] = lambda: None
        self.is_configured: Callable[[], bool] = lambda: True
        self.on_ready: Callable[[], None] = lambda: None
        self.shared_directory: str | None = None  # that other processes of this dispatcher use as well
        self.may_lack_ids = True  # other processes may have used ids that this one does not know
        self.shutdown_started_at = 0  # monotonic ns; 0 if it has not started
        self.stopped = asyncio.Event()

    def inherit_socket(self, environment: Mapping[str, str]) -> None:
        """Use the socket that the environment names, if any, together with the other processes that have it.

        Raises ConfigError if it is not a listening socket.
        """
        self.listening_socket = open_inherited_socket(environment)
        self.shared_directory = environment.get("TMPDIR")
        if self.listening_socket is not None:
            self.process_registry = ProcessRegistry(environment.get("TMPDIR"))
            self._set_memory_limit(self.memory.limit)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT. Raises OSError if an address cannot be listened on."""
        self._handle_signals()
        self.memory_trimmer = MemoryTrimmer(self.deadlines, self.memory)
        if self.config.admin_address is not None:
            self.admin_server.listener.open(*self.config.admin_address)
        is_registered = self.process_registry.register()
        self._open_request_ids()
        if is_registered:
            self._update_process_count()
        if self.router.load_gossip is not None:
            await self.router.load_gossip.open(self.loop)
        elif self.config.lacks_peers:
            log_line(NO_PEERS_MESSAGE)
        has_predecessor = self.process_count > 1
        document = self.config.known_endpoints
        known = None if document is None else parse_endpoint_list(document)
        self.router.start(known, resume=not has_predecessor)
        if has_predecessor:  # it serves until this process listens
            await self._wait_until(lambda: bool(self.router.endpoints.lists_received), FIRST_LIST_TIMEOUT)
        self.on_started()
        await self._wait_until(self.is_configured, FIRST_VERSION_TIMEOUT)
        if not self.shutdown_started_at:
            self._listen()
        await self.stopped.wait()
        self.process_registry.unregister()

    def _open_request_ids(self) -> None:
        """Open the table of ids, which a predecessor or successor with the same address shares."""
        opened = open_request_ids(
            self.shared_directory,
            ":".join(map(str, self.config.listen)),
            resource_limits.request_id_bytes(self.memory_limit),
            max(MIN_AGE, 2 * longest_deadline(self.router.settings)),
        )
        self.router.admission.request_ids.table = opened.table
        has_predecessor = self.process_registry.count_others() > 0
        self.may_lack_ids = not opened.is_shared or (opened.is_new and has_predecessor)

    def _handle_signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.shut_down)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload_config)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)

    def _listen(self) -> None:
        if self.listening_socket is not None:
            self.client_server.listener.adopt(self.listening_socket)
        else:
            self.client_server.listener.open(*self.config.listen)
        log_line(f"{self.config.name} serves at {self.config.listen}")
        self.on_ready()

    async def _wait_until(self, condition: Callable[[], bool], timeout: int) -> None:
        """Wait until the condition holds, for at most `timeout` ns, or until the shutdown starts."""
        deadline = self.deadlines.now() + timeout
        while not condition() and self.deadlines.now() < deadline and not self.shutdown_started_at:
            await asyncio.sleep(START_CHECK_INTERVAL / SECOND)

    def _set_memory_limit(self, held_bytes: int) -> None:
        """Set the limit of the account, and leave room for a successor where the socket is passed to one."""
        if self.listening_socket is not None and self.process_count == 1:
            held_bytes = min(held_bytes, resource_limits.held_bytes_beside_successor(self.memory_limit))
        self.memory.set_limit(held_bytes)
        self.client_server.make_room()

    def _update_process_count(self) -> None:
        """Divide the limits of the dispatcher among its current processes."""
        # First, since an error below must not be the last look at the other processes.
        self.deadlines.schedule(self.deadlines.now() + PROCESS_COUNT_INTERVAL, self._update_process_count)
        process_count = 1 + self.process_registry.count_others()
        if process_count > 1 and self.may_lack_ids:
            unknown_until = self.deadlines.now() + longest_deadline(self.router.settings)
            self.router.admission.request_ids.unknown_until = unknown_until
        if process_count != self.process_count:
            log_line(f"processes={process_count}: each gets an equal share of the descriptors and the memory")
            self.process_count = process_count
            resources = resource_limits.split_resources(
                self.descriptor_limit, self.memory_limit, process_count
            )
            self.pool.resize(resources.worker_connections)
            self.client_server.max_sessions = resources.client_connections
            self._set_memory_limit(resources.held_bytes)

    # ---- Changes of the configuration ----

    def _reload_config(self) -> None:
        """Read the configuration again and apply it; an invalid one changes nothing."""
        try:
            self.apply_config(self.load_config())
            self.router.counters.configs_accepted += 1
        except ConfigError as error:
            self.router.counters.configs_invalid += 1
            log_line(f"new configuration rejected, the active one stays: {error}")

    def apply_config(self, new: Config) -> None:
        """Apply the parts of a new configuration that need no restart: settings and address of discovery.

        Raises ConfigError, with nothing changed, if it lacks a key that the active one has.
        """
        missing = first_missing_key(self.config.document, new.document)
        if missing is not None:
            raise InvalidValueError(key=missing, problem="is missing: the configuration in force has it")
        # The replicas of a store change their settings together, by a committed configuration.
        self._apply_config(new, settings_are_fixed=self.router.recorder is not None)

    def apply_committed_config(self, new: Config) -> None:
        """Apply a configuration that the replicas of a store have agreed on, including its settings.

        Keys may be missing: whether a replica applies a version must not depend on what it had before.
        """
        self._apply_config(new, settings_are_fixed=False)

    def _apply_config(self, new: Config, settings_are_fixed: bool) -> None:
        old = self.config
        if self.router.load_gossip is None:
            # Peers are read only at the start; without them there is no load gossip.
            new = new._replace(settings=replace(new.settings, gossip_allowed=False))
        settings_differ = new.settings != old.settings or new.names != old.names
        log_unapplied_keys(old, new, settings_differ and settings_are_fixed)
        if new.discovery != old.discovery:
            log_line(f"new configuration: discovery is at {new.discovery} now")
            self.router.endpoints.change_address(new.discovery)
        self.config = old._replace(discovery=new.discovery)
        if settings_differ and not settings_are_fixed:
            self._apply_settings(new)

    def _apply_settings(self, new: Config) -> None:
        log_line(f"new configuration: settings applied, classes={','.join(new.names.request_classes)}")
        self.router.change_settings(new.settings, new.names)
        self.pool.max_idle_time = max_idle_time_for(new.settings.idle_timeout)
        self.pool.connect_timeout = new.settings.connect_timeout
        self.config = self.config._replace(settings=new.settings, names=new.names, document=new.document)

    # ---- Shutdown ----

    def shut_down(self) -> None:
        """Start the shutdown: finish the admitted requests, serve late ones, then let `run` return."""
        if self.shutdown_started_at:
            return
        log_line("stopping: finishing the requests that were admitted")
        self.shutdown_started_at = self.deadlines.now()
        if self.router.load_gossip is not None:
            self.router.load_gossip.close()  # from now on the successor receives load gossip
        shares_socket = self.listening_socket is not None
        self.client_server.mark_not_ready(hand_over=shares_socket)
        self._continue_shutdown(shutdown_schedule(self.router.settings, shares_socket))

    def _continue_shutdown(self, schedule: ShutdownSchedule) -> None:
        now = self.deadlines.now()
        elapsed = now - self.shutdown_started_at
        try:
            self._take_shutdown_steps(schedule, elapsed)
        finally:  # an error in one step must not leave the process running for good
            is_finished = self.client_server.is_accepting_stopped and self.client_server.is_empty()
            if is_finished or elapsed >= schedule.exit_at:
                self.stopped.set()
            else:
                next_check = partial(self._continue_shutdown, schedule)
                self.deadlines.schedule(now + schedule.check_interval, next_check)

    def _take_shutdown_steps(self, schedule: ShutdownSchedule, elapsed: int) -> None:
        is_empty = self.client_server.is_empty()
        if elapsed >= (schedule.accept_until if is_empty else schedule.serve_until):
            self.client_server.stop_accepting()
        if elapsed >= schedule.answer_at:
            self.router.completion.answer_all()
