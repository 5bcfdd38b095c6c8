"""What the end of a connection means to the decisions. Never-ran is said only where that is certain."""

from ploverspoke.transport.ends import End

OUTCOMES = {
    End.SERVED: "satisfied",
    End.FAILED: "worker_error",
    End.RETURNED: "full",  # never ran
    End.REJECTED: "rejected",  # final, and no fault of the worker's
    End.LOST: "broken_off",
    End.REFUSED: "unreachable",  # never ran
    End.NEVER_UP: "unreachable",  # never ran
    End.UNSENT: "unreachable",  # never ran
    End.BROKEN: "broken_off",
    End.GARBLED: "broken_off",
    End.TIMED_OUT: "timed_out",
    End.RECALLED: "recalled",
    End.WITHHELD: "not_sent",  # never ran
    End.NO_SOCKET: "not_sent",  # never ran; no fault of the worker's
}
