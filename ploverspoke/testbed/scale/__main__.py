"""`python -m ploverspoke.testbed.scale SPEC PART`; `host_messages.py` defines the messages on its pipes."""

import sys
from pathlib import Path

from ..processes.process_log import install


def main() -> None:
    """Run one process of simulated dispatchers."""
    spec, part = sys.argv[1:]
    # The program's modules import `log_line` by name, so it must be replaced before they are imported.
    install()
    from .dispatcher_host import run

    run(Path(spec), int(part))


main()
