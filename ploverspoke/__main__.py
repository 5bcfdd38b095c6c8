"""Starts a real dispatcher; with words on the command line, whatever they ask for."""

import sys

if len(sys.argv) > 1:
    from .cli import main as command_line

    command_line(prog_name="ploverspoke")
else:
    from .service.startup import block_signals

    block_signals()

    from .service.service import main

    sys.exit(main())
