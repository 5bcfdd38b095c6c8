"""The log never holds up the process that writes it."""

import os
import subprocess
import sys

from ploverspoke.transport.rate_limited_log import MAX_LINE_LENGTH

WRITE_MUCH = (
    "from ploverspoke.transport.rate_limited_log import RateLimitedLog\n"
    "log = RateLimitedLog(10_000, 1.0)\n"
    "for _ in range(200):\n"
    "    log.write('x' * 9_000 + '\\ud83d')\n"
    "print(log.suppressed)\n"
)


def test_a_log_that_nobody_reads_holds_up_nothing() -> None:
    reader, writer = os.pipe()
    try:
        done = subprocess.run(
            [sys.executable, "-c", WRITE_MUCH], stderr=writer, stdout=subprocess.PIPE, timeout=10, check=True
        )
        suppressed = int(done.stdout)
        lines = os.read(reader, 1 << 20).decode().splitlines()
    finally:
        os.close(reader)
        os.close(writer)
    assert len(lines) + suppressed == 200 and suppressed > 100
    assert all(len(line) <= MAX_LINE_LENGTH for line in lines)
