"""The endpoint list: where workers are, as discovery lists them, and the watch that keeps it up to date."""

from collections.abc import Callable
from functools import partial

from ploverspoke.decisions.interface import Endpoint, EndpointCondition
from ploverspoke.protocol.discovery import (
    EndpointEntry,
    EndpointList,
    InvalidEntryError,
    read_endpoint_list,
)
from ploverspoke.protocol.wire_names import ENDPOINT_STATES

from .context import RoutingContext
from .endpoint_watch import EndpointWatch
from .start_times import StartTimes
from .watch_journal import CallOutcome, CallReason, WatchJournal
from .watch_pace import WatchPace


class EndpointDirectory:
    """Follows discovery, keeps the workers' addresses and passes each change on to the decisions."""

    def __init__(self, context: RoutingContext, discovery_address: str) -> None:
        """`discovery_address` is "host:port"; nothing is asked there before the watch is started."""
        self.deadlines = context.deadlines
        self.pool = context.pool
        self.settings = context.settings
        self.dispatcher = context.dispatcher
        self.events = context.events
        self.addresses: dict[str, str] = {}  # by worker; also of those that are gone
        self.lists_received = 0  # from discovery, since the start
        self.on_list: Callable[[bytes], None] | None = None  # given the body of each list
        self.start_times = StartTimes(context.deadlines.now)
        self.journal = WatchJournal(context.deadlines.now)
        self.watch = self._make_watch(discovery_address)
        self.has_moved = False  # to another address, which was not called yet

    def load_known(self, known: EndpointList, resume: bool) -> None:
        """Begin with a list from before the start.

        With `resume` discovery is asked only for what is newer, else for the whole list.
        """
        self.watch.version = known.version if resume else None
        self._report(known, is_complete=True)

    def receive_list(self, body: bytes) -> EndpointList:
        """Take a list from discovery. Raises EndpointListError, and the decisions hear of no part of it."""
        try:
            received = read_endpoint_list(body)
        except InvalidEntryError as error:
            # The entries before the invalid one are good: a worker's new address counts at once.
            for entry in error.entries_before:
                self._enter(entry)
            raise
        self._report(received, received.is_complete)
        self.lists_received += 1
        if self.on_list is not None:
            self.on_list(body)
        return received

    def start_watch(self) -> None:
        """Watch the list, if that is not done already."""
        reason = CallReason.ADDRESS_CHANGED if self.has_moved else CallReason.DUE
        self.has_moved = False
        self.watch.start(reason)

    def change_address(self, address: str) -> None:
        """Watch at another address, from the whole list on: its versions are its own."""
        self.watch.stop()
        self.watch = self._make_watch(address)
        self.has_moved = True
        self.events.emit(partial(self.dispatcher.discovery_moved))

    def apply_settings(self) -> None:
        """Let the watch follow the current settings."""
        self.watch.pace.configure(*self.settings.watch_pace())
        self.watch.is_pushed = self.settings.is_pushed()

    def _make_watch(self, address: str) -> EndpointWatch:
        return EndpointWatch(
            self.deadlines,
            address,
            self,
            self.journal,
            WatchPace(*self.settings.watch_pace()),
            self.settings.is_pushed(),
        )

    def list_confirmed(self, as_of: int) -> None:
        """Report that all that discovery had at that time has been received."""
        self.events.emit(partial(self.dispatcher.endpoint_list_confirmed, as_of))

    def list_time_left(self) -> int | None:
        """Time in ns until the list expires, less than 0 after that; None: it does not."""
        return self.dispatcher.list_time_left()

    def call_was_silent(self, as_of: int) -> None:
        """Report a call that was to be answered at once, and was not."""
        self.events.emit(partial(self.dispatcher.endpoint_watch_silent, as_of))

    def watch_failed(self, outcome: CallOutcome) -> None:
        """Leave it to the decisions when to watch again."""
        is_rejected = outcome is CallOutcome.REJECTED
        is_unreachable = outcome is CallOutcome.REFUSED
        event = partial(self.dispatcher.endpoint_watch_failed, is_rejected, is_unreachable)
        self.events.emit(event)

    def _report(self, received: EndpointList, is_complete: bool) -> None:
        endpoints = [self._enter(entry) for entry in received.entries]
        if is_complete:
            self.events.emit(partial(self.dispatcher.endpoint_list_received, endpoints))
        else:
            self.events.emit(partial(self.dispatcher.endpoints_changed, endpoints))

    def _enter(self, entry: EndpointEntry) -> Endpoint:
        """Keep the worker's address; connections to where it is no longer are not used again."""
        # Nothing new is sent to a worker in a state that is not known.
        condition = EndpointCondition(ENDPOINT_STATES.get(entry.state, EndpointCondition.DRAINING.value))
        known_address = self.addresses.get(entry.name)
        is_gone = condition is EndpointCondition.GONE
        if known_address is not None and (is_gone or entry.address != known_address):
            self.pool.retire_address(known_address)
        if entry.address:
            self.addresses[entry.name] = entry.address
        confirmed_at = self.journal.list_confirmed_at if self.lists_received else None
        started_at = self.start_times.convert(entry.name, entry.started_ms, confirmed_at)
        return Endpoint(
            entry.name,
            self.settings.zone_number(entry.zone),
            self.settings.machine_kind_number(entry.machine_kind),
            entry.rack,
            condition,
            entry.weight,
            started_at,
        )
