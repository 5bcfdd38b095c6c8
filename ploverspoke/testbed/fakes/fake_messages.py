"""Messages between the fake processes of a run and whoever started them, as JSON lines on their pipes.

Each process first sends what it has opened, then a status in an interval while the run goes on, and
`RunFinished` at its end. The demo, the scale test and the capacity measurements read the reports, too.
"""

from typing import Any, NamedTuple

import msgspec

from .byte_counters import Traffic


class FakeProcessSpec(msgspec.Struct):
    """A run as the fakes read it, from a file."""

    experiment: dict[str, Any]  # `experiment_from_builtins` reads it
    seed: int
    records: str  # folder
    clients: int  # processes
    hosts: list[str]  # of the dispatchers, each its own
    own_hosts: dict[str, str]  # of fakes that listen, by kind
    worker_processes: int = 1  # among which the zones are spread
    reports_traffic: bool = False  # whoever asks for it has to read the reports of every fake


class FakeCommand(
    msgspec.Struct,
    omit_defaults=True,
    rename={"asks_who_was_answered": "who was told", "worker_fell": "fell", "worker_returned": "back"},
):
    """A message to a fake; each kind reads the fields that concern it."""

    start: int | None = None  # the start of the run, ns of the machine's monotonic clock
    dispatchers: list[str] = []  # addresses for clients, with `start`
    workers: dict[str, str] = {}  # addresses by name, for discovery
    asks_who_was_answered: bool = False  # discovery counts the dispatchers that it has answered
    worker_fell: str = ""  # for discovery: a worker that an overload has ended
    worker_returned: str = ""


class WorkersOpened(msgspec.Struct):
    """Where the fake workers listen, by name."""

    addresses: dict[str, str]


class DiscoveryOpened(msgspec.Struct):
    """Where the fake discovery listens."""

    address: str


class ClientsReady(msgspec.Struct):
    """How many requests of the schedule this process will send, retries apart."""

    jobs: int


class FaultReport(msgspec.Struct):
    """Something that no dispatcher may do, or that makes the run void."""

    fault: str


class WorkerFell(msgspec.Struct, rename={"worker": "fell"}):
    """A worker was ended by an overload while it was warming up."""

    worker: str


class WorkerReturned(msgspec.Struct, rename={"worker": "back"}):
    """A worker that an overload had ended is back."""

    worker: str


class AnsweredCount(msgspec.Struct, rename={"dispatchers": "told"}):
    """How many dispatchers discovery has answered."""

    dispatchers: int


class RunFinished(msgspec.Struct, rename={"is_finished": "over"}):
    """The last message of a fake: its records are written."""

    is_finished: bool = True


class StatusReport(msgspec.Struct, kw_only=True, rename={"lateness": "late"}):
    """A report in an interval of a run. Traffic is reported where the spec asks for it."""

    lateness: int = 0  # ns, the largest so far
    counted_at: int | msgspec.UnsetType = msgspec.UNSET  # ns of the run
    traffic: list[Traffic] | msgspec.UnsetType = msgspec.UNSET  # by dispatcher


class WorkerStatus(NamedTuple):
    """State of one worker."""

    state: str  # "up", "cold", "slow", "hung" or "down"
    load: float  # share of its slots
    attempts: int  # served so far


class WorkersStatus(StatusReport):
    """Report of a process of fake workers."""

    running: int  # attempts
    workers: dict[str, WorkerStatus]


class DiscoveryStatus(StatusReport):
    """Report of the fake discovery."""

    version: int


class ClientsStatus(
    StatusReport, kw_only=True, rename={"lateness": "late", "unanswered": "out", "lag": "behind"}
):
    """Report of a process of fake clients."""

    answers: dict[str, int]  # by outcome
    sent: int
    unanswered: int
    lag: int  # ns by which the latest request of the schedule was sent late


class ReportSummary(
    msgspec.Struct,
    rename={"worker_fell": "fell", "worker_returned": "back", "lag": "behind", "lateness": "late"},
):
    """What whoever runs the fakes reads of any of their messages."""

    fault: str = ""
    worker_fell: str = ""
    worker_returned: str = ""
    lag: int = 0  # ns
    lateness: int = 0  # ns
