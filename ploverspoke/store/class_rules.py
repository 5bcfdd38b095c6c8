"""The rules of request classes as the store records them, independent of the numbers in any settings.

Replicas of one store may run with different settings while they are restarted one after another, so the place
of a class in the settings means nothing to another replica. The words define the format of stored data and
must not change.
"""

from collections.abc import Iterable, Sequence

import msgspec

from ploverspoke.decisions.settings import Idempotency, RequestClass, RetryScope

IDEMPOTENCY_WORDS = {
    Idempotency.IDEMPOTENT: "free",
    Idempotency.IDEMPOTENT_WITH_KEY: "guarded",
    Idempotency.NON_IDEMPOTENT: "single_shot",
}
RETRY_SCOPE_WORDS = {RetryScope.ALL: "all", RetryScope.ZONE: "zone", RetryScope.RACK: "cell"}
IDEMPOTENCY_BY_WORD = {word: idempotency for idempotency, word in IDEMPOTENCY_WORDS.items()}
RETRY_SCOPES_BY_WORD = {word: scope for scope, word in RETRY_SCOPE_WORDS.items()}


class ClassRules(msgspec.Struct, array_like=True, frozen=True):
    """The rules under which a request was accepted: whether and where it may run again."""

    class_name: str = ""
    idempotency_word: str = ""
    retry_scope_word: str = ""
    retry_window: int = 0  # ns

    @property
    def idempotency(self) -> Idempotency:
        """Whether the request may run more than once; an unknown word is taken for non-idempotent."""
        return IDEMPOTENCY_BY_WORD.get(self.idempotency_word, Idempotency.NON_IDEMPOTENT)

    @property
    def retry_scope(self) -> RetryScope:
        """Which workers drop duplicates; an unknown word is taken for the smallest scope."""
        return RETRY_SCOPES_BY_WORD.get(self.retry_scope_word, RetryScope.RACK)

    def allow_resuming_under(self, current: "ClassRules") -> bool:
        """Whether a request that was accepted under these rules may be handled under `current` ones.

        A non-idempotent class is handled most strictly, so it is safe for every request.
        """
        return current == self or current.idempotency is Idempotency.NON_IDEMPOTENT


# Of requests that an older version accepted: whatever they were, they must not run twice.
UNKNOWN_RULES = ClassRules()


def rules_of_classes(names: Iterable[str], classes: Sequence[RequestClass]) -> tuple[ClassRules, ...]:
    """Return the rules of all classes of the settings, by class number."""
    return tuple(
        ClassRules(
            name,
            IDEMPOTENCY_WORDS[request_class.idempotency],
            RETRY_SCOPE_WORDS[request_class.retry_scope],
            request_class.retry_window,
        )
        for name, request_class in zip(names, classes, strict=True)
    )
