"""A user of a connection pool that records the result of its request."""

from ploverspoke.transport.connections import Connection
from ploverspoke.transport.outcomes import ExchangeOutcome


class RecordingPoolUser:
    """Holds the connection or the outcome of the failure; neither while it is still waiting."""

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.outcome: ExchangeOutcome | None = None

    def on_connected(self, connection: Connection) -> None:
        self.connection = connection

    def on_connect_failed(self, outcome: ExchangeOutcome) -> None:
        self.outcome = outcome

    def on_data_available(self) -> None:
        pass

    def on_disconnected(self) -> None:
        pass

    def on_write_drained(self) -> None:
        pass
