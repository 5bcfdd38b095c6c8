"""Clients, without I/O: they hand in what the schedule says when it says so, however long answers take.

A submission that is nacked is tried again as the experiment tells, elsewhere, for as long as the first try's
abandon time lasts; an irreversible one also, since a nack promises that it did not run. One whose
connection broke or that was abandoned is tried again only where that is harmless.
"""

from collections.abc import Callable, Sequence

from ..experiment_files.durations import MILLISECOND
from ..experiment_files.experiment import Experiment
from ..experiment_files.tables import Idempotency
from . import event_records
from .event_records import Event, EventLog
from .random_streams import RandomDraws, RandomStreams
from .request_schedule import ScheduledRequest
from .virtual_clock import AnyTimer, Clock

LATE = 5 * MILLISECOND  # a first try that goes out later than this is the generator's fault, and is told
ASK_AGAIN = 40 * MILLISECOND  # the same id, at another replica; doubled each time...
MOST_DOUBLED = 5  # ...so often, else those that wait for a leader keep it from leading
SENT_ON_AT_ONCE = 2  # so often; two replicas may name each other
LATE_ANSWER_ALLOWANCE = 5000 * MILLISECOND  # past the abandon time an answer is still asked for
TWICE = 0.1  # share of answered ones that are asked for once more, elsewhere
LEAST_PATIENCE = 5 * MILLISECOND


class ClientRequest:
    """One submission: one try of one job."""

    __slots__ = (
        "abandon_at",
        "asked_at",
        "asks",
        "connection",
        "dispatcher",
        "id",
        "job",
        "label",
        "over",
        "sent_at",
        "timers",
        "tries",
        "twice",
    )

    def __init__(
        self,
        job: ScheduledRequest,
        tries: int,
        dispatcher: int,
        sent_at: int,
        abandon_at: int,
        labelled: bool,
    ) -> None:
        self.job = job
        self.tries = tries  # before this one
        self.id = f"{job.number:x}-{tries}"
        self.label = f"{job.number:x}" if labelled else ""
        self.dispatcher = dispatcher
        self.sent_at = sent_at
        self.abandon_at = abandon_at
        self.asked_at = dispatcher  # where its id was last brought
        self.over = False
        self.asks = 0  # of its id, after the first
        self.twice = False  # it is answered, and asked for once more
        self.timers: list[AnyTimer] = []
        self.connection: object = None  # the driver's

    def is_asked(self) -> bool:
        return self.twice or not self.over


