"""Connects the decision logic to real sockets: carries out its actions and reports outcomes as events."""

from collections.abc import Collection, Iterable
from functools import partial

from ploverspoke.decisions.dispatcher import Dispatcher
from ploverspoke.decisions.interface import EndReason, LoadGossip
from ploverspoke.decisions.settings import DeploymentNames, Settings
from ploverspoke.protocol.discovery import EndpointList
from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.rate_limited_log import log_line

from .active_settings import ActiveSettings
from .answers import FinalAnswer
from .attempt_sender import AttemptSender
from .completion import RequestCompletion
from .context import RoutingContext
from .counters import Counters
from .endpoint_directory import EndpointDirectory
from .event_queue import EventQueue
from .health_checks import HealthChecks
from .load_gossip import GossipSocket
from .request_admission import RequestAdmission
from .request_journal import RequestJournal
from .request_log import RequestLog
from .request_recorder import RequestRecorder
from .request_table import RequestTable


class Router:
    """Owns the decision logic and the parts that act for it; implements `DispatchActions`.

    Attributes:
        load_gossip: The socket to the other dispatchers; None unless their addresses are configured.
    """

    def __init__(
        self,
        deadlines: Deadlines,
        pool: ConnectionPool,
        discovery_address: str,
        seed: int,
        settings: ActiveSettings,
        request_log: RequestLog | None = None,
    ) -> None:
        """`seed` is for the random numbers of the decision logic; `request_log` is None without a store."""
        self.deadlines = deadlines
        self.active_settings = settings
        self.connection_monitor = pool.monitor
        self.counters = Counters()
        self.counters.register_classes(settings.classes.numbers)
        self.requests = RequestTable(pool.monitor.memory)
        self.request_journal = RequestJournal()
        self.events = EventQueue(self._on_decision_failed)
        self.dispatcher = Dispatcher(self, seed, settings.current)
        self.load_gossip: GossipSocket | None = None
        context = RoutingContext(
            deadlines,
            pool,
            settings,
            self.counters,
            self.requests,
            self.dispatcher,
            self.events,
            self.request_journal,
        )
        self.recorder = None if request_log is None else RequestRecorder(context, request_log)
        self.completion = RequestCompletion(context, self.recorder)
        self.admission = RequestAdmission(context, self.completion, self.recorder)
        self.endpoints = EndpointDirectory(context, discovery_address)
        self.attempts = AttemptSender(context, self.endpoints, self.completion, self.recorder)
        self.health_checks = HealthChecks(context, self.endpoints)

    @property
    def settings(self) -> Settings:
        """The current settings."""
        return self.active_settings.current

    def start(self, known: EndpointList | None = None, resume: bool = True) -> None:
        """Start following the endpoint list, beginning with the list `known` if one is given.

        With `resume` only changes since that list are requested from discovery, else the whole list.
        """
        if known is not None:
            self.endpoints.load_stored_list(known, resume)
        self.endpoints.list_confirmed(self.deadlines.now())
        self.events.emit(partial(self.dispatcher.started))
        if self.active_settings.is_pushed():
            # On real sockets, pushed changes arrive only through this watch.
            self.endpoints.start_watch()

    def change_settings(self, settings: Settings, names: DeploymentNames) -> None:
        """Activate validated settings for requests admitted from now on; open requests keep their rules."""
        numbers_in_use = self.requests.class_numbers()
        predecessors = self.active_settings.change(settings, names, numbers_in_use)
        self.counters.register_classes(names.request_classes)
        self.endpoints.apply_settings()
        self.events.emit(partial(self.dispatcher.settings_changed, self.settings, predecessors))

    def leader_redirect(self) -> str | None:
        """The address to redirect clients to; None: no redirect, "": no leader of the store is known."""
        return None if self.recorder is None else self.recorder.leader_redirect()

    def known_workers(self) -> Collection[str]:
        """The names of all workers that discovery has listed."""
        return self.dispatcher.workers

    def on_gossip(self, peer: int, gossip: LoadGossip) -> None:
        """Report load gossip from another dispatcher to the decision logic."""
        self.events.emit(partial(self.dispatcher.gossip_received, peer, gossip))

    def _on_decision_failed(self, request_number: int) -> None:
        self.completion.answer_without_decision(self.requests.get(request_number))

    # ---- Actions requested by the decision logic: see `DispatchActions` ----

    def now(self) -> int:
        """Time of the monotonic clock in ns."""
        return self.deadlines.now()

    def start_attempt(self, request_id: int, worker: str, timeout: int) -> None:
        """Send the request to the worker and wait at most `timeout` ns for its answer."""
        self.attempts.start(request_id, worker, timeout)

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        """Stop waiting for the attempt with this index, counted from 0."""
        self.attempts.cancel(request_id, attempt)

    def reject(self, request_id: int, retry_after: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        """Answer that the client may safely retry, after `retry_after` ns; 0 gives no advice on when."""
        request = self.requests.get(request_id)
        self.request_journal.request_ended(request, "rejected", reason)
        self.completion.answer(request, FinalAnswer.REJECTED, "", retry_after)

    def fail(self, request_id: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        """Answer that the request failed and may or may not have taken effect."""
        request = self.requests.get(request_id)
        self.request_journal.request_ended(request, "failed", reason)
        self.completion.answer(request, FinalAnswer.FAILED)

    def wake_at(self, token: int, when: int) -> None:
        """Call `timer_fired(token)` at the time `when` or as soon as possible after it."""
        event = partial(self.dispatcher.timer_fired, token)
        self.deadlines.schedule(when, partial(self.events.emit, event))

    def probe(self, worker: str) -> None:
        """Request a worker's health and load."""
        self.health_checks.start(worker)

    def send_gossip(self, peers: Iterable[int] | None, gossip: LoadGossip) -> None:
        """Send load gossip to these peers, or to all if None; does nothing if no peers are configured."""
        if self.load_gossip is not None:
            self.load_gossip.send(peers, gossip)

    def watch_endpoints(self) -> None:
        """Watch the endpoint list."""
        self.endpoints.start_watch()

    def log(self, line: str) -> None:
        """Write a line to the log for operators."""
        log_line(line)
