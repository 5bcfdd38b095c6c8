"""The directory of worker addresses from discovery, and the watch that keeps it up to date."""

from collections.abc import Callable, Collection
from functools import partial

from ploverspoke.decisions.interface import Endpoint, EndpointCondition
from ploverspoke.protocol.discovery import (
    EndpointEntry,
    EndpointList,
    InvalidEntryError,
    read_endpoint_list,
)
from ploverspoke.protocol.errors import EndpointListError
from ploverspoke.protocol.wire_names import ENDPOINT_STATES
from ploverspoke.transport.loop_meter import ConnectionKind
from ploverspoke.transport.memory_account import MemoryHolding, MemoryKind
from ploverspoke.transport.rate_limited_log import log_line

from .context import RouterPart, RoutingContext
from .endpoint_watch import EndpointWatch
from .start_times import StartTimes
from .watch_journal import CallOutcome, CallReason, WatchJournal
from .watch_pace import WatchPace

PARSED_BYTES = 30  # of memory for each byte of a list while it is parsed, at the most
WORKER_BYTES = 5 * 1024  # of memory for what is known of a worker
MAX_ENTRY_TEXT = 1024  # characters of a worker's name and address
# This part of the memory account may be held for listed workers, and as much for those that are gone.
WORKERS_SHARE = 4


class EndpointDirectory(RouterPart):
    """Watches discovery, stores the workers' addresses and reports each change to the decision logic."""

    def __init__(self, context: RoutingContext, discovery_address: str) -> None:
        """`discovery_address` is "host:port"; the first call is made when the watch is started."""
        super().__init__(context)
        self.addresses: dict[str, str] = {}  # by worker name, including workers that are gone
        self.workers_held = MemoryHolding(self.pool.monitor.memory, MemoryKind.WORKERS)
        self.lists_received = 0  # from discovery, since this process started
        self.on_list_received: Callable[[bytes], None] | None = None  # called with the body of each list
        self.start_times = StartTimes(self.deadlines.now)
        self.journal = WatchJournal(self.deadlines.now)
        self.watch = self._make_watch(discovery_address)
        self.has_new_address = False  # the address changed and has not been called since

    def load_stored_list(self, known: EndpointList, resume: bool) -> None:
        """Load a stored list before the first call to discovery.

        With `resume` only changes after its version are requested, otherwise the whole list.
        """
        self.watch.version = known.version if resume else None
        self._report(known, is_complete=True)

    def receive_list(self, body: bytes) -> EndpointList:
        """Apply a list from discovery.

        Raises EndpointListError for an invalid list; no part of it is reported to the decision logic.
        """
        memory = self.pool.monitor.memory
        if len(body) * PARSED_BYTES > memory.available():
            raise EndpointListError(reason=f"no memory for a list of {len(body)} bytes")
        try:
            received = read_endpoint_list(body)
        except InvalidEntryError as error:
            # The entries before the invalid one are valid, so the addresses in them are stored.
            for entry in error.entries_before:
                if entry.name in self.addresses:
                    self._store_entry(entry)
            raise
        self._report(received, received.is_complete)
        self.lists_received += 1
        if self.on_list_received is not None:
            self.on_list_received(body)
        return received

    def start_watch(self) -> None:
        """Start the watch unless it is already running."""
        reason = CallReason.ADDRESS_CHANGED if self.has_new_address else CallReason.DUE
        self.has_new_address = False
        self.watch.start(reason)

    def change_address(self, address: str) -> None:
        """Replace the watch by one on another address.

        It requests the whole list first, since versions differ between addresses.
        """
        self.watch.stop()
        self.watch = self._make_watch(address)
        self.has_new_address = True
        self.events.emit(partial(self.dispatcher.discovery_address_changed))

    def apply_settings(self) -> None:
        """Apply the current settings to the watch."""
        self.watch.pace.configure(*self.settings.watch_pace())
        self.watch.is_pushed = self.settings.is_pushed()

    def _make_watch(self, address: str) -> EndpointWatch:
        watch = EndpointWatch(
            self.deadlines,
            address,
            self,
            self.journal,
            WatchPace(*self.settings.watch_pace()),
            self.settings.is_pushed(),
        )
        watch.pool.monitor = self.pool.monitor._replace(kind=ConnectionKind.DISCOVERY)
        return watch

    def list_confirmed(self, as_of: int) -> None:
        """Report that the list contains everything that discovery had at `as_of` (monotonic ns)."""
        self.events.emit(partial(self.dispatcher.endpoint_list_confirmed, as_of))

    def list_time_left(self) -> int | None:
        """Time in ns until the list expires, negative after the expiry; None if it never expires."""
        return self.dispatcher.list_time_left()

    def call_timed_out(self, as_of: int) -> None:
        """Report that a call begun at `as_of` (ns), which requested an immediate response, timed out."""
        self.events.emit(partial(self.dispatcher.endpoint_watch_timed_out, as_of))

    def watch_failed(self, outcome: CallOutcome) -> None:
        """Report the failure; the decision logic chooses when the watch is started again."""
        is_rejected = outcome is CallOutcome.REJECTED
        is_unreachable = outcome is CallOutcome.REFUSED
        event = partial(self.dispatcher.endpoint_watch_failed, is_rejected, is_unreachable)
        self.events.emit(event)

    def _report(self, received: EndpointList, is_complete: bool) -> None:
        endpoints = [self._store_entry(entry) for entry in self._entries_with_memory(received)]
        if is_complete:
            self.events.emit(partial(self.dispatcher.endpoint_list_received, endpoints))
        else:
            self.events.emit(partial(self.dispatcher.endpoints_changed, endpoints))
        self._forget_unknown({endpoint.worker for endpoint in endpoints})

    def _entries_with_memory(self, received: EndpointList) -> list[EndpointEntry]:
        """The entries of all known workers, and of new ones as far as there is memory."""
        workers = self.dispatcher.workers
        known_count = sum(entry.name in workers for entry in received.entries)
        kept_count = known_count if received.is_complete else len(self.dispatcher.listed_workers())
        capacity = self.pool.monitor.memory.limit // WORKERS_SHARE // WORKER_BYTES
        self.dispatcher.limit_gone_workers(capacity)
        room = capacity - kept_count
        entries: list[EndpointEntry] = []
        for entry in received.entries:
            is_new = entry.name not in workers
            if is_new and (room <= 0 or len(entry.name) + len(entry.address) > MAX_ENTRY_TEXT):
                continue
            room -= is_new
            entries.append(entry)
        if len(entries) < len(received.entries):
            left_out = len(received.entries) - len(entries)
            log_line(f"endpoint list: no memory for {left_out} new workers, which get no requests")
        return entries

    def _forget_unknown(self, listed_names: Collection[str]) -> None:
        """Forget the addresses of workers that the decision logic has forgotten."""
        workers = self.dispatcher.workers
        if len(self.addresses) > len(workers):
            for name in [name for name in self.addresses if name not in workers and name not in listed_names]:
                del self.addresses[name]
                self.start_times.forget(name)
        self.workers_held.set(max(len(workers), len(self.addresses)) * WORKER_BYTES)

    def _store_entry(self, entry: EndpointEntry) -> Endpoint:
        """Store the worker's address, and retire the connections to its previous address."""
        # An unknown state counts as draining, so that the worker gets no new attempts.
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
