"""The exit codes and the error line that all entry points share."""

import sys
from collections.abc import Callable

from .config_reader import ConfigError

EXIT_OK = 0
EXIT_UNUSABLE = 2  # the configuration, a file or the command line is invalid


def print_error(error: Exception) -> None:
    """Print `ploverspoke: ERROR` on standard error; every command uses this form."""
    print(f"ploverspoke: {error}", file=sys.stderr)


def run_with_exit_code(run: Callable[[], int | None], *unusable: type[Exception]) -> int:
    """Call `run` and return its exit code; EXIT_OK if it returns none.

    A ConfigError or an error of a type in `unusable` is printed, and the exit code is EXIT_UNUSABLE. The same
    applies to an OSError: the only one that is not handled during startup is a failure to listen.
    """
    unusable_errors: tuple[type[Exception], ...] = (ConfigError, *unusable)
    try:
        return run() or EXIT_OK
    except unusable_errors as error:
        print_error(error)
    except OSError as error:
        print(f"ploverspoke: listen: {error}", file=sys.stderr)
    return EXIT_UNUSABLE
