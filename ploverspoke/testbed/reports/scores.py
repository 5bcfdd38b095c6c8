"""What a run was worth, from what clients and workers saw."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from ..checkers.request_audit import Finding
from ..experiment_files.durations import MICROSECOND, SECOND
from ..experiment_files.experiment import Experiment
from ..models import event_records
from ..models.event_records import Event

HIGHEST = 3_600_000_000  # microseconds that a histogram can hold
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class GradeScore(msgspec.Struct):
    """One service grade over one run; waits are those of satisfied jobs, from the first try on."""

    jobs: int = 0
    timely: int = 0
    overdue: int = 0
    nacks: int = 0
    abandoned: int = 0
    broken: int = 0
    left: int = 0
    service: float = 0.0  # benefit earned, of what could be
    waits_ms: dict[str, float] = {}
    histogram: str = ""  # HdrHistogram of the waits in microseconds, as its own encoding has it


class RunScore(msgspec.Struct):
    policy: str
    seed: int
    service: float
    grades: dict[str, GradeScore]
    findings: list[str]  # broken rules, first ones with their timelines
    broken_rules: int
    hand_offs: int
    submissions: int
    behind_ms: float  # by which the load generator was, at the worst
    void: str  # why the figures mean nothing; "": they do
    over_time: list[list[float]]  # [second, service of the jobs first sent in it]
    by_worker: dict[str, list[int]]  # jobs begun, for each second
    events: int
    ran_for_s: float = 0.0


def score(
    e: Experiment,
    policy: str,
    seed: int,
    events: Sequence[Event],
    findings: Iterable[Finding],
    void: str = "",
) -> RunScore:
    first: dict[int, tuple[int, int]] = {}  # grade and first sent at, by job
    answer: dict[int, tuple[int, str]] = {}
    left: set[int] = set()
    seen: Counter[str] = Counter()
    behind = 0
    grades = [GradeScore() for _ in e.grades]
    by_worker: dict[str, list[int]] = {name: [0] * (e.lasts // SECOND + 1) for name in e.worker_names()}
    for event in events:
        seen[event.what] += 1
        if event.what == event_records.SENT:
            if event.detail[1] == 0:
                first[event.job] = (event.detail[0], event.detail[3])
        elif event.what == event_records.ANSWERED:
            if event.job not in answer or answer[event.job][1] != "satisfied":
                answer[event.job] = (event.at, event.detail)
            if event.job in first:
                g = grades[first[event.job][0]]
                g.nacks += event.detail == "nacked"
                g.abandoned += event.detail == "abandoned"
                g.broken += event.detail == "broken"
        elif event.what == event_records.LEFT:
            left.add(event.job)
        elif event.what == event_records.BEGAN:
            row = by_worker[event.worker]
            row[min(event.at // SECOND, len(row) - 1)] += 1
        elif event.what == event_records.BEHIND:
            behind = max(behind, event.detail)
    histograms = [HdrHistogram(1, HIGHEST, 3) for _ in e.grades]
    earned: dict[int, float] = defaultdict(float)
    possible: dict[int, float] = defaultdict(float)
    by_grade = [[0.0, 0.0] for _ in e.grades]
    for job, (number, sent_at) in first.items():
        grade, g = e.grades[number], grades[number]
        if job in left:
            g.left += 1
            continue
        at, how = answer.get(job, (0, ""))
        took = at - sent_at
        worth = 0.0
        if how == "satisfied":
            histograms[number].record_value(max(1, took // MICROSECOND))
            if took <= grade.expected_time:
                g.timely += 1
                worth = grade.benefit
            elif took <= grade.abandon_time:
                g.overdue += 1
                worth = grade.overdue_benefit
        g.jobs += 1
        if sent_at >= e.counted_from:
            second = sent_at // SECOND
            earned[second] += worth
            possible[second] += grade.benefit
            by_grade[number][0] += worth
            by_grade[number][1] += grade.benefit
    for g, (gained, could), histogram in zip(grades, by_grade, histograms, strict=True):
        g.service = gained / could if could else 1.0
        g.waits_ms = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
        g.histogram = histogram.encode().decode("ascii")
    told = list(findings)
    return RunScore(
        policy=policy,
        seed=seed,
        service=sum(earned.values()) / max(1e-9, sum(possible.values())),
        grades={told_.name: g for told_, g in zip(e.grades, grades, strict=True)},
        findings=[
            f"rule {f.rule}: {f.text}" + "".join(f"\n    {line}" for line in f.timeline) for f in told[:10]
        ],
        broken_rules=len(told),
        hand_offs=seen[event_records.CAME],
        submissions=seen[event_records.SENT],
        behind_ms=behind / 1e6,
        void=void,
        over_time=[[float(s), earned[s] / possible[s]] for s in sorted(possible) if possible[s]],
        by_worker=by_worker,
        events=len(events),
    )


def merged_histogram(encoded: Iterable[str]) -> HdrHistogram:
    """One histogram of several runs'."""
    whole = HdrHistogram(1, HIGHEST, 3)
    for text in encoded:
        if text:
            whole.decode_and_add(text.encode("ascii"))
    return whole


def as_json(value: Any) -> bytes:
    return msgspec.json.format(msgspec.json.encode(value, enc_hook=int))
