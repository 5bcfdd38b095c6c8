"""A fake resource to which lease candidates send effects: it records each one and checks fencing tokens.

`python -m ploverspoke.testbed.fakes.protected_resource HOST PORT HISTORY FENCED...`. A candidate sends lines
with the name of the lease, its token and the time at which the candidate checked the lease. Each line is
written to the history with the time of its arrival, whether it was accepted, and the sender's address. For
the leases named FENCED, a token lower than the highest one so far is rejected. This module shares no code
with the product.
"""

import asyncio
import sys
from pathlib import Path

import uvloop

from ..processes.history import History
from ..processes.pipe_messages import send_message, wait_for_input_end

BACKLOG = 512  # connections
ACCEPTED, REJECTED = b"1\n", b"0\n"


class ProtectedResource:
    """The resource, with the highest token received for each lease."""

    def __init__(self, history: History, fenced_leases: set[str]) -> None:
        """Record effects in the history; tokens of the fenced leases are checked."""
        self.history = history
        self.fenced_leases = fenced_leases
        self.highest_tokens: dict[str, int] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        sender = writer.get_extra_info("peername")[0]
        while line := await _read_line(reader):
            writer.write(ACCEPTED if self._apply_effect(line, sender) else REJECTED)
        writer.close()

    def _apply_effect(self, line: bytes, sender: str) -> bool:
        """Check the token of an effect and record it; returns whether it is accepted."""
        name, token_text, checked_at = line.decode().split()
        token = int(token_text)
        is_accepted = name not in self.fenced_leases or token >= self.highest_tokens.get(name, 0)
        if is_accepted:
            self.highest_tokens[name] = token
        self.history.add("effect", [name, token, int(checked_at), is_accepted, sender])
        return is_accepted


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    """Return the next complete line, or b"" if the connection was closed or reset."""
    try:
        line = await reader.readline()
    except OSError:
        return b""
    return line if line.endswith(b"\n") else b""


async def serve(host: str, port: int, history: History, fenced_leases: set[str]) -> None:
    """Serve until the input ends."""
    resource = ProtectedResource(history, fenced_leases)
    await asyncio.start_server(resource.serve, host, port, backlog=BACKLOG)
    send_message({"open": port})
    await wait_for_input_end()


def main() -> None:
    """Serve with the parameters on the command line."""
    host, port, history_path, *fenced_leases = sys.argv[1:]
    uvloop.run(serve(host, int(port), History(Path(history_path), "resource"), set(fenced_leases)))


if __name__ == "__main__":
    main()
