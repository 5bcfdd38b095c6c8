"""A watcher of config servers, without I/O: selects the server to watch and applies its versions.

A watcher watches one server. If that server becomes silent, the watcher tries the next one. If the server
responds but has no contact with a leader, or is a remote one, the watcher keeps the connection, tries another
server in parallel, and changes only to a better server. So a partitioned region keeps its watches, and
watchers do not flap between servers.

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
    escape_untrusted_text,
    read_server_message,
)
from .server_link import NO_HEARTBEAT, ServerLink
from .server_selection import LOCAL_TRIAL_INTERVAL_NS, ServerSelector
from .version_receiver import VersionReceiver, WatcherCounters

STATUS_INTERVAL_NS = 4 * SECOND
UNHEALTHY_GRACE_NS = 2 * SECOND  # a server without a leader is kept for as long as an election may take
STABLE_CONNECTION_NS = 5 * SECOND  # a connection that lasted this long does not count as a failed attempt


class ConfigWatcherEnvironment(Protocol):
    """The functions that a watcher needs from its driver."""

    def now(self) -> int:
        """Return the time of the monotonic clock, ns."""

    def random_fraction(self) -> float:
        """Return a random number, 0 <= x < 1."""

    def dial(self, link_id: int, address: str) -> None:
        """Start connecting; `on_greeting` or `on_disconnected` is called later, not during this call."""

    def close_connection(self, link_id: int) -> None:
        """Close a connection; no further events are reported for it."""

    def send(self, link_id: int, status: WatchStatus) -> None:
        """Send a status to the server of this connection."""

    def apply_version(self, version: VerifiedVersion) -> None:
        """Check a version and make it active. Raises VersionRejectedError or any other error of a check."""

    def log(self, line: str) -> None:
        """Write a line to the log."""


class ConfigWatcher:
    """The decisions of one watcher; a driver calls it at each event, and `tick` at `next_tick`."""

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
        self.selector = ServerSelector(servers, local_servers, environment.random_fraction)
        self.counters = WatcherCounters()
        self.versions = VersionReceiver(environment, cluster, applied, self.counters)
        self.link: ServerLink | None = None  # to the watched server
        self.trial_link: ServerLink | None = None  # to another server that may be better
        self.links_dialed = 0
        self.next_dial_at = NEVER
        self.next_status_at = NEVER
        self.next_trial_at = 0

    # ---- Events ----

    def start(self) -> None:
        """Schedule the first connection attempt."""
        self.next_dial_at = self.environment.now() + self.selector.first_delay()

    def on_greeting(self, link_id: int) -> None:
        """Handle the greeting of a server, which proves that it knows the shared secret."""
        now, link = self.environment.now(), self._find_link(link_id)
        if link is None:
            return
        link.on_greeting(now)
        if link is self.link:
            self._send_status(now)

    def on_disconnected(self, link_id: int) -> None:
        """Handle a failed connection attempt or the end of a connection."""
        link = self._find_link(link_id)
        if link is not None:
            self._remove_link(link, self.environment.now())

    def on_message(self, link_id: int, message: object) -> None:
        """Handle a decoded message; a protocol violation closes the connection and changes no version."""
        now, link = self.environment.now(), self._find_link(link_id)
        if link is None:
            return
        link.last_received_at = now
        try:
            self._handle_message(link, message, now)
        except MessageRejectedError as error:
            self.counters.messages_rejected += 1
            self.environment.log(f"config: message rejected: {error} (from {link.address})")
            self._close_link(link, now)

    def tick(self) -> None:
        """Perform all actions that are due; to be called at `next_tick`."""
        now = self.environment.now()
        for link in (self.link, self.trial_link):
            if link is not None and link.is_overdue(now):
                if link is self.link and link.greeted_at:
                    self.environment.log(f"config: {link.address} is silent, another server is tried")
                self._close_link(link, now)
        if self.link is None:
            if now >= self.next_dial_at:
                self.link = self._dial(self.selector.next_server())
                self.next_dial_at = NEVER
        elif self.link.greeted_at:
            if now >= self.next_status_at:
                self._send_status(now)
            if self.trial_link is None and now >= self._next_trial_time(self.link):
                self._try_alternative(self.link, now)

    def next_tick(self) -> int:
        """Return when `tick` must be called next."""
        times = [link.deadline() + 1 for link in (self.link, self.trial_link) if link is not None]
        if self.link is None:
            times.append(self.next_dial_at)
        elif self.link.greeted_at:
            times.append(self.next_status_at)
            if self.trial_link is None:
                times.append(self._next_trial_time(self.link))
        return min(times, default=NEVER)

    # ---- Queries ----

    def is_connected(self) -> bool:
        """Whether a server is watched and has sent its first heartbeat."""
        return self.link is not None and self.link.server_version != NO_HEARTBEAT

    def is_current(self) -> bool:
        """Whether the latest version of a server with a leader was received, be it applied or rejected."""
        if self.link is None or self.link.server_version == NO_HEARTBEAT or not self.link.is_healthy:
            return False
        return self.versions.received.number >= self.link.server_version

    # ---- Messages ----

    def _handle_message(self, link: ServerLink, message: object, now: int) -> None:
        parsed = read_server_message(message)
        if isinstance(parsed, Heartbeat):
            self._on_heartbeat(link, parsed, now)
        elif isinstance(parsed, UnverifiedVersion) and link is self.link:
            self.versions.on_version(parsed)
            self._send_status(now)
        elif isinstance(parsed, WatchElsewhere):
            self._close_link(link, now)
        elif isinstance(parsed, WatchRejected):
            reason = escape_untrusted_text(f"the server rejected this watcher: {parsed.reason}")
            raise MessageRejectedError(reason)
        else:
            raise MessageRejectedError(NOT_FROM_SERVER)

    def _send_status(self, now: int) -> None:
        assert self.link is not None
        self.next_status_at = now + STATUS_INTERVAL_NS
        self.environment.send(self.link.link_id, self.versions.status())

    # ---- Servers ----

    def _on_heartbeat(self, link: ServerLink, heartbeat: Heartbeat, now: int) -> None:
        link.server_version = heartbeat.latest_version
        link.is_healthy = heartbeat.has_recent_leader and link.server_version >= self.versions.received.number
        if link.is_healthy:
            link.healthy_at = now
        if link is self.trial_link:
            self._evaluate_trial(link, now)
        elif link.is_healthy and not self.selector.is_remote(link.address):
            self.selector.consecutive_trials = 0

    def _evaluate_trial(self, trial: ServerLink, now: int) -> None:
        """Change to the tried server if it is better than the current one; otherwise disconnect from it."""
        link = self.link
        assert link is not None  # if the watched server is lost, the tried one replaces it
        if not self._is_better(trial, link):
            self._close_link(trial, now)
            return
        self.environment.close_connection(link.link_id)
        self.link, self.trial_link = trial, None
        self.selector.consecutive_trials = 0
        self.counters.server_changes += 1
        self._send_status(now)

    def _is_better(self, trial: ServerLink, link: ServerLink) -> bool:
        if trial.server_version > max(self.versions.received.number, link.server_version):
            return True
        is_nearer = self.selector.is_remote(link.address) and not self.selector.is_remote(trial.address)
        return trial.is_healthy and (not link.is_healthy or is_nearer)

    def _next_trial_time(self, link: ServerLink) -> int:
        """Return when another server is to be tried in parallel to this one."""
        if len(self.selector.servers) == 1 or link.server_version == NO_HEARTBEAT:
            return NEVER
        if not link.is_healthy:
            return max(self.next_trial_at, link.healthy_at + UNHEALTHY_GRACE_NS)
        if self.selector.is_remote(link.address):
            return max(self.next_trial_at, link.greeted_at + LOCAL_TRIAL_INTERVAL_NS)
        return NEVER

    def _try_alternative(self, link: ServerLink, now: int) -> None:
        self.trial_link = self._dial(self.selector.next_alternative(link.address, link.is_healthy))
        self.next_trial_at = now + self.selector.alternative_delay(link.is_healthy)

    def _dial(self, address: str) -> ServerLink:
        self.links_dialed += 1
        link = ServerLink(self.links_dialed, address, self.environment.now())
        self.environment.dial(link.link_id, address)
        return link

    def _close_link(self, link: ServerLink, now: int) -> None:
        self.environment.close_connection(link.link_id)
        self._remove_link(link, now)

    def _remove_link(self, link: ServerLink, now: int) -> None:
        if link is self.trial_link:
            self.trial_link = None
            return
        self.link = None
        if self.trial_link is not None:
            # The trial was started to find a better server, and its connection already exists.
            self.link, self.trial_link = self.trial_link, None
            if self.link.greeted_at:
                self._send_status(now)
            return
        if link.greeted_at and now - link.greeted_at >= STABLE_CONNECTION_NS:
            delay = self.selector.delay_after_stable(link.address)
        else:
            delay = self.selector.delay_after_failure()
        self.next_dial_at = now + delay

    def _find_link(self, link_id: int) -> ServerLink | None:
        links = (self.link, self.trial_link)
        return next((link for link in links if link is not None and link.link_id == link_id), None)
