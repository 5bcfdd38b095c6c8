"""The replicated state: open requests, final answers, and versions of the shared configuration.

A command that no longer matches the state is ignored. The state depends only on times that the commands
contain, so that every replica reaches the same state. The number, size and age of the retained answers are
limited, and the oldest are dropped first; open requests are never dropped.
"""

from collections import OrderedDict
from collections.abc import Callable

from ploverspoke.routing.answers import RecordedAnswer
from ploverspoke.transport.units import MINUTE

from .log_commands import (
    AcceptRequest,
    AcceptRequestUnderRules,
    AnswerRequest,
    AnswerRequestEncoded,
    CommitConfiguration,
    FinishAttempt,
    LogCommand,
    StartAttempt,
    StartAttemptInGroup,
    decode_command,
)
from .snapshot import (
    SNAPSHOT_FORMAT,
    AnsweredRequest,
    AttemptRecord,
    OpenRequest,
    RequestSnapshot,
    SharedConfiguration,
    decode_snapshot,
    encode_snapshot,
)
from .storable_text import StorableText, from_storable

MAX_ANSWERS = 200_000
MAX_RESULT_BYTES = 64 * 1024 * 1024
ANSWER_RETENTION = 15 * MINUTE  # after the deadline or the answer, whichever is later
MAX_CONFIGURATIONS = 20
REQUEST_BYTES = 1024  # of memory for each request, besides its id and its result
COPIES = 2  # of each id and result: in the state, and in its latest snapshot


