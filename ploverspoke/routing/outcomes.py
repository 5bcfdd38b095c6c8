"""Maps the outcome of an exchange on a connection to the outcome of an attempt for the decision logic.

An outcome that means that the request never ran is used only where that is certain.
"""

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.transport.outcomes import ExchangeOutcome

OUTCOMES: dict[ExchangeOutcome, AttemptOutcome] = {
    ExchangeOutcome.SUCCEEDED: AttemptOutcome.SUCCEEDED,
    ExchangeOutcome.FAILED: AttemptOutcome.WORKER_ERROR,
    ExchangeOutcome.NOT_STARTED: AttemptOutcome.FULL,  # never ran
    ExchangeOutcome.REJECTED: AttemptOutcome.REJECTED,  # final; the worker is not at fault
    ExchangeOutcome.KILLED: AttemptOutcome.CONNECTION_BROKEN,
    ExchangeOutcome.CONNECTION_REFUSED: AttemptOutcome.UNREACHABLE,  # never ran
    ExchangeOutcome.CONNECT_FAILED: AttemptOutcome.UNREACHABLE,  # never ran
    ExchangeOutcome.SEND_INCOMPLETE: AttemptOutcome.UNREACHABLE,  # never ran
    ExchangeOutcome.CONNECTION_LOST: AttemptOutcome.CONNECTION_BROKEN,
    ExchangeOutcome.MALFORMED_RESPONSE: AttemptOutcome.CONNECTION_BROKEN,
    ExchangeOutcome.TIMED_OUT: AttemptOutcome.TIMED_OUT,
    ExchangeOutcome.CANCELLED: AttemptOutcome.CANCELLED,
    ExchangeOutcome.NOT_SENT: AttemptOutcome.NOT_SENT,  # never ran
    ExchangeOutcome.NO_DESCRIPTOR: AttemptOutcome.NOT_SENT,  # never ran; the worker is not at fault
}
