"""The entry point of a child process: a dispatcher on the inherited socket, with its share of the limits."""

import os
import socket
import sys

from ploverspoke.service.config import Config, read_config
from ploverspoke.service.config_reader import ConfigError
from ploverspoke.service.descriptor_limit import system_descriptor_limit
from ploverspoke.service.exit_codes import EXIT_OK, EXIT_UNUSABLE, print_error
from ploverspoke.service.program import create_service
from ploverspoke.service.startup import block_signals

from .child_environment import ChildEnvironment
from .resource_split import child_config


def main() -> int:
    """Serve until SIGTERM. Returns 0 if stopped on request, 2 if the configuration is invalid."""
    block_signals()
    child = ChildEnvironment.from_environment(os.environ)
    limit = system_descriptor_limit()

    def load_config() -> Config:
        return child_config(read_config(os.environ), child.index, child.count, limit)

    try:
        config = load_config()
    except ConfigError as error:
        print_error(error)
        return EXIT_UNUSABLE
    service = create_service(config)
    service.load_config = load_config
    service.shared_directory = os.environ.get("TMPDIR")
    service.listening_socket = socket.socket(fileno=child.socket_descriptor)
    service.on_ready = lambda: print("ready", flush=True)  # the supervisor waits for this line
    service.loop.run_until_complete(service.run())
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
