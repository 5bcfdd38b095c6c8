"""A fake resource that lease candidates act on: it records every effect and checks fencing tokens.

`python -m ploverspoke.testbed.fakes.protected_resource HOST PORT HISTORY FENCED...`. A candidate sends lines
of the lease's name, its token and the time at which it looked at the lease. Each is written to the history
with the time of its arrival, whether it was accepted, and the sender's address. For the names FENCED a token
lower than the highest so far is refused. It shares no code with the product.
"""

import asyncio
import sys
from pathlib import Path

import uvloop

from ..processes.history import History
from ..processes.pipe_messages import send_message, wait_for_input_end

BACKLOG = 512
ACCEPTED, REFUSED = b"1\n", b"0\n"


class ProtectedResource:
    """The resource, with the highest token that it has seen for each name."""

    def __init__(self, history: History, fenced: set[str]) -> None:
        """Effects go to the history; tokens of the names in `fenced` are checked."""
        self.history = history
        self.fenced = fenced
        self.highest_tokens: dict[str, int] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        sender = writer.get_extra_info("peername")[0]
        while line := await _read_line(reader):
            writer.write(ACCEPTED if self._act(line, sender) else REFUSED)
        writer.close()

    def _act(self, line: bytes, sender: str) -> bool:
        """Record one effect; returns whether it is accepted."""
        name, token_text, looked_at = line.decode().split()
        token = int(token_text)
        is_accepted = name not in self.fenced or token >= self.highest_tokens.get(name, 0)
        if is_accepted:
            self.highest_tokens[name] = token
        self.history.add("effect", [name, token, int(looked_at), is_accepted, sender])
        return is_accepted


async def _read_line(reader: asyncio.StreamReader) -> bytes:
    """Return the next whole line, or nothing where the connection has ended, in whatever way."""
    try:
        line = await reader.readline()
    except OSError:
        return b""
    return line if line.endswith(b"\n") else b""


async def serve(host: str, port: int, history: History, fenced: set[str]) -> None:
    """Serve until the input ends."""
    resource = ProtectedResource(history, fenced)
    await asyncio.start_server(resource.serve, host, port, backlog=BACKLOG)
    send_message({"open": port})
    await wait_for_input_end()


def main() -> None:
    """Read the command line and serve."""
    host, port, history_path, *fenced = sys.argv[1:]
    uvloop.run(serve(host, int(port), History(Path(history_path), "resource"), set(fenced)))


if __name__ == "__main__":
    main()
