"""The processes of the fakes of a run."""

from typing import NamedTuple

from ..processes.child_process import ChildProcess


class FakeChildren(NamedTuple):
    """The processes of the fakes."""

    workers: list[ChildProcess]
    discovery: ChildProcess
    clients: list[ChildProcess]

    def all(self) -> list[ChildProcess]:
        """Return all of them."""
        return [*self.workers, self.discovery, *self.clients]