class Clients:
    def __init__(
        self,
        e: Experiment,
        seed: int,
        jobs: Sequence[ScheduledRequest],
        clock: Clock,
        records_: EventLog,
        send: Callable[[ClientRequest], None],
        close: Callable[[ClientRequest], None],
        part: int = 0,
    ) -> None:
        """`send` carries one submission; `close` ends the connection of one that is not waited for any
        more.
        """
        self.e = e
        self.jobs = jobs
        self.clock = clock
        self.records = records_
        self.send = send
        self.close = close
        streams = RandomStreams(seed)
        self.draws: RandomDraws = streams.draws(f"clients {part}")
        self.waits = streams.generator(f"retry waits {part}")
        self.next = 0
        self.out = 0
        self.latest = 0  # by which the worst first try was behind

    def start(self) -> None:
        self._plan_next()

    def _plan_next(self) -> None:
        if self.next < len(self.jobs):
            self.clock.at(self.jobs[self.next].due_at, self._first_tries)

    def _first_tries(self) -> None:
        """All that are due; a loop that was held up catches up, and says by how much it was late."""
        now = self.clock.now()
        while self.next < len(self.jobs) and self.jobs[self.next].due_at <= now:
            job = self.jobs[self.next]
            self.next += 1
            behind = now - job.due_at
            if behind > max(LATE, self.latest):
                self.latest = behind
                self.records.add(Event(now, event_records.BEHIND_SCHEDULE, job=job.number, detail=behind))
            # Waits count from when it was due, not from when we got round to it.
            self._try(job, 0, job.dispatcher, job.due_at)
        self._plan_next()

    def _try(self, job: ScheduledRequest, tries: int, dispatcher: int, first_sent: int) -> None:
        now = self.clock.now()
        grade = self.e.request_classes[job.request_class]
        abandon_at = first_sent + grade.deadline
        labelled = grade.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        request = ClientRequest(job, tries, dispatcher, now, abandon_at, labelled)
        self.records.add(
            Event(
                now,
                event_records.REQUEST_SENT,
                request.id,
                job.number,
                dispatcher,
                detail=[job.request_class, tries, abandon_at, first_sent],
            )
        )
        self.out += 1
        late = LATE_ANSWER_ALLOWANCE if self.e.dispatchers.store else 50 * MILLISECOND
        request.timers.append(self.clock.at(abandon_at + late, self._unanswered, request))
        if job.disconnects_after and not tries:
            request.timers.append(self.clock.at(first_sent + job.disconnects_after, self._leave, request))
        self._send(request)

    # ---- What the driver says ----

    def taken(self, request: ClientRequest) -> None:
        if not request.over:
            self._note(event_records.REQUEST_ACCEPTED, request)

    def answered(self, request: ClientRequest, how: str, come_back_after: int = 0) -> None:
        """Satisfied, nacked, abandoned, rejected, or broken: the connection ended without an answer."""
        if self.e.dispatchers.store and how == "broken" and not request.over:
            self._bring_again(request, (request.asked_at + 1) % self.e.dispatchers.count)
            return
        if request.over:
            # What comes after an answer is for the auditor.
            self._note(event_records.REQUEST_ANSWERED, request, how)
            return
        self._end(request)
        self._note(event_records.REQUEST_ANSWERED, request, how)
        if self.e.dispatchers.store and self.draws.happens(TWICE):
            self.clock.at(self.clock.now() + ASK_AGAIN, self._ask_twice, request)
        repeat = self.e.request_classes[request.job.request_class].idempotency
        if how == "nacked" or (how == "broken" and repeat is Idempotency.IDEMPOTENT):
            self._again(request, come_back_after)

    def never_taken(self, request: ClientRequest) -> None:
        """No connection came up: the next dispatcher is tried at once."""
        if request.over:
            return
        if self.e.dispatchers.store:
            self._bring_again(request, (request.asked_at + 1) % self.e.dispatchers.count)
            return
        self._end(request)
        self._note(event_records.CONNECT_FAILED, request)
        self._again(request, 0, at_once=True)

    def sent_on(self, request: ClientRequest, to: int) -> None:
        """Another replica leads: the same id goes there."""
        if request.is_asked():
            self._bring_again(request, to, at_once=True)

    # ---- Inside ----

    def _bring_again(self, request: ClientRequest, to: int, at_once: bool = False) -> None:
        request.asked_at = to
        request.asks += 1
        wait = 0.0
        if not at_once or request.asks > SENT_ON_AT_ONCE:
            wait = (ASK_AGAIN << min(request.asks, MOST_DOUBLED)) * (0.5 + self.draws.fraction())
        self.clock.at(self.clock.now() + int(wait), self._bring, request)

    def _bring(self, request: ClientRequest) -> None:
        if request.is_asked():
            self._send(request)

    def _ask_twice(self, request: ClientRequest) -> None:
        """Whoever asks again, anywhere, must hear the same; the driver tells by `answered`."""
        request.twice = True
        request.asked_at = (request.asked_at + 1) % self.e.dispatchers.count
        self.send(request)

    def _send(self, request: ClientRequest) -> None:
        self.send(request)
        after = self.e.clients.failover_timeout
        if self.e.dispatchers.store and after:
            request.timers.append(self.clock.at(self.clock.now() + after, self._elsewhere, request))

    def _elsewhere(self, request: ClientRequest) -> None:
        """A replica that is paused neither answers nor hangs up."""
        if not request.over:
            self.close(request)
            self._bring_again(request, (request.asked_at + 1) % self.e.dispatchers.count, at_once=True)

    def _again(self, request: ClientRequest, come_back_after: int, at_once: bool = False) -> None:
        told = self.e.clients
        if request.tries + 1 >= told.max_attempts:
            return
        wait = 0.0
        if not at_once and told.retry_timing == "after a wait":
            wait = float(told.retry_backoff.sample(self.waits, 1)[0])
            if told.honors_retry_after:
                wait = max(wait, come_back_after * self.draws.fraction())
        count = self.e.dispatchers.count
        other = (request.dispatcher + 1 + self.draws.below(count - 1)) % count if count > 1 else 0
        now = self.clock.now()
        if now + wait + LEAST_PATIENCE < request.abandon_at:
            first_sent = request.abandon_at - self.e.request_classes[request.job.request_class].deadline
            self.clock.at(now + int(wait), self._try, request.job, request.tries + 1, other, first_sent)

    def _leave(self, request: ClientRequest) -> None:
        if not request.over:
            self._end(request)
            self._note(event_records.CLIENT_DISCONNECTED, request)
            self.close(request)

    def _unanswered(self, request: ClientRequest) -> None:
        if not request.over:
            self._end(request)
            self._note(event_records.REQUEST_TIMED_OUT, request)
            self.close(request)

    def _end(self, request: ClientRequest) -> None:
        request.over = True
        self.out -= 1
        for timer in request.timers:
            timer.call_off()

    def _note(self, what: str, request: ClientRequest, detail: str = "") -> None:
        self.records.add(
            Event(self.clock.now(), what, request.id, request.job.number, request.dispatcher, detail=detail)
        )
