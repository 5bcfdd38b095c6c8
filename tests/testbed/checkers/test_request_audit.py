"""The request audit: each faulty dispatcher breaks exactly one rule, and correct dispatchers break none."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

import pytest

from ploverspoke.decisions.interface import AttemptOutcome, AttemptResult, Endpoint, EndpointCondition
from ploverspoke.decisions.settings import Idempotency, Settings
from ploverspoke.testbed.checkers.request_audit import VIRTUAL_TOLERANCE, audit_requests
from ploverspoke.testbed.experiment_files.durations import MILLISECOND
from ploverspoke.testbed.models.baseline_policies import POLICIES, OpenRequest, TwoChoices
from ploverspoke.testbed.models.event_records import Event
from ploverspoke.testbed.models.virtual_run import run_virtual_time
from tests.testbed.harness import small_experiment

CRASH = {"what": "crash", "at": "1s", "lasts": "2s", "workers": ["w0"]}
DRAIN = {"what": "drain", "at": "1s", "lasts": "4s", "workers": ["w0"]}
ERRORS = {"what": "quick errors", "at": "1s", "lasts": "2s", "workers": ["w0"], "errors": 0.5}


class AnswersTwice(TwoChoices):
    def request_arrived(self, request_id: int, *details: Any) -> None:
        if request_id % 40 == 0:
            request = self.actions.requests[request_id].client_request  # type: ignore[attr-defined]
            self.actions.environment.answer_client(request, "nacked", 0)  # type: ignore[attr-defined]
        super().request_arrived(request_id, *details)


class LosesOneRequest(TwoChoices):
    def request_arrived(self, request_id: int, *details: Any) -> None:
        if request_id != 50:
            super().request_arrived(request_id, *details)


class RetriesNonIdempotent(TwoChoices):
    """Retries after an error as if the request had not run."""

    def attempt_ended(self, request_id: int, attempt: int, result: AttemptResult) -> None:
        if result.outcome is AttemptOutcome.WORKER_ERROR:
            result = result._replace(outcome=AttemptOutcome.FULL)
        super().attempt_ended(request_id, attempt, result)


class SendsAfterDrain(TwoChoices):
    def endpoint_list_received(self, endpoints: Iterable[Endpoint]) -> None:
        self.endpoints_changed(endpoints)

    def endpoints_changed(self, endpoints: Iterable[Endpoint]) -> None:
        super().endpoints_changed(
            endpoint._replace(condition=EndpointCondition.READY) for endpoint in endpoints
        )


class OverloadsColdWorkers(TwoChoices):
    """Sends everything to the worker that started last."""

    def choose(self, candidates: list[str]) -> str:
        return max(candidates, key=lambda worker: self.workers[worker].started_at)


class SendsTwoAttemptsAtOnce(TwoChoices):
    def send(self, request: OpenRequest) -> None:
        super().send(request)
        is_chosen = request.id % 50 == 0 and request.request_class == 0
        if is_chosen and request.id in self.open and request.attempt_count == 1:
            super().send(request)


def with_each_class(settings: Settings, **changes: Any) -> Settings:
    return replace(
        settings, classes=tuple(replace(request_class, **changes) for request_class in settings.classes)
    )


class ExceedsAttemptLimit(TwoChoices):
    """Retries without a limit of attempts."""

    def send(self, request: OpenRequest) -> None:
        self.settings = with_each_class(self.settings, max_attempts=99)
        super().send(request)


class KeepsOldAttemptLimit(TwoChoices):
    """Applies new settings, but keeps the old limit of attempts."""

    def settings_changed(self, settings: Settings, predecessors: Mapping[int, int]) -> None:
        super().settings_changed(with_each_class(settings, max_attempts=6), predecessors)


class KeepsOldIdempotency(TwoChoices):
    def settings_changed(self, settings: Settings, predecessors: Mapping[int, int]) -> None:
        super().settings_changed(with_each_class(settings, idempotency=Idempotency.IDEMPOTENT), predecessors)


ERRORS_EVERYWHERE = {**ERRORS, "workers": ["w0", "w1", "w2", "w3"], "errors": 0.7}
FEWER_ATTEMPTS = {"what": "settings changed", "at": "1s", "lasts": "2s", "most_hand_offs": 1}
NON_IDEMPOTENT_FOR_A_WHILE = {
    "what": "settings changed",
    "at": "1s",
    "lasts": "2s",
    "repeat": {"look": "irreversible"},
}
REPLACED = {"what": "dispatcher replaced", "at": "1500ms", "lasts": "2s", "dispatchers": [0, 1]}
FAULTS = [
    (KeepsOldAttemptLimit, [FEWER_ATTEMPTS, ERRORS_EVERYWHERE], "1 one answer"),
    (KeepsOldIdempotency, [NON_IDEMPOTENT_FOR_A_WHILE, ERRORS_EVERYWHERE], "2 retries"),
    (AnswersTwice, [], "1 one answer"),
    (LosesOneRequest, [], "1 one answer"),
    (ExceedsAttemptLimit, [{**ERRORS, "workers": ["w0", "w1", "w2", "w3"], "errors": 1.0}], "1 one answer"),
    (RetriesNonIdempotent, [ERRORS], "2 retries"),
    (SendsTwoAttemptsAtOnce, [], "2 retries"),
    (SendsAfterDrain, [DRAIN], "3 draining"),
    (OverloadsColdWorkers, [CRASH], "4 slow start"),
]


@pytest.mark.parametrize(("faulty", "faults", "rule"), FAULTS)
def test_faulty_dispatcher_breaks_exactly_its_rule(
    faulty: Any, faults: list[Any], rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(POLICIES, "faulty", faulty)
    worker_rules = {"tip_multiple": 1.0, "cold_share": 0.2} if CRASH in faults else {}
    experiment = small_experiment(
        troubles=faults, discovery={"notices_death": "500ms"}, worker_rules=worker_rules
    )
    findings = audit_requests(experiment, run_virtual_time(experiment, 1, "faulty"), VIRTUAL_TOLERANCE)
    assert {finding.rule for finding in findings} == {rule}
    assert findings[0].timeline, "the first finding shows what was observed"


@pytest.mark.parametrize("policy", ["ours", "random", "round robin", "two choices", "all-seeing"])
def test_correct_dispatchers_break_no_rule(policy: str) -> None:
    hang = {"what": "hang", "at": "2s", "lasts": "2s", "workers": ["w2"]}
    silent = {"what": "silences", "at": "1s", "lasts": "4s", "errors": 0.05}
    workers = [CRASH, {**DRAIN, "workers": ["w1"]}, hang, silent, {**ERRORS, "workers": ["w3"]}]
    experiment = small_experiment(troubles=[*workers, FEWER_ATTEMPTS, NON_IDEMPOTENT_FOR_A_WHILE, REPLACED])
    assert audit_requests(experiment, run_virtual_time(experiment, 1, policy), VIRTUAL_TOLERANCE) == []


# ---- Boundary cases, as single events ----


def broken_rules(*events: tuple[Any, ...], request_class: int = 0) -> list[str]:
    """The rules that request 0-0 breaks, which is sent at 0 with a deadline of 1 s and then has these events.

    An event is a tuple of its time (ms), its kind and, if it has them, the worker and the detail.
    """
    first = [
        Event(0, "sent", "0-0", 0, 0, "", [request_class, 0, 1000 * MILLISECOND, 0]),
        Event(1 * MILLISECOND, "taken", "0-0", 0, 0),
    ]
    rest = [Event(at * MILLISECOND, kind, "0-0", 0, 0, *more) for at, kind, *more in events]
    findings = audit_requests(small_experiment(), [*first, *rest], VIRTUAL_TOLERANCE)
    return [finding.rule for finding in findings]


def test_attempt_within_the_drain_grace_is_allowed() -> None:
    success = (("began", "w0", 1), ("ended", "w0", [1, "done"]), ("answered", "", "satisfied"))
    for at, rules in ((500, []), (520, ["3 draining"])):
        attempt = ((at, "came", "w0", 1), *((at + 5, *event) for event in success))
        assert broken_rules((0, "told", "w0", "draining"), *attempt) == rules


def test_rejection_is_found_unless_the_attempt_was_returned() -> None:
    for ends, rules in ((["returned"], []), (["failed"], ["2 retries"]), ([], ["2 retries"])):
        ended = [(20, "ended", "w0", [1, end]) for end in ends]
        rejected = (30, "answered", "", "nacked")
        assert broken_rules((10, "came", "w0", 1), *ended, rejected, request_class=1) == rules


def test_answer_after_the_deadline_and_success_without_a_worker_are_found() -> None:
    assert broken_rules((1100, "answered", "", "nacked")) == ["1 one answer"]
    assert broken_rules((100, "answered", "", "satisfied")) == ["1 one answer"]


def test_requests_of_a_killed_dispatcher_are_excused() -> None:
    killed = (50, "dispatcher down")
    assert broken_rules(killed, (51, "answered", "", "broken")) == []
    assert len(broken_rules((51, "answered", "", "broken"))) == 1


def test_overload_counts_only_if_discovery_reported_the_start() -> None:
    overloaded = (900, "fell", "w0", [100, 50, {"0": 100}])
    rejected = (950, "answered", "", "nacked")
    assert broken_rules((100, "up", "w0"), overloaded, rejected) == []
    assert broken_rules((100, "up", "w0"), (200, "told", "w0", "ready"), overloaded, rejected) == [
        "4 slow start"
    ]