class RequestStateMachine:
    """The requests and configurations that all replicas agree on."""

    def __init__(self, max_answers: int = MAX_ANSWERS, max_result_bytes: int = MAX_RESULT_BYTES) -> None:
        """Create the empty state; `max_result_bytes` limits the total size of all results."""
        self.max_answers = max_answers
        self.max_result_bytes = max_result_bytes
        self.open_requests: dict[str, OpenRequest] = {}
        self.answered: OrderedDict[str, AnsweredRequest] = OrderedDict()
        self.encoded_results: dict[str, bytes] = {}  # of those among `answered` that need it
        self.result_bytes = 0
        self.id_bytes = 0  # of all requests
        self.configurations: list[SharedConfiguration] = []
        self.highest_token = 0  # highest fencing token that a configuration was committed under
        self.now = 0  # latest time in an applied entry
        self.on_configuration: Callable[[SharedConfiguration], None] | None = None
        self.on_time: Callable[[int], None] | None = None

    def configuration(self) -> SharedConfiguration | None:
        """Return the latest configuration, if there is one."""
        return self.configurations[-1] if self.configurations else None

    def recorded_answer(self, request_id: str) -> RecordedAnswer | None:
        """Return the answer of a request; None if it has none, or it is not retained any more."""
        answered = self.answered.get(request_id)
        if answered is None:
            return None
        stored = StorableText(answered.result, self.encoded_results.get(request_id, b""))
        return RecordedAnswer(answered.answer, from_storable(stored))

    def held_bytes(self) -> int:
        """Estimate the memory that the requests take."""
        count = len(self.open_requests) + len(self.answered)
        return count * REQUEST_BYTES + COPIES * (self.id_bytes + self.result_bytes)

    # ---- State machine of consensus ----

    def apply(self, index: int, command: object) -> None:
        """Apply the stored command at `index` of the log. Raises MalformedCommandError."""
        decoded = decode_command(command)
        if decoded is not None:
            self._apply(decoded)

    def take_snapshot(self) -> bytes:
        """Return a snapshot of the complete state."""
        return encode_snapshot(
            RequestSnapshot(
                SNAPSHOT_FORMAT,
                self.open_requests,
                dict(self.answered),
                self.configurations,
                self.now,
                self.highest_token,
                dict(self.encoded_results),
            )
        )

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the complete state with a snapshot; empty data is the empty state.

        Raises MalformedSnapshotError.
        """
        snapshot = decode_snapshot(data)
        self.open_requests = snapshot.open_requests
        self.answered = OrderedDict(snapshot.answered)
        self.encoded_results = snapshot.encoded_results
        self.result_bytes = sum(len(answer.result) for answer in self.answered.values())
        self.id_bytes = sum(map(len, self.open_requests)) + sum(map(len, self.answered))
        self.configurations = snapshot.configurations
        self.highest_token = snapshot.highest_token
        self.now = 0
        latest_accepted = max((request.accepted_at for request in self.open_requests.values()), default=0)
        self._advance_time(snapshot.now or latest_accepted)
        self._report_configuration()

    # ---- Commands ----

    def _apply(self, command: LogCommand) -> None:
        match command:
            case AcceptRequest():
                self._accept(command)
            case StartAttempt():
                self._start_attempt(command)
            case FinishAttempt():
                self._finish_attempt(command)
            case AnswerRequest():
                self._answer(command)
            case CommitConfiguration():
                self._commit_configuration(command)

    def _accept(self, command: AcceptRequest) -> None:
        self._advance_time(command.now)
        request_id = command.request_id
        if request_id not in self.open_requests and request_id not in self.answered:
            self.id_bytes += len(request_id)
            request = OpenRequest(command.request_class, command.digest, command.deadline, command.now)
            if isinstance(command, AcceptRequestUnderRules):
                request.rules, request.headers_digest = command.rules, command.headers_digest
            self.open_requests[request_id] = request

    def _start_attempt(self, command: StartAttempt) -> None:
        self._advance_time(command.now)
        request = self.open_requests.get(command.request_id)
        if request is not None:
            # An entry of an older version has only one time, which is the wall time.
            wall_time = command.wall_time or command.now
            group = command.group if isinstance(command, StartAttemptInGroup) else ""
            request.attempts.append(
                AttemptRecord(command.worker, command.index, command.now, "", wall_time, group)
            )

    def _finish_attempt(self, command: FinishAttempt) -> None:
        request = self.open_requests.get(command.request_id)
        attempts = request.attempts if request is not None else []
        matching = [attempt for attempt in attempts if attempt.index == command.index]
        # An older version gave several attempts one index; which of them ended is not known then.
        if len(matching) == 1 and not matching[0].outcome_word:
            matching[0].outcome_word = command.outcome_word

    def _answer(self, command: AnswerRequest) -> None:
        """Record the answer unless there is one already: only the first answer is valid."""
        self._advance_time(command.now)
        if command.request_id in self.answered:
            return
        request = self.open_requests.pop(command.request_id, None)
        if request is None:
            self.id_bytes += len(command.request_id)
        deadline = request.deadline if request is not None else command.now
        digest = request.digest if request is not None else command.digest
        headers_digest = request.headers_digest if request is not None else b""
        if isinstance(command, AnswerRequestEncoded):
            # Of the request that was answered; an older version may have accepted it, without its headers.
            headers_digest = command.headers_digest or headers_digest
            if command.encoded_result:
                self.encoded_results[command.request_id] = command.encoded_result
        forget_at = max(command.now, deadline) + ANSWER_RETENTION
        self.answered[command.request_id] = AnsweredRequest(
            command.answer, command.result, digest, forget_at, headers_digest
        )
        self.result_bytes += len(command.result)
        self._evict_answers(command.now, command.request_id)

    def _evict_answers(self, now: int, latest_id: str) -> None:
        """Drop the oldest answers while they are too many, too large or expired; never the latest."""
        while True:
            oldest_id, oldest = next(iter(self.answered.items()))
            exceeds_limit = len(self.answered) > self.max_answers or self.result_bytes > self.max_result_bytes
            if oldest_id == latest_id or (not exceeds_limit and oldest.forget_at > now):
                return
            del self.answered[oldest_id]
            self.id_bytes -= len(oldest_id)
            self.encoded_results.pop(oldest_id, None)
            self.result_bytes -= len(oldest.result)

    def _commit_configuration(self, command: CommitConfiguration) -> None:
        # Once a configuration was committed under a lease, those of earlier holders and those without a lease
        # (token 0) are outdated.
        if command.token < self.highest_token:
            return
        self.highest_token = command.token
        version = self.configurations[-1].version + 1 if self.configurations else 1
        self.configurations.append(
            SharedConfiguration(version, command.body, command.committed_by, command.wall_time)
        )
        del self.configurations[:-MAX_CONFIGURATIONS]
        self._report_configuration()

    def _report_configuration(self) -> None:
        if self.on_configuration is not None and self.configurations:
            self.on_configuration(self.configurations[-1])

    def _advance_time(self, now: int) -> None:
        self.now = max(self.now, now)
        if self.on_time is not None:
            self.on_time(self.now)
