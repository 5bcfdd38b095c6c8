"""Each rule's check is able to fail: small faulty dispatchers, each caught by exactly its rule."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Any

import pytest

from ploverspoke.decisions.interface import AttemptOutcome, AttemptResult, Endpoint, EndpointCondition
from ploverspoke.decisions.settings import Idempotency, Settings
from ploverspoke.testbed.checkers.audited_requests import Finding
from ploverspoke.testbed.checkers.request_audit import VIRTUAL_TOLERANCE, audit_requests
from ploverspoke.testbed.models.baseline_policies import POLICIES, Open, TwoChoices
from ploverspoke.testbed.models.event_records import Event
from ploverspoke.testbed.models.virtual_run import run_virtual_time
from tests.testbed.harness import MILLISECOND, small_experiment

CRASH = {"what": "crash", "at": "1s", "lasts": "2s", "workers": ["w0"]}
DRAIN = {"what": "drain", "at": "1s", "lasts": "4s", "workers": ["w0"]}
ERRORS = {"what": "quick errors", "at": "1s", "lasts": "2s", "workers": ["w0"], "errors": 0.5}


class AnswersTwice(TwoChoices):
    def request_arrived(self, request_id: int, *what: Any) -> None:
        if request_id % 40 == 0:
            request = self.host.taken[request_id].request  # type: ignore[attr-defined]
            self.host.world.answer(request, "nacked", 0)  # type: ignore[attr-defined]
        super().request_arrived(request_id, *what)


class LosesOne(TwoChoices):
    def request_arrived(self, request_id: int, *what: Any) -> None:
        if request_id != 50:
            super().request_arrived(request_id, *what)


class RepeatsIrreversible(TwoChoices):
    """Takes an error for a promise that it did not run."""

    def attempt_ended(self, request_id: int, attempt: int, result: AttemptResult) -> None:
        if result.outcome is AttemptOutcome.WORKER_ERROR:
            result = result._replace(outcome=AttemptOutcome.FULL)
        super().attempt_ended(request_id, attempt, result)


class SendsAfterDrain(TwoChoices):
    def endpoint_list_received(self, listings: Iterable[Endpoint]) -> None:
        self.endpoints_changed(listings)

    def endpoints_changed(self, listings: Iterable[Endpoint]) -> None:
        super().endpoints_changed(shown._replace(condition=EndpointCondition.READY) for shown in listings)


class TipsTheCold(TwoChoices):
    """Everything goes to the freshest worker."""

    def choose(self, among: list[str]) -> str:
        return max(among, key=lambda w: self.workers[w].started_at)


class TwoAtOnce(TwoChoices):
    def send(self, job: Open) -> None:
        super().send(job)
        if job.id % 50 == 0 and job.grade == 0 and job.id in self.open and job.hand_offs == 1:
            super().send(job)


def with_each_class(settings: Settings, **changes: Any) -> Settings:
    return replace(settings, classes=tuple(replace(each, **changes) for each in settings.classes))


class NeverStops(TwoChoices):
    """Sends on and on, whatever it is allowed."""

    def send(self, job: Open) -> None:
        self.settings = with_each_class(self.settings, max_attempts=99)
        super().send(job)


class KeepsItsAttempts(TwoChoices):
    """Takes new settings, but not how often it may send."""

    def settings_changed(self, settings: Settings, takes_over: Mapping[int, int]) -> None:
        super().settings_changed(with_each_class(settings, max_attempts=6), takes_over)


class KeepsItsRepeats(TwoChoices):
    def settings_changed(self, settings: Settings, takes_over: Mapping[int, int]) -> None:
        super().settings_changed(with_each_class(settings, idempotency=Idempotency.IDEMPOTENT), takes_over)


EVERYWHERE = {**ERRORS, "workers": ["w0", "w1", "w2", "w3"], "errors": 0.7}
FEWER = {"what": "settings changed", "at": "1s", "lasts": "2s", "most_hand_offs": 1}
STRICTER = {"what": "settings changed", "at": "1s", "lasts": "2s", "repeat": {"look": "irreversible"}}
REPLACED = {"what": "dispatcher replaced", "at": "1500ms", "lasts": "2s", "dispatchers": [0, 1]}
FAULTS = [
    (KeepsItsAttempts, [FEWER, EVERYWHERE], "1 one answer"),
    (KeepsItsRepeats, [STRICTER, EVERYWHERE], "2 retries"),
    (AnswersTwice, [], "1 one answer"),
    (LosesOne, [], "1 one answer"),
    (NeverStops, [{**ERRORS, "workers": ["w0", "w1", "w2", "w3"], "errors": 1.0}], "1 one answer"),
    (RepeatsIrreversible, [ERRORS], "2 retries"),
    (TwoAtOnce, [], "2 retries"),
    (SendsAfterDrain, [DRAIN], "3 draining"),
    (TipsTheCold, [CRASH], "4 slow start"),
]


@pytest.mark.parametrize(("faulty", "troubles", "rule"), FAULTS)
def test_a_faulty_dispatcher_is_caught_by_its_rule(
    faulty: Any, troubles: list[Any], rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(POLICIES, "faulty", faulty)
    tender = {"tip_multiple": 1.0, "cold_share": 0.2} if CRASH in troubles else {}
    e = small_experiment(troubles=troubles, discovery={"notices_death": "500ms"}, worker_rules=tender)
    findings = audit_requests(e, run_virtual_time(e, 1, "faulty"), VIRTUAL_TOLERANCE)
    assert {f.rule for f in findings} == {rule}
    assert findings[0].timeline, "the first finding prints what was seen"


@pytest.mark.parametrize("policy", ["ours", "random", "round robin", "two choices", "all-seeing"])
def test_sound_dispatchers_are_not_blamed(policy: str) -> None:
    hang = {"what": "hang", "at": "2s", "lasts": "2s", "workers": ["w2"]}
    silent = {"what": "silences", "at": "1s", "lasts": "4s", "errors": 0.05}
    workers = [CRASH, {**DRAIN, "workers": ["w1"]}, hang, silent, {**ERRORS, "workers": ["w3"]}]
    e = small_experiment(troubles=[*workers, FEWER, STRICTER, REPLACED])
    assert audit_requests(e, run_virtual_time(e, 1, policy), VIRTUAL_TOLERANCE) == []


# ---- Cases at the edge, as single events ----


def seen(*events: tuple[Any, ...], grade: int = 0) -> list[Finding]:
    """Submission 0-0 of that grade, sent at 0 with an abandon time of 1 s, and what follows."""
    first = [
        Event(0, "sent", "0-0", 0, 0, "", [grade, 0, 1000 * MILLISECOND, 0]),
        Event(1 * MILLISECOND, "taken", "0-0", 0, 0),
    ]
    rest = [Event(at * MILLISECOND, what, "0-0", 0, 0, *more) for at, what, *more in events]
    return audit_requests(small_experiment(), [*first, *rest], VIRTUAL_TOLERANCE)


def test_a_hand_off_within_the_grace_of_a_drain_is_none_too_late() -> None:
    done = (("began", "w0", 1), ("ended", "w0", [1, "done"]), ("answered", "", "satisfied"))
    for at, rules in ((500, []), (520, ["3 draining"])):
        found = seen((0, "told", "w0", "draining"), (at, "came", "w0", 1), *((at + 5, *d) for d in done))
        assert [f.rule for f in found] == rules


def test_a_nack_after_what_may_have_run_is_found_and_after_a_return_is_not() -> None:
    for end, rules in ((["returned"], []), (["failed"], ["2 retries"]), ([], ["2 retries"])):
        ends = [(20, "ended", "w0", [1, how]) for how in end]
        found = seen((10, "came", "w0", 1), *ends, (30, "answered", "", "nacked"), grade=1)
        assert [f.rule for f in found] == rules


def test_an_answer_past_the_abandon_time_and_one_that_no_worker_made_are_found() -> None:
    assert [f.rule for f in seen((1100, "answered", "", "nacked"))] == ["1 one answer"]
    assert [f.rule for f in seen((100, "answered", "", "satisfied"))] == ["1 one answer"]


def test_what_a_killed_dispatcher_had_taken_is_not_held_against_it() -> None:
    down = (50, "dispatcher down")
    assert seen(down, (51, "answered", "", "broken")) == []
    assert len(seen((51, "answered", "", "broken"))) == 1


def test_a_worker_that_discovery_showed_as_warm_is_not_the_dispatchers_to_spare() -> None:
    fell = (900, "fell", "w0", [100, 50, {"0": 100}])
    done = ((950, "answered", "", "nacked"),)
    assert seen((100, "up", "w0"), fell, *done) == []
    assert [f.rule for f in seen((100, "up", "w0"), (200, "told", "w0", "ready"), fell, *done)] == [
        "4 slow start"
    ]
