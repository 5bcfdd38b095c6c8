"""The auditor: judges the four rules by what clients, workers and discovery saw, and by nothing else.

Each rule is a class of its own that is fed the events in order of time. A finding names the rule and prints
the timeline of the submission or worker concerned.

Not every breach can be seen from outside with certainty, so times on the way get some slack: `slack` ns
between a dispatcher's act and what is seen of it.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from ..experiment_files.durations import MILLISECOND, format_duration
from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import Idempotency
from ..models import event_records
from ..models.event_records import Event

VIRTUAL_TOLERANCE = 5 * MILLISECOND
SOCKETS_TOLERANCE = 100 * MILLISECOND
STORE_LATE = 5000 * MILLISECOND  # past the abandon time, where a store keeps answers to be asked for
KNOWN_SHARE = 2 / 3  # of what pushed a worker over came from dispatchers that had been told of its start
LONGEST_TIMELINE = 40


class Finding(NamedTuple):
    rule: str
    at: int
    submission: str
    worker: str
    text: str
    timeline: list[str]


class HandOff:
    """One hand-off as its worker saw it."""

    __slots__ = ("began", "came", "dispatcher", "end", "end_at", "open_until", "serial", "worker")

    def __init__(self, came: int, worker: str, serial: int, dispatcher: int) -> None:
        self.came = came
        self.worker = worker
        self.serial = serial
        self.dispatcher = dispatcher
        self.began = False
        self.end = ""
        self.end_at = -1
        self.open_until = -1  # -1: still

    def may_have_run(self) -> bool:
        return self.end != "returned"


class Submission:
    """One submission as it was seen."""

    __slots__ = (
        "abandon_at",
        "answers",
        "dispatcher",
        "grade",
        "hand_offs",
        "job",
        "left_at",
        "over_at",
        "taken_at",
    )

    def __init__(self, event: Event) -> None:
        self.job = event.job
        self.dispatcher = event.dispatcher
        self.grade: int = event.detail[0]
        self.abandon_at: int = event.detail[2]
        self.taken_at = -1
        self.left_at = -1
        self.over_at = -1  # first final answer
        self.answers: list[tuple[int, str]] = []
        self.hand_offs: list[HandOff] = []


class Auditor:
    """Reads the events once, then holds each rule against each submission."""

    def __init__(self, e: Experiment, slack: int, racks: dict[str, int], zones: dict[str, int]) -> None:
        """Racks and zones of the workers, by name."""
        self.e = e
        self.slack = slack
        self.group_of = {"all": dict.fromkeys(racks, 0), "zone": zones, "rack": racks}
        self.submissions: dict[str, Submission] = {}
        self.killed: dict[int, list[int]] = defaultdict(list)
        self.findings: list[Finding] = []
        self.told: dict[tuple[int, str], int] = {}  # not ready since
        self.told_start: dict[tuple[int, str], int] = {}
        self.up_at: dict[str, int] = {}
        self.strays = 0
        self.events: list[Event] = []

    def judge(self, events: Iterable[Event]) -> list[Finding]:
        self.events = list(events)
        for event in self.events:
            read = READ.get(event.kind)
            if read is not None:
                read(self, event)
        for name, s in self.submissions.items():
            self._one_answer(name, s)
            self._repeats(name, s)
            self._one_at_a_time(name, s)
        self.findings.sort(key=lambda f: f.at)
        return self.findings

    # ---- What was seen ----

    def _sent(self, event: Event) -> None:
        self.submissions[event.request_id] = Submission(event)

    def _taken(self, event: Event) -> None:
        self.submissions[event.request_id].taken_at = event.at

    def _answered(self, event: Event) -> None:
        s = self.submissions[event.request_id]
        s.answers.append((event.at, event.detail))
        if s.over_at < 0:
            s.over_at = event.at

    def _left(self, event: Event) -> None:
        self.submissions[event.request_id].left_at = event.at

    def _came(self, event: Event) -> None:
        s = self.submissions.get(event.request_id)
        if s is None:
            self.find(
                "1 one answer", event, f"{event.worker} was sent {event.request_id!r}, which no client sent"
            )
            return
        s.hand_offs.append(HandOff(event.at, event.worker, event.detail, event.dispatcher))
        since = self.told.get((event.dispatcher, event.worker))
        if since is not None and event.at > since + self.e.rules.drain_grace + self.slack:
            late = format_duration(event.at - since)
            self.find("3 drains", event, f"sent to {event.worker} {late} after it was told not to be ready")

    def _hand_off(self, event: Event, serial: int) -> HandOff | None:
        s = self.submissions.get(event.request_id)
        found = (
            (h for h in s.hand_offs if h.worker == event.worker and h.serial == serial)
            if s is not None
            else ()
        )
        return next(iter(found), None)

    def _began(self, event: Event) -> None:
        hand_off = self._hand_off(event, event.detail)
        if hand_off is not None:
            hand_off.began = True

    def _ended(self, event: Event) -> None:
        hand_off = self._hand_off(event, event.detail[0])
        if hand_off is not None and not hand_off.end:
            hand_off.end, hand_off.end_at = event.detail[1], event.at
            if hand_off.open_until < 0:
                hand_off.open_until = event.at

    def _closed(self, event: Event) -> None:
        hand_off = self._hand_off(event, event.detail)
        if hand_off is not None and (hand_off.open_until < 0 or hand_off.open_until > event.at):
            hand_off.open_until = event.at

    def _told(self, event: Event) -> None:
        key = (event.dispatcher, event.worker)
        if event.detail == "ready":
            self.told.pop(key, None)
            self.told_start[key] = event.at
        else:
            self.told.setdefault(key, event.at)

    def _up(self, event: Event) -> None:
        self.up_at[event.worker] = event.at

    def _fell(self, event: Event) -> None:
        work, bears, sent = event.detail
        up = self.up_at.get(event.worker, 0)
        knew = sum(w for d, w in sent.items() if self.told_start.get((int(d), event.worker), -1) >= up)
        if knew >= KNOWN_SHARE * work:
            self.find(
                "4 cold workers",
                event,
                f"{event.worker} was pushed over: sent {work / bears:.2f} of what it bears",
            )

    def _dispatcher_down(self, event: Event) -> None:
        self.killed[event.dispatcher].append(event.at)

    def _dispatcher_up(self, event: Event) -> None:
        for key in [k for k in self.told if k[0] == event.dispatcher]:
            del self.told[key]

    # ---- The rules ----

    def _excused(self, s: Submission) -> bool:
        """Its dispatcher was killed while it had it; a store is there for just that."""
        if self.e.dispatchers.store:
            return False
        until = s.abandon_at + self.slack
        return any(s.taken_at - self.slack <= at <= until for at in self.killed[s.dispatcher])

    def _one_answer(self, name: str, s: Submission) -> None:
        if s.taken_at < 0:
            return
        answers = [(at, how) for at, how in s.answers if how != "broken"]
        over = s.over_at if s.left_at < 0 else min(s.left_at, s.over_at if s.over_at >= 0 else s.left_at)
        late = self.slack + (STORE_LATE if self.e.dispatchers.store else 0)
        if self.e.dispatchers.store and len({how for _, how in answers}) == 1:
            answers = answers[:1]  # asked for again, and the same was told
        if len(answers) > 1:
            self.find_for(name, "1 one answer", answers[1][0], f"{len(answers)} final answers")
        elif not answers and s.left_at < 0 and not self._excused(s):
            how = "its connection broke" if s.answers else "none came"
            self.find_for(name, "1 one answer", s.abandon_at, f"no final answer: {how}")
        elif answers and answers[0][0] > s.abandon_at + late:
            by = format_duration(answers[0][0] - s.abandon_at)
            self.find_for(name, "1 one answer", answers[0][0], f"answered {by} after its abandon time")
        if (
            answers
            and answers[0][1] == "satisfied"
            and not any(h.end in ("done", "repeat dropped") for h in s.hand_offs)
        ):
            self.find_for(name, "1 one answer", answers[0][0], "satisfied, though no worker has done it")
        for h in s.hand_offs:
            if over >= 0 and h.came > over + self.slack:
                self.find_for(name, "1 one answer", h.came, f"handed to {h.worker} after its answer")
                break
        most = self.e.rules_at(s.taken_at).max_attempts
        if len(s.hand_offs) > most:
            self.find_for(
                name, "1 one answer", s.hand_offs[most].came, f"{len(s.hand_offs)} hand-offs, {most} allowed"
            )

    def _repeats(self, name: str, s: Submission) -> None:
        grade = self.e.request_classes[s.grade]
        repeat = self.e.rules_at(s.taken_at).idempotency[s.grade]
        if repeat is Idempotency.IDEMPOTENT:
            return
        groups = self.group_of[grade.retry_scope]
        first: HandOff | None = None
        for h in s.hand_offs:
            if first is None:
                first = h if h.may_have_run() else None
            elif repeat is Idempotency.NON_IDEMPOTENT:
                self.find_for(
                    name,
                    "2 repeats",
                    h.came,
                    f"irreversible, again to {h.worker}; {first.worker} may have run it",
                )
                return
            elif groups[h.worker] != groups[first.worker]:
                self.find_for(
                    name,
                    "2 repeats",
                    h.came,
                    f"labelled, to {h.worker} outside the {grade.retry_scope} of {first.worker}",
                )
                return
            elif h.came - first.came > grade.retry_window + self.slack:
                self.find_for(
                    name, "2 repeats", h.came, f"labelled, to {h.worker} after the window of {first.worker}"
                )
                return
        nacked = next((at for at, how in s.answers if how == "nacked"), -1)
        bound = repeat is Idempotency.NON_IDEMPOTENT or grade.retry_scope != "all"
        if nacked >= 0 and first is not None and first.came < nacked and bound:
            self.find_for(name, "2 repeats", nacked, f"nacked, though {first.worker} may have run it")

    def _one_at_a_time(self, name: str, s: Submission) -> None:
        for h, following in zip(s.hand_offs, s.hand_offs[1:], strict=False):
            if h.open_until < 0 or following.came < h.open_until - self.slack:
                text = f"out at {h.worker} and {following.worker} at once"
                self.find_for(name, "2 repeats", following.came, text)
                return

    # ---- Findings ----

    def find(self, rule: str, event: Event, text: str) -> None:
        lines = self._timeline(event)
        self.findings.append(Finding(rule, event.at, event.request_id, event.worker, text, lines))

    def find_for(self, name: str, rule: str, at: int, text: str) -> None:
        self.find(rule, Event(at, "found", name, self.submissions[name].job), f"{name}: {text}")

    def _timeline(self, event: Event) -> list[str]:
        """All that was seen of its job, or of its worker where no job is concerned; for the first findings
        only.
        """
        if len(self.findings) >= 3:
            return []
        if event.job >= 0:
            seen: Iterable[Event] = (x for x in self.events if x.job == event.job)
        else:
            worker_only = (
                event_records.WORKER_STARTED,
                event_records.WORKER_DIED,
                event_records.WORKER_OVERLOADED,
                event_records.ENDPOINT_NOTIFIED,
            )
            seen = (x for x in self.events if x.worker == event.worker and x.kind in worker_only)
        return [describe(x, self.e) for x in seen][:LONGEST_TIMELINE]


READ: dict[str, Any] = {
    event_records.REQUEST_SENT: Auditor._sent,
    event_records.REQUEST_ACCEPTED: Auditor._taken,
    event_records.REQUEST_ANSWERED: Auditor._answered,
    event_records.CLIENT_DISCONNECTED: Auditor._left,
    event_records.ATTEMPT_ARRIVED: Auditor._came,
    event_records.ATTEMPT_STARTED: Auditor._began,
    event_records.ATTEMPT_ENDED: Auditor._ended,
    event_records.ATTEMPT_CLOSED: Auditor._closed,
    event_records.ENDPOINT_NOTIFIED: Auditor._told,
    event_records.WORKER_STARTED: Auditor._up,
    event_records.WORKER_OVERLOADED: Auditor._fell,
    event_records.DISPATCHER_KILLED: Auditor._dispatcher_down,
    event_records.DISPATCHER_STARTED: Auditor._dispatcher_up,
}


def describe(event: Event, e: Experiment) -> str:
    """One line of a timeline."""
    detail = event.detail
    if event.kind == event_records.REQUEST_SENT:
        request_class = e.request_classes[detail[0]]
        detail = f"{request_class.name} ({request_class.idempotency.value}), try {detail[1] + 1}"
    elif isinstance(detail, tuple):
        detail = list(detail)
    who = f" d{event.dispatcher}" if event.dispatcher >= 0 else ""
    return f"{event.at / 1e9:11.6f} s  {event.request_id:10}{who:5} {event.worker:5} {event.kind}: {detail}"


def audit_requests(e: Experiment, events: Iterable[Event], slack: int) -> list[Finding]:
    racks: dict[str, int] = {}
    zones: dict[str, int] = {}
    for w in e.workers:
        for _ in range(w.count):
            name = f"w{len(racks)}"
            racks[name] = len(racks) + 1000 if w.rack is None else w.rack
            zones[name] = e.zones().index(w.zone)
    return Auditor(e, slack, racks, zones).judge(events)
