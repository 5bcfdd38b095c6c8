"""How a program ends: one place for the exit codes and what is said."""

import sys
from collections.abc import Callable

from .config_reader import ConfigError


def run_with_exit_code(run: Callable[[], int | None], *unusable: type[Exception]) -> int:
    """What `run` gives, or 0; 2 where the configuration, or what else is named, is of no use: why is said."""
    wrong: tuple[type[Exception], ...] = (ConfigError, *unusable)
    try:
        return run() or 0
    except wrong as error:
        print(f"ploverspoke: {error}", file=sys.stderr)
    except OSError as error:
        print(f"ploverspoke: listen: {error}", file=sys.stderr)
    return 2
