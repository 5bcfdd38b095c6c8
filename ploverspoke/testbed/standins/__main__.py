"""`python -m ploverspoke.testbed.standins KIND SPEC PART`; see `process.py` for what is said on the pipes."""

import sys
from pathlib import Path

from .process import run


def main() -> None:
    name, spec, part = sys.argv[1:]
    if name == "workers":
        from .worker import WorkerStandIn as kind
    elif name == "discovery":
        from .discovery import DiscoveryStandIn as kind  # type: ignore[assignment]
    else:
        from .clients import ClientStandIn as kind  # type: ignore[assignment]
    run(kind, name, Path(spec), int(part))


main()
