"""Messages between the fake processes of a run and the process that started them, as JSON lines on pipes.

Each fake first sends what it has opened, then status reports at a fixed interval during the run, and
`RunFinished` at the end. The demo, the scale test and the capacity measurements also read the reports.
"""

from typing import Any, NamedTuple

import msgspec

from .byte_counters import Traffic


class FakeProcessSpec(
    msgspec.Struct,
    rename={"client_processes": "clients", "dispatcher_hosts": "hosts", "fake_hosts": "own_hosts"},
):
    """The parameters of a run, which the fakes read from a file."""

    experiment: dict[str, Any]  # parsed by `experiment_from_builtins`
    seed: int
    records: str  # folder of the event files
    client_processes: int
    dispatcher_hosts: list[str]  # of the dispatchers, by number; all are different
    fake_hosts: dict[str, str]  # on which fakes listen, by kind of fake
    worker_processes: int = 1  # the zones are divided among these
    reports_traffic: bool = False  # if set, the reports of every fake have to be read


class FakeCommand(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "asks_for_answered_count": "who was told",
        "overloaded_worker": "fell",
        "recovered_worker": "back",
    },
):
    """A command to a fake; each kind of fake reads the fields that it needs."""

    start: int | None = None  # time of the run's start, ns of the machine's monotonic clock
    dispatchers: list[str] = []  # client addresses, sent with `start`
    workers: dict[str, str] = {}  # for discovery: addresses by worker
    asks_for_answered_count: bool = False  # for discovery: reply with an `AnsweredCount`
    overloaded_worker: str = ""  # for discovery: a worker that crashed from overload
    recovered_worker: str = ""  # for discovery: a worker that runs again after such a crash


class WorkersOpened(msgspec.Struct):
    """The addresses on which the fake workers listen, by name."""

    addresses: dict[str, str]


class DiscoveryOpened(msgspec.Struct):
    """The address on which the fake discovery listens."""

    address: str


class ClientsReady(msgspec.Struct):
    """The number of scheduled requests that this process will send, without retries."""

    jobs: int


class FaultReport(msgspec.Struct):
    """A violation by a dispatcher, or a fault that makes the run void."""

    fault: str


class WorkerOverloadReport(msgspec.Struct, rename={"worker": "fell"}):
    """A worker crashed from overload while it was warming up."""

    worker: str


class WorkerRecoveryReport(msgspec.Struct, rename={"worker": "back"}):
    """A worker runs again after a crash from overload."""

    worker: str


class AnsweredCount(msgspec.Struct, rename={"dispatchers": "told"}):
    """The number of dispatchers that discovery has answered."""

    dispatchers: int


class RunFinished(msgspec.Struct, rename={"is_finished": "over"}):
    """The last message of a fake, sent when its event file is written."""

    is_finished: bool = True


class StatusReport(msgspec.Struct, kw_only=True, rename={"lateness": "late"}):
    """A periodic report during a run; it has the traffic if the spec asks for it."""

    lateness: int = 0  # ns, largest so far
    counted_at: int | msgspec.UnsetType = msgspec.UNSET  # ns from the start of the run
    traffic: list[Traffic] | msgspec.UnsetType = msgspec.UNSET  # by dispatcher


class WorkerStatus(NamedTuple):
    """State of one worker."""

    state: str  # "up", "cold", "slow", "hung" or "down"
    load: float  # slots in use or queued for, as a share of its slots
    attempts: int  # received so far


class WorkersStatus(StatusReport):
    """Status of a process of fake workers."""

    running: int  # attempts in execution
    workers: dict[str, WorkerStatus]


class DiscoveryStatus(StatusReport):
    """Status of the fake discovery."""

    version: int  # of the endpoint list


class ClientsStatus(
    StatusReport, kw_only=True, rename={"lateness": "late", "unanswered": "out", "lag": "behind"}
):
    """Status of a process of fake clients."""

    answers: dict[str, int]  # number by outcome
    sent: int  # scheduled requests, without retries
    unanswered: int
    lag: int  # ns, largest lateness of a scheduled request so far


class ReportSummary(
    msgspec.Struct,
    rename={"overloaded_worker": "fell", "recovered_worker": "back", "lag": "behind", "lateness": "late"},
):
    """The fields that the runner of the fakes reads from each of their messages."""

    fault: str = ""
    overloaded_worker: str = ""
    recovered_worker: str = ""
    lag: int = 0  # ns
    lateness: int = 0  # ns
