"""A stand-in host that keeps books on the four rules and plays workers at random; a deployment's settings."""

import random
from collections.abc import Mapping
from dataclasses import fields, replace
from typing import Any

from ploverspoke.decisions.dispatcher import SECOND, Dispatcher
from ploverspoke.decisions.interface import NEVER_RAN, Endpoint
from ploverspoke.decisions.settings import (
    Idempotency,
    LoadReporting,
    RequestClass,
    RetryScope,
    Settings,
)

MS = 1_000_000
SETTINGS_OF_DECISIONS = Settings(
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
    classes = SETTINGS_OF_DECISIONS.classes
    for name in CLASS_FIELDS & set(overrides):
        values = overrides.pop(name)
        classes = tuple(replace(each, **{name: value}) for each, value in zip(classes, values, strict=True))
    return replace(SETTINGS_OF_DECISIONS, classes=classes, **overrides)


# A deployment's settings, as a service reads them.
SETTINGS: dict[str, Any] = {
    "Discovery": "ask",
    "Domain": {"ProgressUs": 1_000_000, "TellsStart": True, "ReportX0": "free slots"},
    "HostTypes": ["plain"],
    "Invariants": {
        "ColdShare": 0.3,
        "FallUs": 2_000_000,
        "MustAskInUs": 10_000_000,
        "StopSendingWithinUs": 500_000,
        "TipMultiple": 3.0,
        "WarmWithinUs": 1_000_000,
    },
    "Limits": {"Cancel": True, "ConnectTimeoutUs": 150_000, "MaxHandOffs": 6, "Probing": True},
    "Localities": ["a"],
    "Report": {"Fields": ["backlog", "x0"], "Via": "on_probe"},
    "RoundUs": 2000,
    "ServiceGrades": [
        {"Name": "look", "Repeat": "free", "ExpectedTimeUs": 500_000, "AbandonTimeUs": 900_000},
        {"Name": "book", "Repeat": "single_shot", "ExpectedTimeUs": 500_000, "AbandonTimeUs": 900_000},
    ],
    "Tenants": [{"Name": "acme"}],
}


def listing(name: str, condition: str = "ready", kind: int = 0, rack: int = 0, started: int = 0) -> Endpoint:
    return Endpoint(name, 0, kind, rack, condition, 1.0, started)


class Stage:
    """Hosts one dispatcher; every action is checked against the rules as it is made."""

    def __init__(self, workers: list[Endpoint], seed: int = 1, **overrides: Any) -> None:
        self.clock = 100 * SECOND
        self.settings = settings_with(**overrides)
        self.grade: dict[int, int] = {}
        self.abandon_at: dict[int, int] = {}
        self.arrived: dict[int, int] = {}
        self.tries: dict[int, list[dict[str, Any]]] = {}
        self.answers: dict[int, str] = {}
        self.timers: list[tuple[int, int]] = []
        self.probes: list[str] = []
        self.watches = 0
        self.tellings: list[tuple[Any, ...]] = []
        self.listed = {w.worker: w for w in workers}
        self.closed_at: dict[str, int] = {}
        self.dispatcher = Dispatcher(self, seed, self.settings)
        self.dispatcher.endpoint_list_received(workers)
        self.dispatcher.started()

    # ---- The host interface ----

    def now(self) -> int:
        return self.clock

    def start_attempt(self, submission_id: int, worker: str, time_out: int) -> None:
        tries, grade = self.tries[submission_id], self.grade[submission_id]
        assert submission_id not in self.answers and self.clock < self.abandon_at[submission_id]
        assert self.clock + time_out <= self.abandon_at[submission_id] and time_out > 0
        assert worker in self.listed and worker not in self.closed_at, "drains are kept"
        assert all(t["outcome"] for t in tries), "never two at once"
        for t in [t for t in tries if self.may_have_run(t)]:
            assert self.settings.classes[grade].idempotency is not Idempotency.NON_IDEMPOTENT, (
                "no effect twice"
            )
            if self.settings.classes[grade].idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                assert self.listed[t["worker"]].rack == self.listed[worker].rack
                assert self.clock < t["sent"] + self.settings.classes[grade].retry_window
        tries.append({"worker": worker, "sent": self.clock, "until": self.clock + time_out, "outcome": None})

    def may_have_run(self, hand_off: dict[str, Any]) -> bool:
        shed = hand_off["outcome"] == "full" and self.settings.full_may_have_run
        return shed or hand_off["outcome"] not in NEVER_RAN

    def cancel_attempt(self, submission_id: int, hand_off: int) -> None:
        assert self.tries[submission_id][hand_off]["outcome"] is None
        self.tries[submission_id][hand_off]["until"] = self.clock
        self.tries[submission_id][hand_off]["recalled"] = True

    def reject(self, submission_id: int, come_back_after: int) -> None:
        if self.settings.classes[self.grade[submission_id]].idempotency is not Idempotency.IDEMPOTENT:
            assert not any(self.may_have_run(t) for t in self.tries[submission_id])
        self._answer(submission_id, "nacked")

    def fail(self, submission_id: int) -> None:
        self._answer(submission_id, "abandoned")

    def _answer(self, submission_id: int, answer: str) -> None:
        assert submission_id not in self.answers, "one final answer"
        assert self.clock <= max(self.abandon_at[submission_id], self.arrived[submission_id])
        self.answers[submission_id] = answer

    def wake_at(self, token: int, when: int) -> None:
        self.timers.append((when, token))

    def probe(self, worker: str) -> None:
        self.probes.append(worker)

    def send_gossip(self, *telling: Any) -> None:
        assert self.settings.gossip_allowed
        self.tellings.append(telling)

    def watch_endpoints(self) -> None:
        self.watches += 1

    def log(self, line: str) -> None:
        pass

    # ---- What a test makes happen ----

    def submit(self, submission_id: int, grade: int = 0, slots: float = 1.0, **extra: Any) -> None:
        self.grade[submission_id] = grade
        self.arrived[submission_id] = self.clock
        self.abandon_at[submission_id] = self.clock + extra.pop("abandon_in", 3 * SECOND)
        self.tries[submission_id] = []
        given: Mapping[str, Any] = {"work_hint": 0, "subject": "", **extra}
        self.dispatcher.request_arrived(submission_id, grade, slots, self.abandon_at[submission_id], **given)

    def start(self, submission_id: int) -> None:
        self.tries[submission_id][-1]["started"] = True
        self.dispatcher.attempt_started(submission_id, len(self.tries[submission_id]) - 1)

    def end(self, submission_id: int, outcome: str) -> None:
        last = self.tries[submission_id][-1]
        last["outcome"] = outcome
        finished = submission_id in self.answers or outcome == "satisfied"
        if outcome == "satisfied" and submission_id not in self.answers:
            self.answers[submission_id] = outcome
        number = len(self.tries[submission_id]) - 1
        took = self.clock - last["sent"]
        self.dispatcher.attempt_ended(submission_id, number, last["worker"], outcome, took, finished, None)

    def leave(self, submission_id: int) -> None:
        self.answers[submission_id] = "left"
        self.dispatcher.client_disconnected(submission_id)

    def pass_time(self, span: int) -> None:
        """Let time pass; due timers and time-outs fire in order."""
        end = self.clock + span
        while True:
            out = [
                (t["until"], s)
                for s, tries in self.tries.items()
                for t in tries[-1:]
                if t["outcome"] is None and t["until"] <= end
            ]
            due = min([(when, 0, token) for when, token in self.timers if when <= end], default=None)
            late = min([(when, 1, s) for when, s in out], default=None)
            first = min([x for x in (due, late) if x is not None], default=None)
            if first is None:
                break
            self.clock = max(self.clock, first[0])
            if first[1]:
                self.end(first[2], "recalled" if self.tries[first[2]][-1].get("recalled") else "timed_out")
            else:
                self.timers.remove((first[0], first[2]))
                self.dispatcher.timer_fired(first[2])
        self.clock = end

    def where(self, submission_id: int) -> str | None:
        tries = self.tries[submission_id]
        return tries[-1]["worker"] if tries and tries[-1]["outcome"] is None else None

    def check_books(self) -> None:
        """The dispatcher's slots in flight are just those of the hand-offs that are out."""
        for worker in self.dispatcher.workers.values():
            out = [job for job in worker.out.values()]
            assert worker.in_flight == sum(job.type.slots for job in out) >= worker.running >= 0
            assert all(self.where(job.id) == worker.name for job in out)
            assert set(worker.unstarted) <= set(worker.out)
        for job in self.dispatcher.open.values():
            assert job.id not in self.answers
            assert (job.at is None) == (job in job.type.queue)


def random_run(seed: int, steps: int, **overrides: Any) -> Stage:
    """Random arrivals, notes, ends, departures and roster changes, with the books checked at each step."""
    chance = random.Random(seed)
    names = [f"w{i}" for i in range(chance.randint(1, 7))]
    listed = [listing(n, kind=i % 2, rack=i % 3) for i, n in enumerate(names)]
    stage = Stage(listed, seed, **overrides)
    ends = ["satisfied"] * 6 + ["worker_error", "full", "timed_out", "unreachable", "broken_off", "not_sent"]
    for step in range(steps):
        stage.pass_time(chance.choice([0, 1, 5, 30, 200]) * MS)
        out = [s for s in stage.tries if stage.where(s) is not None]
        roll = chance.random()
        if roll < 0.45:
            stage.submit(
                step,
                chance.randrange(3),
                chance.choice([1.0, 1.0, 2.0]),
                subject=chance.choice(["", "a", "b"]),
                abandon_in=chance.choice([-1, 0, 100 * MS, 3 * SECOND]),
            )
        elif roll < 0.6 and out:
            waiting = [s for s in out if not stage.tries[s][-1].get("started")]
            if waiting:
                stage.start(chance.choice(waiting))
        elif roll < 0.88 and out:
            stage.end(chance.choice(out), chance.choice(ends))
        elif roll < 0.9 and stage.dispatcher.open:
            stage.leave(chance.choice(list(stage.dispatcher.open)))
        elif roll < 0.92:
            stage.dispatcher.endpoint_watch_failed()
        elif roll < 0.96 and stage.probes:
            took = chance.choice([MS, SECOND])
            outcome = chance.choice(["satisfied", "timed_out"])
            stage.dispatcher.probe_completed(stage.probes.pop(), outcome, took, None)
        else:
            name = chance.choice(names)
            state = chance.choice(["ready", "ready", "draining", "gone"])
            old = stage.listed[name]
            stage.listed[name] = old._replace(condition=state, started_at=stage.clock)
            was_closed = stage.closed_at.pop(name, None) is not None
            binds = not stage.settings.only_draining_is_binding or was_closed
            if state == "draining" or (state == "gone" and binds):
                stage.closed_at[name] = stage.clock
            stage.dispatcher.endpoints_changed([stage.listed[name]])
        stage.check_books()
    stage.pass_time(10 * SECOND)
    stage.check_books()
    assert set(stage.answers) == set(stage.tries), "every submission is answered"
    return stage
