"""A child process that exchanges JSON lines over its pipes, and exits at the end of its input."""

import asyncio
import sys
from collections.abc import Sequence
from typing import IO, Any, TypeVar

import msgspec

from .pipe_messages import MAX_LINE

STOP_TIMEOUT = 10.0  # seconds

Message = TypeVar("Message")


class ChildProcess:
    """A running child and its two pipes."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Wrap a process whose standard input and output are pipes."""
        self.process = process

    @classmethod
    async def start(
        cls, module: str, arguments: Sequence[str], stderr: IO[bytes] | None = None
    ) -> "ChildProcess":
        """Run `python -m module arguments`; its standard error goes to `stderr`, or to this process's."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", module, *arguments),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=stderr,
            limit=MAX_LINE,
        )
        return cls(process)

    async def receive(self) -> dict[str, Any] | None:
        """The child's next message; None once it has ended."""
        return await self.receive_as(dict[str, Any])

    async def receive_as(self, message_type: type[Message]) -> Message | None:
        """The child's next message as this type; None once it has ended."""
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        return msgspec.json.decode(line, type=message_type) if line else None

    def send(self, message: object) -> None:
        """Send a struct or a map to the child."""
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    async def stop(self) -> None:
        """Close the child's input and wait for its exit; kill it after STOP_TIMEOUT."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
