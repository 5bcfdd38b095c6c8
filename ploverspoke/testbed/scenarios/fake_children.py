"""The child processes that run the fakes of one run."""

from typing import NamedTuple

from ..processes.child_process import ChildProcess


class FakeChildren(NamedTuple):
    """The child processes, by the kind of fake that they run."""

    workers: list[ChildProcess]
    discovery: ChildProcess
    clients: list[ChildProcess]

    def all(self) -> list[ChildProcess]:
        """Return all processes: workers, then discovery, then clients."""
        return [*self.workers, self.discovery, *self.clients]
