"""Runs a dispatcher in simulated time and checks the four dispatch rules on each of its actions."""

from collections.abc import Iterable
from dataclasses import dataclass
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
from ploverspoke.decisions.settings import Idempotency
from ploverspoke.decisions.state import MILLISECOND, SECOND, RequestQueue
from ploverspoke.testbed.processes.dispatcher_process import SETTINGS as SETTINGS

from .decision_settings import settings_with

MS = MILLISECOND


def endpoint(
    name: str,
    condition: EndpointCondition = EndpointCondition.READY,
    kind: int = 0,
    rack: int = 0,
    started_at: int = 0,
) -> Endpoint:
    return Endpoint(name, 0, kind, rack, condition, 1.0, started_at)


class Answer(Enum):
    """The final result of a request for its client."""

    SUCCEEDED = auto()
    REJECTED = auto()
    FAILED = auto()
    DISCONNECTED = auto()


@dataclass
class RecordedAttempt:
    """One attempt that the dispatcher started."""

    worker: str
    sent_at: int
    times_out_at: int
    outcome: AttemptOutcome | None = None  # None: in flight
    started: bool = False
    cancelled: bool = False


class DispatchHarness:
    """Runs one dispatcher and checks each of its actions against the rules."""

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
        assert worker in self.endpoints and worker not in self.closed_at, "no attempt at a drained worker"
        assert all(each.outcome for each in attempts), "at most one attempt in flight"
        for earlier in [each for each in attempts if self.may_have_run(each)]:
            assert request_class.idempotency is not Idempotency.NON_IDEMPOTENT, "no second execution"
            if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                assert self.endpoints[earlier.worker].rack == self.endpoints[worker].rack
                assert self.clock < earlier.sent_at + request_class.retry_window
        attempts.append(RecordedAttempt(worker, self.clock, self.clock + timeout))

    def may_have_run(self, attempt: RecordedAttempt) -> bool:
        full_is_no_proof = attempt.outcome is AttemptOutcome.FULL and self.settings.full_may_have_run
        return full_is_no_proof or attempt.outcome not in NEVER_RAN

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
        """Advance the clock; due timers and timeouts fire in order of time, timers first if both are due."""
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

    def first_queue(self) -> RequestQueue:
        """The queue that was created first."""
        return next(iter(self.dispatcher.components.queues.values()))

    def worker_of(self, request_id: int) -> str | None:
        """The worker with an attempt of the request in flight."""
        attempts = self.attempts[request_id]
        return attempts[-1].worker if attempts and attempts[-1].outcome is None else None

    def check_accounting(self) -> None:
        """Check that the dispatcher counts the slots and requests that are in flight or waiting."""
        for worker in self.dispatcher.workers.values():
            requests = list(worker.attempts.values())
            slots = sum(request.queue.slots for request in requests)
            assert worker.in_flight == slots >= worker.running >= 0
            assert all(self.worker_of(request.id) == worker.name for request in requests)
            assert set(worker.unstarted) <= set(worker.attempts)
        for request in self.dispatcher.open_requests.values():
            assert request.id not in self.answers
            assert (request.worker is None) == (request in request.queue.waiting)
