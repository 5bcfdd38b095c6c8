"""Runs the soak test under its former name, `python -m ploverspoke.testbed.soak`."""

import sys

from ..commands.soak import main

if __name__ == "__main__":
    print("deprecated name: use python -m ploverspoke.testbed.commands.soak", file=sys.stderr)
    main()
