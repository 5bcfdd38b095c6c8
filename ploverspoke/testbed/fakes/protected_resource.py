"""A stand-in resource, a process of its own: what is done to it under which token, as it comes.

`python -m ploverspoke.testbed.fakes.protected_resource HOST PORT HISTORY FENCED...`. Contenders send lines of
name, token and time of the look. Each is written to the history with the time at which it came, whether it
was taken, and who sent it (by its address). Nothing of the product is in it: for the names FENCED it refuses
a token that is lower than the highest it has seen.
"""

import asyncio
import sys
from pathlib import Path

import uvloop

from ..processes.history import History
from .fake_process import send_message

BACKLOG = 512


async def line_of(reader: asyncio.StreamReader) -> bytes:
    """Nothing where the connection ends, however it does; a line that is cut is none."""
    try:
        line = await reader.readline()
    except OSError:
        return b""
    return line if line.endswith(b"\n") else b""


async def serve(host: str, port: int, history: History, fenced: set[str]) -> None:
    highest: dict[str, int] = {}

    async def came(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sender = writer.get_extra_info("peername")[0]
        while line := await line_of(reader):
            name, token, looked = line.decode().split()
            number = int(token)
            taken = name not in fenced or number >= highest.get(name, 0)
            if taken:
                highest[name] = number
            history.add("effect", [name, number, int(looked), taken, sender])
            writer.write(b"1\n" if taken else b"0\n")
        writer.close()

    await asyncio.start_server(came, host, port, backlog=BACKLOG)
    send_message({"open": port})
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    words = sys.argv[1:]
    uvloop.run(serve(words[0], int(words[1]), History(Path(words[2]), "resource"), set(words[3:])))
