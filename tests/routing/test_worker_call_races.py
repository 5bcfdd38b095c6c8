"""Worker calls and pending connections: cancellation, timeout and response in any order, on real sockets."""

import asyncio
import itertools
from collections.abc import Callable

import pytest

from ploverspoke.protocol.workers import AttemptResponseReader, LoadReport, ResponseListener
from ploverspoke.routing.worker_calls import WorkerCall
from ploverspoke.transport.connection_pool import ConnectionPool
from ploverspoke.transport.deadlines import Deadlines
from ploverspoke.transport.outcomes import ExchangeOutcome
from ploverspoke.transport.units import MILLISECOND as MS
from ploverspoke.transport.units import SECOND
from tests.routing.harness import run_on_loop
from tests.routing.race_harness import Clock, ManualWorker, run_loop_turns, success_response, wait_until
from tests.transport.recording_pool_user import RecordingPoolUser


@pytest.mark.parametrize("method", ["on_timeout", "cancel"], ids=["too_late", "give_up"])
@pytest.mark.parametrize("after", range(8))
def test_connection_cancelled_while_pending_is_closed_and_counted_once(after: int, method: str) -> None:
    async def script() -> None:
        loop = asyncio.get_running_loop()
        worker, pool, user = (
            ManualWorker(),
            ConnectionPool(loop, Deadlines(loop), 4, SECOND, 60 * SECOND),
            RecordingPoolUser(),
        )

        pending_connection = pool.acquire(f"127.0.0.1:{worker.port}", user)
        assert pending_connection is not None
        await run_loop_turns(after)
        getattr(pending_connection, method)()
        pool.deadlines.cancel(pending_connection.deadline)
        await wait_until(
            lambda: pool.connection_count() == 0, f"never released: {user.connection}, {user.outcome}"
        )
        await run_loop_turns()
        assert pool.pending_count == 0 and (user.connection is None or user.outcome is None)
        for peer in worker.accept_pending():
            await wait_until(peer.has_ended)

    run_on_loop(script)


class RecordingCallUser:
    """Records the outcomes of its call, and whether the call had ended when each was reported."""

    call: WorkerCall

    def __init__(self) -> None:
        self.outcomes: list[tuple[ExchangeOutcome, bool]] = []

    def encode_request(self, time_left: int) -> bytes:
        return b"POST /book HTTP/1.1\r\nrequest-id: r\r\n\r\nx"

    def make_reader(self, listener: ResponseListener) -> AttemptResponseReader:
        return AttemptResponseReader(listener, "x0", "r")

    def may_send(self) -> bool:
        return True

    def on_written(self) -> None: ...

    def on_started(self) -> None: ...

    def on_progress(self, fraction_done: float) -> None: ...

    def on_ended(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        # A second attempt may be sent now, so the first must have ended.
        is_at_end = bool(self.call.reader.is_complete) or self.call.connection is None
        self.outcomes.append((outcome, is_at_end))


@pytest.mark.parametrize("state", ["opening", "begun", "written"])
@pytest.mark.parametrize("order", list(itertools.permutations(["answer", "recall", "late", "close"])))
def test_worker_call_reports_one_outcome_for_any_order_of_events(order: tuple[str, ...], state: str) -> None:
    async def script() -> None:
        loop = asyncio.get_running_loop()
        deadlines, worker = Deadlines(loop), ManualWorker()
        clock, pool = Clock(deadlines), ConnectionPool(loop, deadlines, 4, SECOND, 60 * SECOND)
        clock.hold()
        address = f"127.0.0.1:{worker.port}"
        user = RecordingCallUser()
        call = user.call = WorkerCall(pool, address, 60 * SECOND, user, delay_last_byte=True)
        if state != "opening":
            await wait_until(
                lambda: call.connection is not None and worker.accept_pending() and worker.peers[0].read()
            )
        if state == "written":
            clock.resume_after(5 * MS)
            await wait_until(worker.peers[0].requests)
        steps: dict[str, Callable[[], object]] = {
            "answer": lambda: [p.socket.send(success_response("r")) for p in worker.accept_pending()[:1]],
            "recall": call.cancel,
            "late": lambda: clock.resume_after(61 * SECOND),
            "close": call.withhold,
        }
        for step in order:
            steps[step]()
        await wait_until(lambda: user.outcomes)
        await wait_until(lambda: pool.connection_count() == len(pool.idle[address]))
        assert len(user.outcomes) == 1 and user.outcomes[0][1]
        if state != "written":
            never_ran = {ExchangeOutcome.NOT_SENT, ExchangeOutcome.SEND_INCOMPLETE}
            assert user.outcomes[0][0] in never_ran or not worker.peers[0].requests()
            assert sum(p.requests() for p in worker.accept_pending()) == 0

    run_on_loop(script)
