"""Starts one dispatcher without arguments, as the platform does; with arguments, the command line."""

import sys

if len(sys.argv) > 1:
    from .cli import main as command_line

    command_line(prog_name="ploverspoke")
else:
    from .service.startup import block_signals

    block_signals()  # before anything else is imported, which takes a while

    from .service.service import main

    sys.exit(main())
