"""One of several dispatchers on a machine: the program, with its share of the limits, on a socket it
inherits.
"""

import asyncio
import os
import resource
import socket
import sys

import uvloop

from ploverspoke.service.config import Config, read_config
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.service import Service
from ploverspoke.service.startup import block_signals

from .resource_split import child_config


def main() -> int:
    block_signals()
    place, count, number = map(int, os.environ["PLOVERSPOKE_CHILD"].split(","))
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    descriptors = None if allowed == resource.RLIM_INFINITY else allowed

    def read() -> Config:
        return child_config(read_config(os.environ), place, count, descriptors)

    try:
        briefing = read()
    except ConfigError as error:
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
