"""A watcher of config servers, without I/O: which server it watches, and which versions it applies.

It watches one server. Where that one is silent it goes to the next. Where that one lives but is cut off from
the leader, or is a remote one, it keeps the connection, tries another server beside it, and changes only to
a better one. So a partitioned region keeps its watches, and watchers do not flap.

Times are nanoseconds of a monotonic clock.
"""

from collections.abc import Sequence
from typing import Protocol

from ploverspoke.transport.units import NEVER, SECOND

from .errors import MessageRejectedError
from .messages import (
    NO_VERSION,
    NOT_FROM_SERVER,
    Heartbeat,
    UnverifiedVersion,
    VerifiedVersion,
    WatchElsewhere,
    WatchRejected,
    WatchStatus,
    printable,
    read_server_message,
)
from .server_link import NO_HEARTBEAT, ServerLink
from .server_selection import LOCAL_TRIAL_INTERVAL, ServerSelector
from .version_receiver import VersionReceiver, WatcherCounters

STATUS_INTERVAL = 4 * SECOND
UNHEALTHY_GRACE = 2 * SECOND  # a server without a leader is kept for as long as an election may take
STABLE_AFTER = 5 * SECOND  # a connection that lasted as long counts as no failed attempt


class ConfigWatcherEnvironment(Protocol):
    """What a watcher needs of its driver."""

    def now(self) -> int:
        """The monotonic clock, ns."""

    def random_fraction(self) -> float:
        """A random number, 0 <= x < 1."""

    def dial(self, link_id: int, address: str) -> None:
        """Connect; reported later by `on_greeting` or `on_disconnected`, not during this call."""

    def hang_up(self, link_id: int) -> None:
        """Close a connection; nothing of it is reported any more."""

    def send(self, link_id: int, status: WatchStatus) -> None:
        """Send to the server of that connection."""

    def apply_version(self, version: VerifiedVersion) -> None:
        """Check a version and make it active. Raises VersionRejectedError, or any error of a check."""

    def log(self, line: str) -> None:
        """Write a line to the log."""


