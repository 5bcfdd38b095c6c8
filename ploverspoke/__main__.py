"""Runs one dispatcher when started without arguments, as the platform does, else the command line."""

import sys

if len(sys.argv) > 1:
    from .cli import main as command_line

    command_line(prog_name="ploverspoke")
else:
    from .service.startup import block_signals

    block_signals()  # before the other imports, which take a while

    from .service.program import main

    sys.exit(main())
