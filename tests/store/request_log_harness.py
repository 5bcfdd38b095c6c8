"""A request log whose commits the test controls, and a router on real sockets that uses it."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.routing.answers import RecordedAnswer
from ploverspoke.routing.request_log import CommitCallback, PreviousOutcome
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.http_messages import Headers


class ControlledRequestLog:
    """Commits at once, except for the calls in `delayed_calls`, which wait until the test commits them."""

    def __init__(self) -> None:
        self.is_leading = True
        self.pending_commits: list[tuple[str, CommitCallback]] = []  # calls that wait for their commit
        self.delayed_calls: set[str] = set()
        self.outcomes: list[tuple[str, int, AttemptOutcome]] = []
        self.groups: list[str] = []  # retry groups of the attempts
        self.previous: dict[str, PreviousOutcome] = {}

    def is_leader(self) -> bool:
        return self.is_leading

    def leader_address(self) -> str:
        return "127.0.0.1:9"

    def held_bytes(self) -> int:
        return 1000 * len(self.previous)

    def digest(self, method: str, target: str, body: bytes, headers: Headers | None = None) -> bytes:
        return target.encode() + body

    def previous_outcome(self, request_id: str) -> PreviousOutcome | None:
        return self.previous.get(request_id)

    def resume(self, request_id: str, class_number: int) -> bool:
        return True

    def record_request(
        self,
        request_id: str,
        class_number: int,
        digest: bytes,
        time_left: int,
        on_committed: CommitCallback,
    ) -> None:
        self._commit("request", on_committed)

    def record_attempt(
        self, request_id: str, worker: str, index: int, on_committed: CommitCallback, group: str = ""
    ) -> None:
        self.groups.append(group)
        self._commit("attempt", on_committed)

    def record_attempt_outcome(self, request_id: str, index: int, outcome: AttemptOutcome) -> None:
        self.outcomes.append((request_id, index, outcome))

    def record_answer(
        self, request_id: str, answer: RecordedAnswer, digest: bytes, on_committed: CommitCallback
    ) -> None:
        def on_answer_committed(is_committed: bool) -> None:
            if is_committed:
                self.previous[request_id] = PreviousOutcome(answer, digest, 0, "", 0)
            on_committed(is_committed)

        self._commit("answer", on_answer_committed)

    def _commit(self, call: str, on_committed: CommitCallback) -> None:
        if call in self.delayed_calls:
            self.pending_commits.append((call, on_committed))
        else:
            asyncio.get_running_loop().call_soon(on_committed, True)

    async def wait_for(self, call: str) -> CommitCallback:
        while not self.pending_commits:
            await asyncio.sleep(0.001)
        assert self.pending_commits[0][0] == call
        return self.pending_commits.pop(0)[1]


Scenario = Callable[[ServiceHarness, ControlledRequestLog], Awaitable[None]]


def run_with_request_log(
    scenario: Scenario, *delayed_calls: str, log: ControlledRequestLog | None = None, **settings: Any
) -> None:
    """Run the scenario on a router whose request log delays the commits of these calls."""
    request_log = log or ControlledRequestLog()
    request_log.delayed_calls = set(delayed_calls)

    async def run(harness: ServiceHarness) -> None:
        await scenario(harness, request_log)

    run_script(run, request_log=request_log, **settings)
