"""Runs one dispatcher as a process, from the configuration of the environment until SIGTERM."""

import os

from ploverspoke.transport.garbage_collection import freeze_startup_objects

from .config import Config, read_config
from .event_loop import new_event_loop
from .exit_codes import run_with_exit_code
from .service import Service
from .startup import block_signals


def create_service(config: Config) -> Service:
    """Build a dispatcher on a new event loop, which becomes the current event loop of this thread."""
    return Service(new_event_loop(), config)


def run_service(service: Service) -> None:
    """Run a service built by `create_service` until it has shut down. Raises OSError, see `Service.run`."""
    freeze_startup_objects()
    service.loop.run_until_complete(service.run())


def _run() -> None:
    service = create_service(read_config(os.environ))
    service.inherit_socket(os.environ)
    run_service(service)


def main() -> int:
    """Serve with the configuration of the environment until SIGTERM.

    Returns the exit code. 0: stopped on request. 2: the configuration is invalid or an address cannot be
    listened on.
    """
    block_signals()
    return run_with_exit_code(_run)
