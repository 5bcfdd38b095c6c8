"""Health checks: calls to workers for their health and load."""

from functools import partial

from ploverspoke.decisions.settings import LoadReporting
from ploverspoke.protocol import workers
from ploverspoke.protocol.workers import HealthCheckResponseReader, LoadReport, ResponseListener
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND

from .context import RouterPart, RoutingContext
from .endpoint_directory import EndpointDirectory
from .outcomes import OUTCOMES
from .worker_calls import WorkerCall

HEALTH_CHECK_TIMEOUT = 250 * MILLISECOND
BROKEN_CONNECTION = (ExchangeOutcome.CONNECTION_LOST, ExchangeOutcome.SEND_INCOMPLETE)


class HealthCheckCall:
    """One health check as the user of a worker call."""

    def __init__(self, checks: "HealthChecks", worker: str) -> None:
        """A check of the worker, which `checks` sends and reports."""
        self.checks = checks
        self.worker = worker
        self.address = ""  # of the worker when the call began
        self.with_load = False  # the worker reports its load
        self.began_at = checks.deadlines.now()
        self.is_retry = False

    def encode_request(self, time_left: int) -> bytes:
        """The bytes for the worker."""
        return workers.encode_health_check(self.with_load, self.address)

    def make_reader(self, listener: ResponseListener) -> HealthCheckResponseReader:
        """A reader for the worker's response."""
        return HealthCheckResponseReader(listener, self.checks.settings.x0_name)

    def may_send(self) -> bool:
        """A health check may always be sent."""
        return True

    def on_written(self) -> None:
        """Do nothing: health checks are not counted."""

    def on_started(self) -> None:
        """Do nothing: a health check has no phases."""

    def on_progress(self, fraction_done: float) -> None:
        """Do nothing: a health check has no phases."""

    def on_ended(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        """Report the outcome, or check once more over a new connection if the first one broke."""
        if outcome in BROKEN_CONNECTION and not self.is_retry:
            # A connection that breaks says little of its worker, and a health check may be sent twice.
            self.is_retry = True
            self.checks.call(self)
        else:
            self.checks.report(self, outcome, load)


class HealthChecks(RouterPart):
    """Sends the health checks that the decisions request."""

    def __init__(self, context: RoutingContext, endpoints: EndpointDirectory) -> None:
        """`endpoints` has the workers' addresses."""
        super().__init__(context)
        self.endpoints = endpoints

    def start(self, worker: str) -> None:
        """Check the worker; the decisions hear of the outcome once."""
        self.call(HealthCheckCall(self, worker))

    def call(self, check: HealthCheckCall) -> None:
        """Send the health check to where its worker is now."""
        check.address = self.endpoints.addresses.get(check.worker, "")
        check.with_load = self.settings.current.load_reporting is not LoadReporting.NONE
        WorkerCall(self.pool, check.address, HEALTH_CHECK_TIMEOUT, check, use_new_connection=check.is_retry)

    def report(self, check: HealthCheckCall, outcome: ExchangeOutcome, load: LoadReport | None) -> None:
        """Report the outcome to the decisions."""
        elapsed = self.deadlines.now() - check.began_at
        event = partial(self.dispatcher.probe_completed, check.worker, OUTCOMES[outcome], elapsed, load)
        self.events.emit(event)
