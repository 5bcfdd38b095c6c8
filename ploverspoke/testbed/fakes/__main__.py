"""`python -m ploverspoke.testbed.fakes KIND SPEC PART`; see `process.py` for what is said on the pipes."""

import sys
from pathlib import Path

from .fake_process import FakeProcess, run


def main() -> None:
    name, spec, part = sys.argv[1:]
    kind: type[FakeProcess]
    if name == "workers":
        from .worker_server import FakeWorkers

        kind = FakeWorkers
    elif name == "discovery":
        from .discovery_server import FakeDiscovery

        kind = FakeDiscovery
    else:
        from .client_process import FakeClients

        kind = FakeClients
    run(kind, name, Path(spec), int(part))


main()
