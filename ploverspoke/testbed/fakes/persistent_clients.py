"""Fake clients of a soak: each sends requests one after another on a connection until that is closed.

The clients in `client_process` follow the schedule of an experiment instead.
"""

import asyncio
import contextlib
import random

from .http_wire import HttpMessage, read_message
from .recording_workers import RecordingWorkers

REQUEST_TIMEOUT_S = 0.9  # of both request classes of the soak
ANSWER_GRACE_S = 0.5  # after the deadline; an answer later than this counts as lost
# A connection that ends this soon after a request was sent is taken to have been closed before the dispatcher
# read the request.
IDLE_CLOSE_RACE_S = 0.02
RECONNECT_PAUSE_S = 0.02
MAX_IDLE_S = 0.08  # between two requests on a connection
MAX_LONG_IDLE_S = 3.0  # long enough for the dispatcher to close the connection or to be killed
LONG_IDLE_SHARE = 0.02
IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS = "look", "book"
IDEMPOTENT_SHARE = 0.7


class SentRequest:
    """One request, and the status of its answer."""

    def __init__(self, at: float) -> None:
        """Note when it was sent, by the event loop's clock."""
        self.at = at
        self.status = 0  # 0: no answer


class PersistentClients:
    """All clients of a soak, and the outcomes of their requests."""

    def __init__(self, port: int, workers: RecordingWorkers, randomness: random.Random) -> None:
        """Create clients of the dispatcher at that port."""
        self.port = port
        self.workers = workers
        self.random = randomness
        self.sent: list[SentRequest] = []
        self.problems: list[str] = []  # a description of each lost or wrong answer
        self.non_idempotent: set[str] = set()  # request ids
        self.is_over = False
        self.loop = asyncio.get_running_loop()

    async def run(self, number: int) -> None:
        """Run one client until the soak is over."""
        while not self.is_over:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            with contextlib.suppress(ConnectionError):
                while not self.is_over and await self._exchange(number, reader, writer):
                    is_long_idle = self.random.random() < LONG_IDLE_SHARE
                    await asyncio.sleep(
                        self.random.random() * (MAX_LONG_IDLE_S if is_long_idle else MAX_IDLE_S)
                    )
            writer.close()

    async def _exchange(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send one request; returns whether the connection can be reused."""
        request = SentRequest(self.loop.time())
        self.sent.append(request)
        request_id = f"c{number}-{len(self.sent)}"
        writer.write(self._encode_request(request_id))
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S + ANSWER_GRACE_S):
                answer = await read_message(reader)
        except TimeoutError:
            self.problems.append(f"{request_id}: no answer in {REQUEST_TIMEOUT_S + ANSWER_GRACE_S} s")
            return False
        except (ConnectionError, asyncio.IncompleteReadError):
            elapsed = self.loop.time() - request.at
            if request_id in self.workers.arrivals_by_request or elapsed > IDLE_CLOSE_RACE_S:
                self.problems.append(f"{request_id}: closed without an answer after {elapsed:.3f} s")
            return False
        request.status = answer.status
        return self._on_answer(request_id, answer)

    def _encode_request(self, request_id: str) -> bytes:
        """Return a request of a random class as HTTP."""
        request_class = NON_IDEMPOTENT_CLASS
        if self.random.random() < IDEMPOTENT_SHARE:
            request_class = IDEMPOTENT_CLASS
        else:
            self.non_idempotent.add(request_id)
        lines = [
            f"POST /{request_class} HTTP/1.1",
            "Host: soak",
            f"Request-Id: {request_id}",
            "Tenant: acme",
            f"Request-Timeout-Ms: {int(REQUEST_TIMEOUT_S * 1000)}",
            "Content-Length: 1",
        ]
        return "\r\n".join([*lines, "", "x"]).encode()

    def _on_answer(self, request_id: str, answer: HttpMessage) -> bool:
        """Check the answer; returns whether the connection stays open."""
        if answer.status == 200 and answer.body.decode() != request_id:
            self.problems.append(f"{request_id}: got another's answer")
        return answer.headers.get("connection", "").lower() != "close"


async def hold_idle_connections(port: int, count: int, seconds: float) -> None:
    """Keep `count` connections open for that time without sending requests."""
    writers = []
    for _ in range(count):
        with contextlib.suppress(OSError):
            writers.append((await asyncio.open_connection("127.0.0.1", port))[1])
    await asyncio.sleep(seconds)
    for writer in writers:
        writer.close()
