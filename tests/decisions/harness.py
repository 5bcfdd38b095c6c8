"""Runs a dispatcher in simulated time, checks the four rules on each action, and plays random workers."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, fields, replace
from enum import Enum, auto
from typing import Any

from ploverspoke.decisions.dispatcher import Dispatcher
from ploverspoke.decisions.interface import (
    NEVER_RAN,
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointCondition,
    EndReason,
    LoadGossip,
)
from ploverspoke.decisions.settings import (
    Idempotency,
    LoadReporting,
    RequestClass,
    RetryScope,
    Settings,
)
from ploverspoke.decisions.state import MILLISECOND, SECOND
from ploverspoke.testbed.processes.dispatcher_process import SETTINGS as SETTINGS

MS = MILLISECOND
DECISION_SETTINGS = Settings(
    classes=(
        RequestClass(
            latency_objective=100 * MS,
            deadline=3 * SECOND,
            priority_weight=1.0,
            overdue_weight=0.25,
            idempotency=Idempotency.IDEMPOTENT,
            retry_scope=RetryScope.ALL,
            retry_window=SECOND,
            machine_kind=-1,
            latency_stretch=2.0,
            max_attempts=4,
        ),
        RequestClass(
            latency_objective=300 * MS,
            deadline=3 * SECOND,
            priority_weight=2.0,
            overdue_weight=0.0,
            idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
            retry_scope=RetryScope.RACK,
            retry_window=SECOND,
            machine_kind=-1,
            latency_stretch=2.0,
            max_attempts=4,
        ),
        RequestClass(
            latency_objective=300 * MS,
            deadline=3 * SECOND,
            priority_weight=3.0,
            overdue_weight=0.5,
            idempotency=Idempotency.NON_IDEMPOTENT,
            retry_scope=RetryScope.ALL,
            retry_window=SECOND,
            machine_kind=1,
            latency_stretch=2.0,
            max_attempts=4,
        ),
    ),
    active_classes=(0, 1, 2),
    batch_interval=2 * MS,
    dispatcher_count=2,
    dispatcher_index=0,
    zone=0,
    discovery_polling=True,
    discovery_poll_interval=10 * SECOND,
    drain_grace=500 * MS,
    workers_report_start=True,
    progress_interval=SECOND,
    load_reporting=LoadReporting.NONE,
    load_fields=(),
    cancel_allowed=True,
    probing_allowed=True,
    gossip_allowed=False,
    send_retry_after=True,
    max_retry_after=SECOND,
    connect_timeout=SECOND,
    idle_timeout=30 * SECOND,
    max_open_requests=10_000,
    full_may_have_run=False,
    only_draining_is_binding=False,
    warmup_share=0.3,
    warmup_period=5 * SECOND,
    overload_multiple=3.0,
    overload_window=2 * SECOND,
    cross_zone_cost=0.0,
    probe_cost=1.0,
    waste_cost=0.0,
    gossip_cost=0.0,
)
CLASS_FIELDS = {field.name for field in fields(RequestClass)}


def settings_with(**overrides: Any) -> Settings:
    """The settings above with other values; a field of the classes takes one value for each class."""
    classes = DECISION_SETTINGS.classes
    for name in CLASS_FIELDS & set(overrides):
        values = overrides.pop(name)
        classes = tuple(replace(each, **{name: value}) for each, value in zip(classes, values, strict=True))
    return replace(DECISION_SETTINGS, classes=classes, **overrides)


def endpoint(
    name: str,
    condition: EndpointCondition = EndpointCondition.READY,
    kind: int = 0,
    rack: int = 0,
    started_at: int = 0,
) -> Endpoint:
    return Endpoint(name, 0, kind, rack, condition, 1.0, started_at)


class Answer(Enum):
    """What has become of a request, as its client sees it."""

    SUCCEEDED = auto()
    REJECTED = auto()
    FAILED = auto()
    DISCONNECTED = auto()  # the client has left


@dataclass
class RecordedAttempt:
    worker: str
    sent_at: int
    times_out_at: int
    outcome: AttemptOutcome | None = None  # None: in flight
    started: bool = False
    cancelled: bool = False


class DispatchHarness:
    """Runs one dispatcher; every action is checked against the rules as it is made."""

    def __init__(self, endpoints: list[Endpoint], seed: int = 1, **overrides: Any) -> None:
        self.clock = 100 * SECOND
        self.settings = settings_with(**overrides)
        self.class_of: dict[int, int] = {}
        self.deadline: dict[int, int] = {}
        self.arrived_at: dict[int, int] = {}
        self.attempts: dict[int, list[RecordedAttempt]] = {}
        self.answers: dict[int, Answer] = {}
        self.timers: list[tuple[int, int]] = []
        self.probes: list[str] = []
        self.watch_calls = 0
        self.gossip_sent: list[tuple[list[int] | None, LoadGossip]] = []
        self.endpoints = {each.worker: each for each in endpoints}
        self.closed_at: dict[str, int] = {}
        self.dispatcher = Dispatcher(self, seed, self.settings)
        self.dispatcher.endpoint_list_received(endpoints)
        self.dispatcher.started()

    # ---- Actions of the dispatcher ----

    def now(self) -> int:
        return self.clock

    def start_attempt(self, request_id: int, worker: str, timeout: int) -> None:
        attempts = self.attempts[request_id]
        request_class = self.settings.classes[self.class_of[request_id]]
        assert request_id not in self.answers and self.clock < self.deadline[request_id]
        assert self.clock + timeout <= self.deadline[request_id] and timeout > 0
        assert worker in self.endpoints and worker not in self.closed_at, "drains are respected"
        assert all(each.outcome for each in attempts), "never two attempts at once"
        for earlier in [each for each in attempts if self.may_have_run(each)]:
            assert request_class.idempotency is not Idempotency.NON_IDEMPOTENT, "no effect twice"
            if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                assert self.endpoints[earlier.worker].rack == self.endpoints[worker].rack
                assert self.clock < earlier.sent_at + request_class.retry_window
        attempts.append(RecordedAttempt(worker, self.clock, self.clock + timeout))

    def may_have_run(self, attempt: RecordedAttempt) -> bool:
        is_no_proof = attempt.outcome is AttemptOutcome.FULL and self.settings.full_may_have_run
        return is_no_proof or attempt.outcome not in NEVER_RAN

    def cancel_attempt(self, request_id: int, attempt: int) -> None:
        assert self.attempts[request_id][attempt].outcome is None
        self.attempts[request_id][attempt].times_out_at = self.clock
        self.attempts[request_id][attempt].cancelled = True

    def reject(self, request_id: int, retry_after: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        if self.settings.classes[self.class_of[request_id]].idempotency is not Idempotency.IDEMPOTENT:
            assert not any(self.may_have_run(each) for each in self.attempts[request_id])
        self._answer(request_id, Answer.REJECTED)

    def fail(self, request_id: int, reason: EndReason = EndReason.NOT_STATED) -> None:
        self._answer(request_id, Answer.FAILED)

    def _answer(self, request_id: int, answer: Answer) -> None:
        assert request_id not in self.answers, "one final answer"
        assert self.clock <= max(self.deadline[request_id], self.arrived_at[request_id])
        self.answers[request_id] = answer

    def wake_at(self, token: int, when: int) -> None:
        self.timers.append((when, token))

    def probe(self, worker: str) -> None:
        self.probes.append(worker)

    def send_gossip(self, peers: Iterable[int] | None, gossip: LoadGossip) -> None:
        assert self.settings.gossip_allowed
        self.gossip_sent.append((None if peers is None else list(peers), gossip))

    def watch_endpoints(self) -> None:
        self.watch_calls += 1

    def log(self, line: str) -> None:
        pass

    # ---- Events that a test causes ----

    def send_request(
        self,
        request_id: int,
        request_class: int = 0,
        slots: float = 1.0,
        deadline_in: int = 3 * SECOND,
        affinity_key: str = "",
    ) -> None:
        deadline = self.clock + deadline_in
        self.class_of[request_id] = request_class
        self.arrived_at[request_id] = self.clock
        self.deadline[request_id] = deadline
        self.attempts[request_id] = []
        self.dispatcher.request_arrived(request_id, request_class, slots, deadline, 0, affinity_key)

    def report_start(self, request_id: int) -> None:
        self.attempts[request_id][-1].started = True
        self.dispatcher.attempt_started(request_id, len(self.attempts[request_id]) - 1)

    def end_attempt(self, request_id: int, outcome: AttemptOutcome) -> None:
        last = self.attempts[request_id][-1]
        last.outcome = outcome
        succeeded = outcome is AttemptOutcome.SUCCEEDED
        is_closed = request_id in self.answers or succeeded
        if succeeded and request_id not in self.answers:
            self.answers[request_id] = Answer.SUCCEEDED
        index = len(self.attempts[request_id]) - 1
        elapsed = self.clock - last.sent_at
        result = AttemptResult(last.worker, outcome, elapsed, is_closed)
        self.dispatcher.attempt_ended(request_id, index, result)

    def disconnect(self, request_id: int) -> None:
        self.answers[request_id] = Answer.DISCONNECTED
        self.dispatcher.client_disconnected(request_id)

    def advance(self, duration: int) -> None:
        """Let time pass; due timers and timeouts fire in order, timers before timeouts."""
        end = self.clock + duration
        while True:
            in_flight = [
                (attempts[-1].times_out_at, request_id)
                for request_id, attempts in self.attempts.items()
                if attempts and attempts[-1].outcome is None and attempts[-1].times_out_at <= end
            ]
            timer = min([(when, 0, token) for when, token in self.timers if when <= end], default=None)
            timeout = min([(when, 1, request_id) for when, request_id in in_flight], default=None)
            first = min([each for each in (timer, timeout) if each is not None], default=None)
            if first is None:
                break
            self.clock = max(self.clock, first[0])
            if first[1]:
                cancelled = self.attempts[first[2]][-1].cancelled
                outcome = AttemptOutcome.CANCELLED if cancelled else AttemptOutcome.TIMED_OUT
                self.end_attempt(first[2], outcome)
            else:
                self.timers.remove((first[0], first[2]))
                self.dispatcher.timer_fired(first[2])
        self.clock = end

    def worker_of(self, request_id: int) -> str | None:
        """The worker that has the request now."""
        attempts = self.attempts[request_id]
        return attempts[-1].worker if attempts and attempts[-1].outcome is None else None

    def check_accounting(self) -> None:
        """The slots that the dispatcher counts as in flight are those of the attempts that are."""
        for worker in self.dispatcher.workers.values():
            requests = list(worker.attempts.values())
            slots = sum(request.queue.slots for request in requests)
            assert worker.in_flight == slots >= worker.running >= 0
            assert all(self.worker_of(request.id) == worker.name for request in requests)
            assert set(worker.unstarted) <= set(worker.attempts)
        for request in self.dispatcher.open_requests.values():
            assert request.id not in self.answers
            assert (request.worker is None) == (request in request.queue.waiting)


RANDOM_OUTCOMES = [AttemptOutcome.SUCCEEDED] * 6 + [
    AttemptOutcome.WORKER_ERROR,
    AttemptOutcome.FULL,
    AttemptOutcome.TIMED_OUT,
    AttemptOutcome.UNREACHABLE,
    AttemptOutcome.BROKEN_OFF,
    AttemptOutcome.NOT_SENT,
]


def random_run(seed: int, steps: int, **overrides: Any) -> DispatchHarness:
    """Random arrivals, starts, ends, departures and endpoint changes, the accounts checked at each step."""
    randomness = random.Random(seed)
    names = [f"w{i}" for i in range(randomness.randint(1, 7))]
    endpoints = [endpoint(name, kind=i % 2, rack=i % 3) for i, name in enumerate(names)]
    harness = DispatchHarness(endpoints, seed, **overrides)
    for step in range(steps):
        harness.advance(randomness.choice([0, 1, 5, 30, 200]) * MS)
        random_event(harness, randomness, step, names)
        harness.check_accounting()
    harness.advance(10 * SECOND)
    harness.check_accounting()
    assert set(harness.answers) == set(harness.attempts), "every request is answered"
    return harness


def random_event(harness: DispatchHarness, randomness: random.Random, step: int, names: list[str]) -> None:
    out = [request_id for request_id in harness.attempts if harness.worker_of(request_id) is not None]
    roll = randomness.random()
    if roll < 0.45:
        harness.send_request(
            step,
            randomness.randrange(3),
            randomness.choice([1.0, 1.0, 2.0]),
            affinity_key=randomness.choice(["", "a", "b"]),
            deadline_in=randomness.choice([-1, 0, 100 * MS, 3 * SECOND]),
        )
    elif roll < 0.6 and out:
        waiting = [request_id for request_id in out if not harness.attempts[request_id][-1].started]
        if waiting:
            harness.report_start(randomness.choice(waiting))
    elif roll < 0.88 and out:
        harness.end_attempt(randomness.choice(out), randomness.choice(RANDOM_OUTCOMES))
    elif roll < 0.9 and harness.dispatcher.open_requests:
        harness.disconnect(randomness.choice(list(harness.dispatcher.open_requests)))
    elif roll < 0.92:
        harness.dispatcher.endpoint_watch_failed()
    elif roll < 0.96 and harness.probes:
        elapsed = randomness.choice([MS, SECOND])
        outcome = randomness.choice([AttemptOutcome.SUCCEEDED, AttemptOutcome.TIMED_OUT])
        harness.dispatcher.probe_completed(harness.probes.pop(), outcome, elapsed, None)
    else:
        random_endpoint_change(harness, randomness, randomness.choice(names))


def random_endpoint_change(harness: DispatchHarness, randomness: random.Random, name: str) -> None:
    condition = randomness.choice(
        [
            EndpointCondition.READY,
            EndpointCondition.READY,
            EndpointCondition.DRAINING,
            EndpointCondition.GONE,
        ]
    )
    before = harness.endpoints[name]
    harness.endpoints[name] = before._replace(condition=condition, started_at=harness.clock)
    was_closed = harness.closed_at.pop(name, None) is not None
    gone_is_binding = not harness.settings.only_draining_is_binding or was_closed
    if condition is EndpointCondition.DRAINING or (condition is EndpointCondition.GONE and gone_is_binding):
        harness.closed_at[name] = harness.clock
    harness.dispatcher.endpoints_changed([harness.endpoints[name]])
