"""The order of writes: what the router waits for, with a scribe whose commits the test makes."""

import asyncio
from typing import Any

import pytest

from ploverspoke.routing.answers import RecordedAnswer
from ploverspoke.routing.request_log import CommitCallback, PreviousOutcome
from ploverspoke.testbed.audit import SOCKETS_SLACK, audit
from ploverspoke.testbed.experiment import experiment_of
from ploverspoke.testbed.records import DISPATCHER_DOWN
from ploverspoke.testbed.sockets import play_on_sockets
from tests.decisions.harness import SECOND, SETTINGS, DispatchHarness, endpoint
from tests.routing.test_service import World, message, play
from tests.testbed.test_model import WORLD

RUNS_LONG = True  # scheduled first: see tests/conftest.py


class RequestLog:
    def __init__(self) -> None:
        self.leading = True
        self.held: list[tuple[str, CommitCallback]] = []  # verbs that wait for their commit
        self.holds: set[str] = set()
        self.outcomes: list[tuple[str, int, str]] = []
        self.kept: dict[str, PreviousOutcome] = {}

    def is_leader(self) -> bool:
        return self.leading

    def leader_address(self) -> str:
        return "127.0.0.1:9"

    def digest(self, method: str, target: str, body: bytes) -> bytes:
        return target.encode() + body

    def previous_outcome(self, request_id: str) -> PreviousOutcome | None:
        return self.kept.get(request_id)

    def record_request(
        self,
        request_id: str,
        class_number: int,
        digest: bytes,
        time_left: int,
        on_committed: CommitCallback,
    ) -> None:
        self._commit("take", on_committed)

    def record_attempt(self, request_id: str, worker: str, index: int, on_committed: CommitCallback) -> None:
        self._commit("intend", on_committed)

    def record_attempt_outcome(self, request_id: str, index: int, outcome: str) -> None:
        self.outcomes.append((request_id, index, outcome))

    def record_answer(
        self, request_id: str, answer: RecordedAnswer, digest: bytes, on_committed: CommitCallback
    ) -> None:
        def told(yes: bool) -> None:
            if yes:
                self.kept[request_id] = PreviousOutcome(answer, digest, 0, "", 0)
            on_committed(yes)

        self._commit("answer", told)

    def _commit(self, verb: str, then: CommitCallback) -> None:
        if verb in self.holds:
            self.held.append((verb, then))
        else:
            asyncio.get_running_loop().call_soon(then, True)

    async def wait_for(self, verb: str) -> CommitCallback:
        while not self.held:
            await asyncio.sleep(0.001)
        assert self.held[0][0] == verb
        return self.held.pop(0)[1]


def with_scribe(script: Any, *holds: str, **settings: Any) -> RequestLog:
    scribe = RequestLog()
    scribe.holds = set(holds)

    async def run(world: World) -> None:
        await script(world, scribe)

    play(run, scribe=scribe, **settings)
    return scribe


@pytest.mark.parametrize("verb", ["take", "intend"])
def test_nothing_irreversible_leaves_before_it_is_committed(verb: str) -> None:
    async def script(world: World, scribe: RequestLog) -> None:
        asked = asyncio.create_task(world.ask(world.request("r1", "book")))
        commit = await scribe.wait_for(verb)
        await asyncio.sleep(0.05)
        assert world.sent == []
        commit(True)
        assert (await asked)[0] == 200 and scribe.outcomes == [("r1", 0, "satisfied")]

    with_scribe(script, verb)


@pytest.mark.parametrize("lost", ["leadership", "commit"])
def test_an_intent_that_came_too_late_sends_nothing(lost: str) -> None:
    async def script(world: World, scribe: RequestLog) -> None:
        asked = asyncio.create_task(world.ask(world.request("r1", "book")))
        commit = await scribe.wait_for("intend")
        if lost == "leadership":
            scribe.leading = False
        scribe.holds = set()
        commit(lost != "commit")
        await asyncio.sleep(0.01)
        assert lost == "commit" or world.sent == []
        world.service.router.completion.leave_all_to_leader()
        with pytest.raises(asyncio.IncompleteReadError):
            await asked

    with_scribe(script, "intend", *(["answer"] if lost == "commit" else []))


def test_a_leader_that_was_stopped_in_the_middle_of_a_send_does_not_finish_it() -> None:
    # On sockets a paused replica wrote the last byte when it woke, a second after another had abandoned the
    # job.
    async def script(world: World, scribe: RequestLog) -> None:
        asked = asyncio.create_task(world.ask(world.request("r1", "book")))
        commit = await scribe.wait_for("intend")
        commit(True)
        while not world.service.pool.connection_count() - world.service.pool.pending_count:
            await asyncio.sleep(0)
        scribe.leading = False
        await asyncio.sleep(0.05)
        assert world.sent == [] and ("r1", 0, "not_sent") in scribe.outcomes
        world.service.router.completion.leave_all_to_leader()
        with pytest.raises(asyncio.IncompleteReadError):
            await asked

    with_scribe(script, "intend")


