"""`python -m ploverspoke.testbed.fakes KIND SPEC NUMBER` runs a fake process; see `fake_messages`."""

import sys
from pathlib import Path

from .fake_process import FakeProcessFactory, run


def _import_factory(kind: str) -> FakeProcessFactory:
    """Return the class of that kind; only its module is imported."""
    if kind == "workers":
        from .worker_server import FakeWorkers

        return FakeWorkers
    if kind == "discovery":
        from .discovery_server import FakeDiscovery

        return FakeDiscovery
    from .client_process import FakeClients

    return FakeClients


def main() -> None:
    """Run the fake process that the command line names."""
    kind, spec_path, number = sys.argv[1:]
    run(_import_factory(kind), kind, Path(spec_path), int(number))


main()