class ConfigWatcher:
    """The decisions of one watcher; a driver calls it on each event and at `next_tick`."""

    def __init__(
        self,
        environment: ConfigWatcherEnvironment,
        cluster: str,
        servers: list[str],
        local_servers: Sequence[str],
        applied: VerifiedVersion = NO_VERSION,
    ) -> None:
        """`applied` is the version that is active at the start, from a cache."""
        self.environment = environment
        self.servers = ServerSelector(servers, local_servers, environment.random_fraction)
        self.counters = WatcherCounters()
        self.versions = VersionReceiver(environment, cluster, applied, self.counters)
        self.link: ServerLink | None = None  # to the server that is watched
        self.trial_link: ServerLink | None = None  # to another one, to see whether it is better
        self.links_dialed = 0
        self.next_dial = NEVER
        self.next_status = NEVER
        self.next_trial = 0

    # ---- Events ----

    def start(self) -> None:
        """Begin to look for a server."""
        self.next_dial = self.environment.now() + self.servers.first_delay()

    def on_greeting(self, link_id: int) -> None:
        """A server has answered with the shared secret."""
        now, link = self.environment.now(), self._find_link(link_id)
        if link is None:
            return
        link.on_greeting(now)
        if link is self.link:
            self._send_status(now)

    def on_disconnected(self, link_id: int) -> None:
        """An attempt to connect failed, or a connection ended."""
        link = self._find_link(link_id)
        if link is not None:
            self._drop(link, self.environment.now())

    def on_message(self, link_id: int, message: object) -> None:
        """A decoded message of a server; a server that breaks the protocol is left and changes nothing."""
        now, link = self.environment.now(), self._find_link(link_id)
        if link is None:
            return
        link.last_received_at = now
        try:
            self._handle(link, message, now)
        except MessageRejectedError as error:
            self.counters.messages_rejected += 1
            self.environment.log(f"config: message rejected: {error} (from {link.address})")
            self._leave(link, now)

    def tick(self) -> None:
        """Time has passed, `next_tick` at the earliest."""
        now = self.environment.now()
        for link in (self.link, self.trial_link):
            if link is not None and link.is_overdue(now):
                if link is self.link and link.greeted_at:
                    self.environment.log(f"config: {link.address} is silent, another server is tried")
                self._leave(link, now)
        if self.link is None:
            if now >= self.next_dial:
                self.link = self._dial(self.servers.next_server())
                self.next_dial = NEVER
        elif self.link.greeted_at:
            if now >= self.next_status:
                self._send_status(now)
            if self.trial_link is None and now >= self._trial_at(self.link):
                self._try_alternative(self.link, now)

    def next_tick(self) -> int:
        """When `tick` is to be called next."""
        times = [link.deadline() + 1 for link in (self.link, self.trial_link) if link is not None]
        if self.link is None:
            times.append(self.next_dial)
        elif self.link.greeted_at:
            times.append(self.next_status)
            if self.trial_link is None:
                times.append(self._trial_at(self.link))
        return min(times, default=NEVER)

    # ---- Queries ----

    def is_connected(self) -> bool:
        """Whether a server is watched and has sent its first heartbeat."""
        return self.link is not None and self.link.server_version != NO_HEARTBEAT

    # ---- Messages ----

    def _handle(self, link: ServerLink, message: object, now: int) -> None:
        parsed = read_server_message(message)
        if isinstance(parsed, Heartbeat):
            self._on_heartbeat(link, parsed, now)
        elif isinstance(parsed, UnverifiedVersion) and link is self.link:
            self.versions.on_version(parsed)
            self._send_status(now)
        elif isinstance(parsed, WatchElsewhere):
            self._leave(link, now)
        elif isinstance(parsed, WatchRejected):
            reason = printable(f"the server rejects this watcher: {parsed.reason}")
            raise MessageRejectedError(reason)
        else:
            raise MessageRejectedError(NOT_FROM_SERVER)

    def _send_status(self, now: int) -> None:
        assert self.link is not None
        self.next_status = now + STATUS_INTERVAL
        self.environment.send(self.link.link_id, self.versions.status())

    # ---- Servers ----

    def _on_heartbeat(self, link: ServerLink, heartbeat: Heartbeat, now: int) -> None:
        link.server_version = heartbeat.latest_version
        link.is_healthy = heartbeat.has_recent_leader and link.server_version >= self.versions.received.number
        if link.is_healthy:
            link.healthy_at = now
        if link is self.trial_link:
            self._evaluate_trial(link, now)
        elif link.is_healthy and not self.servers.is_remote(link.address):
            self.servers.trials = 0

    def _evaluate_trial(self, trial: ServerLink, now: int) -> None:
        """Watch the server that was tried where it is better than the present one; leave it otherwise."""
        link = self.link
        assert link is not None  # a trial takes the place of the watched server when that one is lost
        if not self._is_better(trial, link):
            self._leave(trial, now)
            return
        self.environment.hang_up(link.link_id)
        self.link, self.trial_link = trial, None
        self.servers.trials = 0
        self.counters.server_changes += 1
        self._send_status(now)

    def _is_better(self, trial: ServerLink, link: ServerLink) -> bool:
        if trial.server_version > max(self.versions.received.number, link.server_version):
            return True
        is_nearer = self.servers.is_remote(link.address) and not self.servers.is_remote(trial.address)
        return trial.is_healthy and (not link.is_healthy or is_nearer)

    def _trial_at(self, link: ServerLink) -> int:
        """When another server is tried beside this one."""
        if len(self.servers.servers) == 1 or link.server_version == NO_HEARTBEAT:
            return NEVER
        if not link.is_healthy:
            return max(self.next_trial, link.healthy_at + UNHEALTHY_GRACE)
        if self.servers.is_remote(link.address):
            return max(self.next_trial, link.greeted_at + LOCAL_TRIAL_INTERVAL)
        return NEVER

    def _try_alternative(self, link: ServerLink, now: int) -> None:
        self.trial_link = self._dial(self.servers.next_alternative(link.address, link.is_healthy))
        self.next_trial = now + self.servers.alternative_delay(link.is_healthy)

    def _dial(self, address: str) -> ServerLink:
        self.links_dialed += 1
        link = ServerLink(self.links_dialed, address, self.environment.now())
        self.environment.dial(link.link_id, address)
        return link

    def _leave(self, link: ServerLink, now: int) -> None:
        self.environment.hang_up(link.link_id)
        self._drop(link, now)

    def _drop(self, link: ServerLink, now: int) -> None:
        if link is self.trial_link:
            self.trial_link = None
            return
        self.link = None
        if self.trial_link is not None:
            # It was tried for being better, and its connection is there already.
            self.link, self.trial_link = self.trial_link, None
            if self.link.greeted_at:
                self._send_status(now)
            return
        if link.greeted_at and now - link.greeted_at >= STABLE_AFTER:
            delay = self.servers.delay_after_stable(link.address)
        else:
            delay = self.servers.delay_after_failure()
        self.next_dial = now + delay

    def _find_link(self, link_id: int) -> ServerLink | None:
        links = (self.link, self.trial_link)
        return next((link for link in links if link is not None and link.link_id == link_id), None)
