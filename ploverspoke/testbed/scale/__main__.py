"""`python -m ploverspoke.testbed.scale SPEC PART`; see `process.py` for what is said on the pipes."""

import sys
from pathlib import Path

from ..processes.process_log import install


def main() -> None:
    spec, part = sys.argv[1:]
    # The program's modules take `say` by name as they are imported: it has to be in its place before.
    install()
    from .dispatcher_host import run

    run(Path(spec), int(part))


main()
