"""What the end of a connection means to the decisions. Never-ran is said only where that is certain."""

from ploverspoke.transport.outcomes import ExchangeOutcome

OUTCOMES = {
    ExchangeOutcome.SUCCEEDED: "satisfied",
    ExchangeOutcome.FAILED: "worker_error",
    ExchangeOutcome.NOT_STARTED: "full",  # never ran
    ExchangeOutcome.REJECTED: "rejected",  # final, and no fault of the worker's
    ExchangeOutcome.KILLED: "broken_off",
    ExchangeOutcome.CONNECTION_REFUSED: "unreachable",  # never ran
    ExchangeOutcome.CONNECT_FAILED: "unreachable",  # never ran
    ExchangeOutcome.SEND_INCOMPLETE: "unreachable",  # never ran
    ExchangeOutcome.CONNECTION_LOST: "broken_off",
    ExchangeOutcome.MALFORMED_RESPONSE: "broken_off",
    ExchangeOutcome.TIMED_OUT: "timed_out",
    ExchangeOutcome.CANCELLED: "recalled",
    ExchangeOutcome.NOT_SENT: "not_sent",  # never ran
    ExchangeOutcome.NO_DESCRIPTOR: "not_sent",  # never ran; no fault of the worker's
}
