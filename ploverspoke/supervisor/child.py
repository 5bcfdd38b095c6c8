"""One of several dispatchers on a machine: the program, with its share of the limits, on a socket it
inherits.
"""

import asyncio
import os
import resource
import socket
import sys

import uvloop

from ploverspoke.program.briefing import Briefing, read_briefing
from ploverspoke.program.checked import BadKey
from ploverspoke.program.early import hold_signals
from ploverspoke.program.service import Service

from .shares import child_briefing


def main() -> int:
    hold_signals()
    place, count, number = map(int, os.environ["PLOVERSPOKE_CHILD"].split(","))
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    descriptors = None if allowed == resource.RLIM_INFINITY else allowed

    def read() -> Briefing:
        return child_briefing(read_briefing(os.environ), place, count, descriptors)

    try:
        briefing = read()
    except BadKey as error:
        print(f"ploverspoke: {error}", file=sys.stderr)
        return 2
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    service = Service(loop, briefing)
    service.read = read
    service.listening = socket.socket(fileno=number)
    service.on_ready = lambda: print("ready", flush=True)
    loop.run_until_complete(service.run())
    return 0


if __name__ == "__main__":
    sys.exit(main())
