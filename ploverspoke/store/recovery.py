"""Decides what becomes of open requests when another replica takes over, from the state alone.

A request's client may come back with the same id, and brings the request again; until then there is nothing
that could be sent.
"""

from enum import Enum, auto
from typing import NamedTuple

from ploverspoke.decisions.interface import never_ran
from ploverspoke.decisions.settings import Idempotency, RequestClass, RetryScope
from ploverspoke.routing.answers import FinalAnswer

from .snapshot import AttemptRecord, OpenRequest


class RecoveryVerdict(Enum):
    """What a new leader may do with an open request."""

    MAY_RUN = auto()  # no attempt may have run, or it is idempotent: it starts like a new one
    MAY_RUN_IN_SCOPE = auto()  # idempotent with a key, one may have run: in its retry scope and window only
    MUST_FAIL = auto()  # non-idempotent, and one may have run: failed, and never sent again


class Recovery(NamedTuple):
    """A verdict and what it rests on."""

    verdict: RecoveryVerdict
    may_have_run: AttemptRecord | None  # the first attempt that may have
    attempts: int  # spent before


def recover_request(
    request: OpenRequest, idempotency: Idempotency, full_may_have_run: bool = False
) -> Recovery:
    """Decide how an open request of a class with that idempotency may end.

    `full_may_have_run`: workers also shed what they had begun, so "full" is no proof that it did not run.
    """
    proofs = never_ran(full_may_have_run)
    first = next((attempt for attempt in request.attempts if attempt.outcome not in proofs), None)
    attempts = len(request.attempts)
    if first is None or idempotency is Idempotency.IDEMPOTENT:
        return Recovery(RecoveryVerdict.MAY_RUN, None, attempts)
    if idempotency is Idempotency.NON_IDEMPOTENT:
        return Recovery(RecoveryVerdict.MUST_FAIL, first, attempts)
    return Recovery(RecoveryVerdict.MAY_RUN_IN_SCOPE, first, attempts)


def answer_at_deadline(
    request: OpenRequest, request_class: RequestClass, full_may_have_run: bool = False
) -> FinalAnswer:
    """Return the final answer of a request whose client did not come back by its deadline."""
    verdict = recover_request(request, request_class.idempotency, full_may_have_run).verdict
    may_run_again = verdict is RecoveryVerdict.MAY_RUN or (
        # Its client may ask for it again: each worker of the scope drops what is a duplicate.
        verdict is RecoveryVerdict.MAY_RUN_IN_SCOPE and request_class.retry_scope is RetryScope.ALL
    )
    return FinalAnswer.REJECTED if may_run_again else FinalAnswer.FAILED
