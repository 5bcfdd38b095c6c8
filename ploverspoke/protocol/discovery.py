"""The list of workers, as discovery tells it."""

from collections.abc import Callable, Mapping
from typing import Any

import httptools

from ploverspoke.transport.units import MILLISECOND

from .http_messages import HttpSyntaxError, Message, head
from .json_values import is_finite, parse

LONGEST_LIST = 1024 * 1024  # read, it takes ten times that


def watch(version: int | None, hold: int, address: str) -> bytes:
    """A watch from that version on that may wait so many ns; the whole list where we have none."""
    target = "/api/targets"
    if version is not None:
        target += f"?from={version}&hold_ms={hold // MILLISECOND}"
    return head(f"GET {target} HTTP/1.1", {"Host": address})


class WatchRejectedError(HttpSyntaxError):
    """Discovery has more calls than it can work through in time."""


class ListAnswer(Message[httptools.HttpResponseParser]):
    """Reads one answer and says when it is complete: its body, and whether the connection lasts."""

    longest_body = LONGEST_LIST

    def __init__(self, complete: Callable[[bytes, bool], None]) -> None:
        super().__init__(httptools.HttpResponseParser)
        self.complete = complete

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200:
            return
        if status in (429, 503):
            self.fail(WatchRejectedError(f"answered {status}"))
        elif status != 200:
            self.fail(HttpSyntaxError(f"answered {status}"))
        self.complete(bytes(self.body), self.lasts())


def read_list(body: bytes, enter: Callable[..., None]) -> tuple[int, bool]:
    """Enter each worker of a list; gives its version and whether it is whole. Raises HttpSyntaxError."""
    return enter_list(parse(body), enter)


def enter_list(told: Any, enter: Callable[..., None]) -> tuple[int, bool]:
    if not isinstance(told, Mapping):
        raise HttpSyntaxError("the list is no JSON object")
    version, whole, servers = told.get("version"), told.get("full"), told.get("servers")
    if not isinstance(version, int) or not isinstance(whole, bool) or not isinstance(servers, list):
        raise HttpSyntaxError("the list lacks version, full or servers")
    for entry in servers:
        if not isinstance(entry, Mapping):
            raise HttpSyntaxError("an entry of the list is no object")
        worker, address = entry.get("id"), entry.get("addr", "")
        if not isinstance(worker, str) or not isinstance(address, str):
            raise HttpSyntaxError("an entry of the list lacks id or addr")
        weight, started = entry.get("weight", 1.0), entry.get("started_ms", 0)
        rack = entry.get("cell", 0)
        if not is_finite(weight) or not is_finite(started):
            raise HttpSyntaxError(f"weight or started_ms of {worker} is no number")
        enter(
            worker,
            address,
            entry.get("zone"),
            entry.get("kind"),
            rack if isinstance(rack, int) else 0,
            entry.get("state"),
            float(weight),
            int(started),
        )
    return version, whole
