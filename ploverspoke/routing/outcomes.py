"""What the end of a connection means to the decisions. Never-ran is said only where that is certain."""

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.transport.outcomes import ExchangeOutcome

OUTCOMES = {
    ExchangeOutcome.SERVED: AttemptOutcome.SUCCEEDED,
    ExchangeOutcome.FAILED: AttemptOutcome.WORKER_ERROR,
    ExchangeOutcome.RETURNED: AttemptOutcome.FULL,  # never ran
    ExchangeOutcome.REJECTED: AttemptOutcome.REJECTED,  # final, and no fault of the worker's
    ExchangeOutcome.LOST: AttemptOutcome.BROKEN_OFF,
    ExchangeOutcome.REFUSED: AttemptOutcome.UNREACHABLE,  # never ran
    ExchangeOutcome.NEVER_UP: AttemptOutcome.UNREACHABLE,  # never ran
    ExchangeOutcome.UNSENT: AttemptOutcome.UNREACHABLE,  # never ran
    ExchangeOutcome.BROKEN: AttemptOutcome.BROKEN_OFF,
    ExchangeOutcome.GARBLED: AttemptOutcome.BROKEN_OFF,
    ExchangeOutcome.TIMED_OUT: AttemptOutcome.TIMED_OUT,
    ExchangeOutcome.RECALLED: AttemptOutcome.CANCELLED,
    ExchangeOutcome.WITHHELD: AttemptOutcome.NOT_SENT,  # never ran
    ExchangeOutcome.NO_SOCKET: AttemptOutcome.NOT_SENT,  # never ran; no fault of the worker's
}
