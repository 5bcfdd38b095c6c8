"""The final answers to clients, and the interface of a client that waits for one."""

from enum import Enum
from typing import NamedTuple, Protocol


class FinalAnswer(Enum):
    """How a request was answered. The values are stored in the store's log and must not change."""

    SUCCEEDED = "satisfied"
    REJECTED = "nacked"  # it did not run, or may run again: the client may retry
    FAILED = "abandoned"  # it may or may not have taken effect
    INVALID_REQUEST = "rejected"  # a worker rejected the request as invalid


class RecordedAnswer(NamedTuple):
    """A final answer with the worker's result, which is empty unless the request succeeded."""

    answer: FinalAnswer
    result: str = ""


class Client(Protocol):
    """A client that waits for the final answer of one request."""

    def answer(self, answer: FinalAnswer, result: str = "", retry_after: int = 0) -> None:
        """Give the final answer; `retry_after` (ns) advises when to retry, 0 gives no advice."""

    def has_disconnected(self) -> bool:
        """Whether the client has closed its connection, even if the event loop has not reported it yet."""

    def disconnect(self) -> None:
        """Close the connection without an answer, because another replica has or will have the answer."""
