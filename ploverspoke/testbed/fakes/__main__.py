"""`python -m ploverspoke.testbed.fakes KIND SPEC PART` runs a fake process; see `fake_messages`."""

import sys
from pathlib import Path

from .fake_process import FakeProcessFactory, run


def _factory(kind: str) -> FakeProcessFactory:
    """Import only what that kind needs."""
    if kind == "workers":
        from .worker_server import FakeWorkers

        return FakeWorkers
    if kind == "discovery":
        from .discovery_server import FakeDiscovery

        return FakeDiscovery
    from .client_process import FakeClients

    return FakeClients


def main() -> None:
    """Read the command line and run."""
    kind, spec_path, part = sys.argv[1:]
    run(_factory(kind), kind, Path(spec_path), int(part))


main()