def test_an_answer_is_given_when_it_is_committed_and_to_all_who_asked_for_it() -> None:
    async def script(world: World, scribe: RequestLog) -> None:
        first = asyncio.create_task(world.ask(world.request("r1", "book")))
        commit = await scribe.wait_for("answer")
        # Its answer is on its way to be committed: taken for a new one it would be handed off again.
        second = asyncio.create_task(world.ask(world.request("r1", "book")))
        await asyncio.sleep(0.05)
        assert not first.done() and not second.done()
        commit(True)
        assert (await first) == (await second) and world.ran["r1"] == 1
        again = await world.ask(world.request("r1", "book"))
        assert again[0] == 200 and world.ran["r1"] == 1
        assert (await world.ask(world.request("r1", "book", b"another")))[0] == 409

    with_scribe(script, "answer")


def test_a_client_that_comes_back_waits_for_what_is_in_flight() -> None:
    async def script(world: World, scribe: RequestLog) -> None:
        reader, writer = await world.connect()
        writer.write(world.request("r1", "book"))
        commit = await scribe.wait_for("intend")
        writer.close()
        await asyncio.sleep(0.02)
        second = asyncio.create_task(world.ask(world.request("r1", "book")))
        await asyncio.sleep(0.02)
        commit(True)
        assert (await second)[0] == 200 and world.ran["r1"] == 1

    with_scribe(script, "intend")


@pytest.mark.parametrize("comes_back", [False, True])
def test_what_nobody_waits_for_and_nobody_was_sent_is_nacked(comes_back: bool) -> None:
    # The last had left while it waited for a worker, and it was sent on all the same, whenever one was ready.
    async def script(world: World, scribe: RequestLog) -> None:
        ready = world.entries
        await world.tell([{**entry, "state": "Terminating"} for entry in ready])
        _, writer = await world.connect()
        writer.write(world.request("r1", "book"))
        while not world.service.router.requests.open_count():
            await asyncio.sleep(0.001)
        writer.close()
        for _ in range(200):
            await asyncio.sleep(0.001)
        assert not world.service.router.requests.open_count()
        await world.tell(ready)
        if comes_back:
            assert (await world.ask(world.request("r1", "book")))[0] == 503
        assert (await world.ask(world.request("r2", "book")))[0] == 200
        assert [name for _, name in world.sent] == ["r2"]

    patient = {"AbandonTimeUs": 30_000_000, "ExpectedTimeUs": 20_000_000}
    grades = [{**grade, **patient} for grade in SETTINGS["ServiceGrades"]]
    with_scribe(script, ServiceGrades=grades)


def test_clients_are_sent_on_to_the_leader() -> None:
    async def script(world: World, scribe: RequestLog) -> None:
        scribe.leading = False
        status, headers, _ = await world.ask(world.request("r1", "book"))
        assert status == 307 and headers["location"] == "http://127.0.0.1:9/book/1?a=b"
        reader, writer = await world.connect()
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await message(reader))[0].startswith("HTTP/1.1 200")
        writer.close()

    with_scribe(script)


def test_a_lost_one_is_not_sent_again_and_a_free_one_is() -> None:
    async def script(world: World, scribe: RequestLog) -> None:
        digest = scribe.digest("POST", "/book/1?a=b", b"x")
        scribe.kept["lost"] = PreviousOutcome(None, digest, 1, "w0", 5 * SECOND)
        scribe.kept["free"] = PreviousOutcome(None, digest, 1, "", 0)
        scribe.kept["spent"] = PreviousOutcome(None, digest, 6, "", 0)
        assert (await world.ask(world.request("lost", "book")))[0] == 504
        assert (await world.ask(world.request("spent", "book")))[0] == 503
        assert (await world.ask(world.request("free", "book")))[0] == 200
        assert [name for _, name in world.sent] == ["free"]

    with_scribe(script)


def test_a_labelled_one_resumes_only_in_its_rack_and_window() -> None:
    for spent, rack, place in ((0, 1, "a"), (0, 2, None), (2 * SECOND, 1, None)):
        harness = DispatchHarness([endpoint("a", rack=1), endpoint("gone", rack=1), endpoint("b", rack=2)])
        harness.dispatcher.workers["gone"].ready = False
        harness.dispatcher.workers["gone"].endpoint = endpoint("gone", rack=rack if rack == 1 else 3)
        harness.dispatcher.request_resumed(1, 0, "gone", harness.clock - spent)
        harness.send_request(1, request_class=1)
        assert harness.worker_of(1) == place


def test_replicas_killed_and_paused_run_nothing_twice_and_answer_all() -> None:
    outages = [
        {"what": "dispatcher killed", "at": "3s", "lasts": "2s", "dispatchers": [0]},
        {"what": "dispatcher killed", "at": "7s", "lasts": "2s", "dispatchers": [1]},
        {"what": "dispatcher killed", "at": "11s", "lasts": "2s", "dispatchers": [2]},
        {"what": "dispatcher paused", "at": "14s", "lasts": "1s", "dispatchers": [0]},
        {"what": "dispatcher paused", "at": "16s", "lasts": "1s", "dispatchers": [1]},
        {"what": "dispatcher paused", "at": "18s", "lasts": "1s", "dispatchers": [2]},
    ]
    e = experiment_of(
        {
            **WORLD,
            "lasts": "20s",
            "dispatchers": {"count": 3, "store": True},
            "clients": {"elsewhere_after": "500ms"},
            "troubles": outages,
        }
    )
    played = play_on_sockets(e, 1)
    assert audit(e, played.events, SOCKETS_SLACK) == []
    assert sum(event.what == DISPATCHER_DOWN for event in played.events) == 3
