"""Scores one run from the events of clients and workers: service, latencies, outcomes by request class."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from ..checkers.audited_requests import Finding
from ..experiment_files.durations import MICROSECOND, MILLISECOND, SECOND
from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import RequestClass
from ..models import event_records
from ..models.event_records import BROKEN, FAILED, REJECTED, SUCCEEDED, Event

MAX_LATENCY_US = 3_600_000_000  # highest value that a histogram can record: one hour
HISTOGRAM_DIGITS = 3  # significant decimal digits
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
MAX_SHOWN_FINDINGS = 10


class RequestClassScore(
    msgspec.Struct,
    rename={
        "requests": "jobs",
        "rejected": "nacks",
        "failed": "abandoned",
        "latencies_ms": "waits_ms",
    },
):
    """Results of one request class in one run; latencies of succeeded requests start at the first try."""

    requests: int = 0
    timely: int = 0  # succeeded within the latency objective
    overdue: int = 0  # succeeded after the latency objective, within the deadline
    rejected: int = 0
    failed: int = 0
    broken: int = 0  # the connection broke
    left: int = 0  # the client disconnected before an answer
    service: float = 0.0  # earned weight, as a share of the possible weight
    latencies_ms: dict[str, float] = {}  # percentile, such as "p99" -> latency
    histogram: str = ""  # of the latencies in microseconds, in HdrHistogram's encoding


class RunScore(
    msgspec.Struct,
    rename={
        "request_classes": "grades",
        "attempts": "hand_offs",
        "requests": "submissions",
        "lateness_ms": "behind_ms",
    },
):
    """Results of one run of an experiment with one policy and seed; the encoded names are stored names."""

    policy: str
    seed: int
    service: float
    request_classes: dict[str, RequestClassScore]
    findings: list[str]  # the first broken rules, each with its timeline
    broken_rules: int
    attempts: int
    requests: int
    lateness_ms: float  # maximum of the load generator
    void: str  # why the run is not valid evidence; empty if it is
    over_time: list[list[float]]  # [second, service of the requests first sent in it]
    by_worker: dict[str, list[int]]  # worker name -> attempts started in each second
    events: int
    ran_for_s: float = 0.0


class _FirstTry(NamedTuple):
    """The first try of a request."""

    request_class: int
    sent_at: int  # ns of the run


class _Answer(NamedTuple):
    """The answer to a request that is scored."""

    at: int  # ns of the run
    outcome: str


NO_ANSWER = _Answer(0, "")


class _Observations:
    """The state of each request, collected from the events of a run, which are read once and in order."""

    def __init__(self, experiment: Experiment) -> None:
        seconds = experiment.duration // SECOND + 1
        self.scores = [RequestClassScore() for _ in experiment.request_classes]
        self.first_tries: dict[int, _FirstTry] = {}  # request number -> first try
        self.answers: dict[int, _Answer] = {}
        self.disconnected: set[int] = set()
        self.event_counts: Counter[str] = Counter()
        self.lateness = 0  # ns
        self.by_worker = {name: [0] * seconds for name in experiment.worker_names()}

    def read(self, event: Event) -> None:
        """Update the state with one event."""
        self.event_counts[event.kind] += 1
        if event.kind == event_records.REQUEST_SENT:
            self._read_sent(event)
        elif event.kind == event_records.REQUEST_ANSWERED:
            self._read_answer(event)
        elif event.kind == event_records.CLIENT_DISCONNECTED:
            self.disconnected.add(event.job)
        elif event.kind == event_records.ATTEMPT_STARTED:
            by_second = self.by_worker[event.worker]
            by_second[min(event.at // SECOND, len(by_second) - 1)] += 1
        elif event.kind == event_records.BEHIND_SCHEDULE:
            self.lateness = max(self.lateness, event.detail)

    def _read_sent(self, event: Event) -> None:
        request_class, tries, _, first_sent_at = event.detail
        if tries == 0:
            self.first_tries[event.job] = _FirstTry(request_class, first_sent_at)

    def _read_answer(self, event: Event) -> None:
        previous = self.answers.get(event.job)
        if previous is None or previous.outcome != SUCCEEDED:
            self.answers[event.job] = _Answer(event.at, event.detail)
        if event.job not in self.first_tries:
            return
        score = self.scores[self.first_tries[event.job].request_class]
        score.rejected += event.detail == REJECTED
        score.failed += event.detail == FAILED
        score.broken += event.detail == BROKEN


class _Service:
    """Earned and possible weight, by second and by request class."""

    def __init__(self, class_count: int) -> None:
        self.earned: dict[int, float] = defaultdict(float)
        self.possible: dict[int, float] = defaultdict(float)
        self.earned_by_class = [0.0] * class_count
        self.possible_by_class = [0.0] * class_count

    def add(self, request_class: int, second: int, earned: float, possible: float) -> None:
        """Add one request that was first sent in the given second."""
        self.earned[second] += earned
        self.possible[second] += possible
        self.earned_by_class[request_class] += earned
        self.possible_by_class[request_class] += possible

    def total(self) -> float:
        return sum(self.earned.values()) / max(1e-9, sum(self.possible.values()))

    def of_class(self, request_class: int) -> float:
        """Return the service of one request class; 1 if no weight was possible."""
        possible = self.possible_by_class[request_class]
        return self.earned_by_class[request_class] / possible if possible else 1.0

    def over_time(self) -> list[list[float]]:
        """Return [second, service] for each second with possible weight."""
        seconds = (second for second in sorted(self.possible) if self.possible[second])
        return [[float(second), self.earned[second] / self.possible[second]] for second in seconds]


def score_run(
    experiment: Experiment,
    policy: str,
    seed: int,
    events: Sequence[Event],
    findings: Iterable[Finding],
    void: str = "",
) -> RunScore:
    """Score the events of one run in order of time; `findings` are the broken rules that its audit found."""
    observations = _Observations(experiment)
    for event in events:
        observations.read(event)
    service = _score_requests(experiment, observations)
    broken_rules = list(findings)
    return RunScore(
        policy=policy,
        seed=seed,
        service=service.total(),
        request_classes={
            request_class.name: score
            for request_class, score in zip(experiment.request_classes, observations.scores, strict=True)
        },
        findings=[_describe(finding) for finding in broken_rules[:MAX_SHOWN_FINDINGS]],
        broken_rules=len(broken_rules),
        attempts=observations.event_counts[event_records.ATTEMPT_ARRIVED],
        requests=observations.event_counts[event_records.REQUEST_SENT],
        lateness_ms=observations.lateness / MILLISECOND,
        void=void,
        over_time=service.over_time(),
        by_worker=observations.by_worker,
        events=len(events),
    )


def _score_requests(experiment: Experiment, observations: _Observations) -> _Service:
    """Update the scores of the request classes from all requests, and return the service."""
    scores = observations.scores
    histograms = [HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS) for _ in scores]
    service = _Service(len(scores))
    for number, first in observations.first_tries.items():
        score, request_class = scores[first.request_class], experiment.request_classes[first.request_class]
        if number in observations.disconnected:
            score.left += 1
            continue
        answer = observations.answers.get(number, NO_ANSWER)
        earned = 0.0
        if answer.outcome == SUCCEEDED:
            latency = answer.at - first.sent_at
            histograms[first.request_class].record_value(max(1, latency // MICROSECOND))
            earned = _count_success(score, request_class, latency)
        score.requests += 1
        if first.sent_at >= experiment.measured_from:
            service.add(first.request_class, first.sent_at // SECOND, earned, request_class.weight)
    for number, (score, histogram) in enumerate(zip(scores, histograms, strict=True)):
        score.service = service.of_class(number)
        score.latencies_ms = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
        score.histogram = histogram.encode().decode("ascii")
    return service


def _count_success(score: RequestClassScore, request_class: RequestClass, latency: int) -> float:
    """Count a succeeded request as timely or overdue; return the earned weight."""
    if latency <= request_class.latency_objective:
        score.timely += 1
        return request_class.weight
    if latency <= request_class.deadline:
        score.overdue += 1
        return request_class.overdue_weight
    return 0.0


def _describe(finding: Finding) -> str:
    return f"rule {finding.rule}: {finding.text}" + "".join(f"\n    {line}" for line in finding.timeline)


def merge_histograms(encoded: Iterable[str]) -> HdrHistogram:
    """Merge histograms in HdrHistogram's encoding into one."""
    merged = HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
    for text in encoded:
        if text:
            merged.decode_and_add(text.encode("ascii"))
    return merged


def encode_json(value: Any) -> bytes:
    """Encode as indented JSON; durations become whole nanoseconds."""
    return msgspec.json.format(msgspec.json.encode(value, enc_hook=int))
