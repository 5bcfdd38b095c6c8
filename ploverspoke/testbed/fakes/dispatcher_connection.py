"""A connection to a fake server of an experiment; its source address identifies the dispatcher."""

import asyncio

from ..processes.pipe_messages import send_message
from .fake_messages import FaultReport
from .fake_process import FakeProcess
from .http_connection import CountedConnection

NO_DISPATCHER = -1


class DispatcherConnection(CountedConnection):
    """One connection; a caller that is not a dispatcher is reported and disconnected."""

    def __init__(self, fake: FakeProcess, server_name: str) -> None:
        """Create the protocol of a connection, not open yet, to the server of that name."""
        super().__init__(fake.counters, NO_DISPATCHER)
        self.dispatcher_by_host = fake.dispatcher_by_host
        self.server_name = server_name

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Identify the dispatcher by its source address."""
        host = transport.get_extra_info("peername")[0]
        self.dispatcher = self.dispatcher_by_host.get(host, NO_DISPATCHER)
        self.traffic = self.counters.for_dispatcher(self.dispatcher)
        super().connection_made(transport)
        if self.dispatcher == NO_DISPATCHER:
            self.report_fault("was called by somebody who is no dispatcher")
            self.abort()

    def report_fault(self, text: str) -> None:
        """Report a violation of the protocol by the caller."""
        send_message(FaultReport(f"{self.server_name} {text}"))
