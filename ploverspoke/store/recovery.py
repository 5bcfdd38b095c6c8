"""Decides what a new leader may do with the requests that an earlier leader left open.

The decision uses only the replicated state, which does not contain the request itself: a request can be sent
again only after its client has retried it with the same id.
"""

from enum import Enum, auto
from typing import NamedTuple, Protocol

from ploverspoke.decisions.interface import never_ran
from ploverspoke.decisions.settings import Idempotency, RetryScope
from ploverspoke.routing.answers import FinalAnswer

from .snapshot import AttemptRecord, OpenRequest


class RetryRules(Protocol):
    """The rules of a request class that matter for recovery."""

    @property
    def idempotency(self) -> Idempotency:
        """Whether a request may run more than once."""

    @property
    def retry_scope(self) -> RetryScope:
        """Which workers drop duplicates of a request that is idempotent with a key."""


class RecoveryVerdict(Enum):
    """What a new leader may do with an open request."""

    MAY_RUN = auto()  # no attempt may have run, or it is idempotent: it is handled like a new request
    # An attempt may have run, and the request is idempotent with a key: it may run again, but only within its
    # retry scope and window.
    MAY_RUN_IN_SCOPE = auto()
    MUST_FAIL = auto()  # non-idempotent, and an attempt may have run: it fails and is never sent again


class Recovery(NamedTuple):
    """A verdict and the facts that it is based on."""

    verdict: RecoveryVerdict
    first_possibly_run: AttemptRecord | None  # the first attempt that may have run
    attempt_count: int  # attempts made so far, including those that left no record


def decide_recovery(
    request: OpenRequest, idempotency: Idempotency, full_may_have_run: bool = False
) -> Recovery:
    """Decide what may be done with an open request that was accepted with that idempotency.

    `full_may_have_run`: workers may also shed requests that they have started, so the answer "full" does not
    prove that a request did not run.
    """
    never_ran_outcomes = never_ran(full_may_have_run)
    first_possibly_run = next(
        (
            attempt
            for attempt in request.attempts
            if not attempt.never_ran or attempt.outcome not in never_ran_outcomes
        ),
        None,
    )
    attempt_count = request.next_attempt_index()
    if first_possibly_run is None or idempotency is Idempotency.IDEMPOTENT:
        return Recovery(RecoveryVerdict.MAY_RUN, None, attempt_count)
    if idempotency is Idempotency.NON_IDEMPOTENT:
        return Recovery(RecoveryVerdict.MUST_FAIL, first_possibly_run, attempt_count)
    return Recovery(RecoveryVerdict.MAY_RUN_IN_SCOPE, first_possibly_run, attempt_count)


def answer_at_deadline(
    request: OpenRequest, rules: RetryRules, full_may_have_run: bool = False
) -> FinalAnswer:
    """Return the final answer for a request, accepted under `rules`, that is not attempted any more."""
    verdict = decide_recovery(request, rules.idempotency, full_may_have_run).verdict
    may_run_again = verdict is RecoveryVerdict.MAY_RUN or (
        # The client may retry it: its scope includes every worker, and each of them drops duplicates.
        verdict is RecoveryVerdict.MAY_RUN_IN_SCOPE and rules.retry_scope is RetryScope.ALL
    )
    return FinalAnswer.REJECTED if may_run_again else FinalAnswer.FAILED
