"""The objects that the parts of the router share."""

from dataclasses import dataclass

from ploverspoke.decisions.dispatcher import Dispatcher
from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.deadlines import Deadlines

from .active_settings import ActiveSettings
from .counters import Counters
from .event_queue import EventQueue
from .request_journal import RequestJournal
from .request_table import RequestTable


@dataclass(frozen=True, slots=True)
class RoutingContext:
    """The objects that the parts of the router share; each has one instance per process."""

    deadlines: Deadlines
    pool: ConnectionPool  # of connections to workers
    settings: ActiveSettings
    counters: Counters
    requests: RequestTable
    dispatcher: Dispatcher
    events: EventQueue
    request_journal: RequestJournal


class RouterPart:
    """Base class of the parts of the router; gives each part the shared objects as attributes."""

    def __init__(self, context: RoutingContext) -> None:
        """Take the shared objects from the context."""
        self.deadlines = context.deadlines
        self.pool = context.pool
        self.settings = context.settings
        self.counters = context.counters
        self.requests = context.requests
        self.dispatcher = context.dispatcher
        self.events = context.events
        self.request_journal = context.request_journal
