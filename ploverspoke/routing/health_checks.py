"""Health checks: calls that ask workers for their health and load."""

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

HEALTH_CHECK_TIMEOUT_NS = 250 * MILLISECOND
BROKEN_CONNECTION_OUTCOMES = (ExchangeOutcome.CONNECTION_LOST, ExchangeOutcome.SEND_INCOMPLETE)


class HealthCheckCall:
    """One health check; implements `WorkerCallUser` for its worker call."""

    def __init__(self, checks: "HealthChecks", worker: str) -> None:
        """Create a check of a worker; `checks` sends it and reports the outcome."""
        self.checks = checks
        self.worker = worker
        self.address = ""  # the worker's address when the call began
        self.with_load = False  # whether the worker is asked to report its load
        self.began_at = checks.deadlines.now()
        self.is_retry = False

    def encode_request(self, time_left: int) -> bytes:
        """Return the bytes to send to the worker."""
        return workers.encode_health_check(self.with_load, self.address)

    def make_reader(self, listener: ResponseListener) -> HealthCheckResponseReader:
        """Return a reader for the worker's response."""
        return HealthCheckResponseReader(listener, self.checks.settings.x0_name)

    def may_send(self) -> bool:
        """Return true: a health check may always be sent."""
        return True

    def on_written(self) -> None:
        """Do nothing: health checks are not counted."""

    def on_started(self) -> None:
        """Do nothing: a health check runs no request."""

    def on_progress(self, fraction_done: float) -> None:
        """Do nothing: a health check runs no request."""

    def on_ended(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        """Report the outcome, or repeat the check once over a new connection if the first one broke."""
        if outcome in BROKEN_CONNECTION_OUTCOMES and not self.is_retry:
            # A broken connection says little about its worker, and a health check may be sent twice.
            self.is_retry = True
            self.checks.send(self)
        else:
            self.checks.report(self, outcome, load)


class HealthChecks(RouterPart):
    """Sends the health checks that the decision logic requests."""

    def __init__(self, context: RoutingContext, endpoints: EndpointDirectory) -> None:
        """`endpoints` provides the workers' addresses."""
        super().__init__(context)
        self.endpoints = endpoints

    def start(self, worker: str) -> None:
        """Check the worker; the outcome is reported to the decision logic once."""
        self.send(HealthCheckCall(self, worker))

    def send(self, check: HealthCheckCall) -> None:
        """Send the health check to the current address of its worker."""
        check.address = self.endpoints.addresses.get(check.worker, "")
        check.with_load = self.settings.current.load_reporting is not LoadReporting.NONE
        WorkerCall(
            self.pool, check.address, HEALTH_CHECK_TIMEOUT_NS, check, use_new_connection=check.is_retry
        )

    def report(self, check: HealthCheckCall, outcome: ExchangeOutcome, load: LoadReport | None) -> None:
        """Report the outcome to the decision logic."""
        elapsed = self.deadlines.now() - check.began_at
        event = partial(self.dispatcher.probe_completed, check.worker, OUTCOMES[outcome], elapsed, load)
        self.events.emit(event)
