"""How a command ends: the exit codes and the error line that all entry points share."""

import sys
from collections.abc import Callable

from .config_reader import ConfigError

EXIT_OK = 0
EXIT_UNUSABLE = 2  # the configuration, a file or the call cannot be used


def print_error(error: Exception) -> None:
    """Print `ploverspoke: ERROR` on standard error, in the one form that operators know."""
    print(f"ploverspoke: {error}", file=sys.stderr)


def run_with_exit_code(run: Callable[[], int | None], *unusable: type[Exception]) -> int:
    """Return the exit code that `run` gives, EXIT_OK where it gives none.

    A ConfigError, and each error type in `unusable`, is printed and gives EXIT_UNUSABLE. So does an OSError:
    what is left of those at the start is an address that cannot be listened on.
    """
    unusable_errors: tuple[type[Exception], ...] = (ConfigError, *unusable)
    try:
        return run() or EXIT_OK
    except unusable_errors as error:
        print_error(error)
    except OSError as error:
        print(f"ploverspoke: listen: {error}", file=sys.stderr)
    return EXIT_UNUSABLE
