"""What the end of a connection means to the decisions. Never-ran is said only where that is certain."""

from ploverspoke.transport.outcomes import ExchangeOutcome

OUTCOMES = {
    ExchangeOutcome.SERVED: "satisfied",
    ExchangeOutcome.FAILED: "worker_error",
    ExchangeOutcome.RETURNED: "full",  # never ran
    ExchangeOutcome.REJECTED: "rejected",  # final, and no fault of the worker's
    ExchangeOutcome.LOST: "broken_off",
    ExchangeOutcome.REFUSED: "unreachable",  # never ran
    ExchangeOutcome.NEVER_UP: "unreachable",  # never ran
    ExchangeOutcome.UNSENT: "unreachable",  # never ran
    ExchangeOutcome.BROKEN: "broken_off",
    ExchangeOutcome.GARBLED: "broken_off",
    ExchangeOutcome.TIMED_OUT: "timed_out",
    ExchangeOutcome.RECALLED: "recalled",
    ExchangeOutcome.WITHHELD: "not_sent",  # never ran
    ExchangeOutcome.NO_SOCKET: "not_sent",  # never ran; no fault of the worker's
}
