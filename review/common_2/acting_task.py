"""A command for `lease run`: acts every 20 ms, by writing its token and the time to a file.

    acting_task.py FILE SECONDS [--detached]

With --detached a process in a session of its own acts, as a daemon that the command starts would, and the command
waits for it. Each line: time of the monotonic clock, token, process id, and a dot that shows that it is whole.
"""

import os
import sys
import time

INTERVAL_S = 0.02


def act(path: str, seconds: float) -> None:
    """Act for that long."""
    token = os.environ["PLOVERSPOKE_LEASE_TOKEN"]
    until = time.monotonic() + seconds
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
    while time.monotonic() < until:
        os.write(descriptor, f"{time.monotonic():.6f} {token} {os.getpid()} .\n".encode())
        time.sleep(INTERVAL_S)


def main() -> None:
    """Act, here or in a detached process."""
    path, seconds = sys.argv[1], float(sys.argv[2])
    if "--detached" not in sys.argv[3:]:
        act(path, seconds)
        return
    actor = os.fork()
    if actor == 0:
        os.setsid()
        act(path, seconds)
        os._exit(0)
    os.waitpid(actor, 0)


main()
