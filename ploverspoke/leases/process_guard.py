"""Runs a command, and kills it and all that it has started when the process that started this one has ended.

`python -m ploverspoke.leases.process_guard FD COMMAND...`: FD is the read end of a pipe whose write end the
starting process keeps open. SIGTERM and SIGINT are passed on to all processes of the command, and then this
process ends only after all of them. The exit code is that of the command, or 128 plus the number of the
signal that ended it.
"""

import ctypes
import os
import select
import signal
import subprocess
import sys
from types import FrameType

from .process_tree import descendants, kill_descendants, signal_descendants

PR_SET_PDEATHSIG = 1  # of prctl(2)
PR_SET_CHILD_SUBREAPER = 36  # of prctl(2)
POLL_INTERVAL_S = 0.02
SIGNAL_EXIT_CODE_BASE = 128  # plus the number of the signal, as in shells
EXIT_NOT_STARTED = 127  # as in shells


class ProcessGuard:
    """The command, and the end of the pipe that tells when the starting process has ended."""

    def __init__(self, pipe: int, command: list[str]) -> None:
        """Start the command. Raises OSError."""
        self.pipe = pipe
        self.must_end_all = False  # a signal to end was received
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._pass_on)
        self.process = subprocess.Popen(command, preexec_fn=_set_parent_death_signal)

    def wait(self) -> int:
        """Wait until the command has ended, or has been killed, and return the exit code."""
        while self._is_running():
            if select.select([self.pipe], [], [], POLL_INTERVAL_S)[0]:
                kill_descendants(os.getpid())
        code = self.process.returncode
        return code if code >= 0 else SIGNAL_EXIT_CODE_BASE - code

    def _is_running(self) -> bool:
        if self.process.poll() is None:
            return True
        return self.must_end_all and bool(descendants(os.getpid()))

    def _pass_on(self, number: int, frame: FrameType | None) -> None:
        self.must_end_all = True
        signal_descendants(os.getpid(), number)


def _set_parent_death_signal() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def main(arguments: list[str]) -> int:
    """Run the command in `arguments`, after the number of the pipe, and return the exit code."""
    pipe, *command = arguments
    # Orphans of the command become children of this process, and so can be found.
    ctypes.CDLL(None).prctl(PR_SET_CHILD_SUBREAPER, 1)
    try:
        guard = ProcessGuard(int(pipe), command)
    except OSError as error:
        print(f"ploverspoke: {command[0]} cannot be started: {error.strerror}", file=sys.stderr)
        return EXIT_NOT_STARTED
    return guard.wait()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
