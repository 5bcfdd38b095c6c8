"""A listener that records the reports of the HTTP message readers, and a function to feed them in pieces."""

import random
from collections.abc import Callable

from ploverspoke.protocol.clients import HttpRequest
from ploverspoke.protocol.workers import LoadReport
from ploverspoke.transport.outcomes import ExchangeOutcome


class RecordingListener:
    """Records both requests and the events of responses."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.events: list[object] = []  # events of a response

    def on_request_head(self, method: str, target: str, headers: dict[str, str]) -> None:
        pass

    def on_request(self, request: HttpRequest) -> None:
        self.requests.append(request._replace(headers=dict(request.headers)))

    def on_continue_expected(self) -> None:
        pass

    def on_started(self) -> None:
        self.events.append("started")

    def on_progress(self, fraction_done: float) -> None:
        self.events.append(fraction_done)

    def on_outcome(self, outcome: ExchangeOutcome, result: str, load: LoadReport | None) -> None:
        self.events.append((outcome, result, load))

    def on_response_complete(self, reusable: bool) -> None:
        self.events.append(reusable)


def feed_in_pieces(random_numbers: random.Random, message: bytes, feed: Callable[[memoryview], None]) -> None:
    while message:
        size = random_numbers.randint(1, 40)
        feed(memoryview(message[:size]))
        message = message[size:]
