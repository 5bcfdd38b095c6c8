"""The processes that a process has started, directly and indirectly, as Linux reports them in /proc."""

import contextlib
import os
import signal
import time
from pathlib import Path

PROC = Path("/proc")
ZOMBIE_STATE = "Z"  # ended, but not waited for by its parent
KILL_INTERVAL_S = 0.005
KILL_TIMEOUT_S = 1.0  # a process that the system cannot end is left after this time


def descendants(root: int) -> list[int]:
    """Return the ids of the running processes below the process `root`.

    Below a subreaper (prctl(2), PR_SET_CHILD_SUBREAPER) that is every process it has started, also those
    whose parents have ended and those in sessions of their own.
    """
    children: dict[int, list[int]] = {}
    ended: set[int] = set()
    for entry in PROC.iterdir():
        if entry.name.isdigit():
            with contextlib.suppress(OSError):  # it has just ended
                # The name, in parentheses, may contain anything.
                state, parent = (entry / "stat").read_text(errors="replace").rpartition(")")[2].split()[:2]
                children.setdefault(int(parent), []).append(int(entry.name))
                if state == ZOMBIE_STATE:
                    ended.add(int(entry.name))
    found: list[int] = []
    unvisited = [root]
    while unvisited:
        below = children.get(unvisited.pop(), [])
        found += below
        unvisited += below
    return [process for process in found if process not in ended]


def signal_descendants(root: int, number: int) -> None:
    """Send a signal to all processes below `root`; those that may not be signalled are left out."""
    for process in descendants(root):
        with contextlib.suppress(OSError):
            os.kill(process, number)


def kill_descendants(root: int) -> None:
    """Kill all processes below `root`, also those that they start meanwhile; returns when none is left."""
    give_up_at = time.monotonic() + KILL_TIMEOUT_S
    while descendants(root) and time.monotonic() < give_up_at:
        signal_descendants(root, signal.SIGKILL)
        time.sleep(KILL_INTERVAL_S)
