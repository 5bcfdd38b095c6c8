"""What the parts of the router share."""

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
    """The objects that several parts of the router work on; each of them has one instance a process."""

    deadlines: Deadlines
    pool: ConnectionPool  # of connections to workers
    settings: ActiveSettings
    counters: Counters
    requests: RequestTable
    dispatcher: Dispatcher
    events: EventQueue
    request_journal: RequestJournal
