"""A stand-in process, spoken with over its pipes: JSON lines both ways. The end of its input ends it."""

import asyncio
import sys
from collections.abc import Sequence
from typing import IO, Any

import msgspec

STOP_TIMEOUT = 10.0  # seconds


class ChildProcess:
    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    @classmethod
    async def start(
        cls, module: str, words: Sequence[str], errors: IO[bytes] | None = None
    ) -> "ChildProcess":
        pipe = asyncio.subprocess.PIPE
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *words, stdin=pipe, stdout=pipe, stderr=errors, limit=1 << 22
        )
        return cls(process)

    async def hear(self) -> dict[str, Any] | None:
        """None where it has ended."""
        assert self.process.stdout is not None
        line = await self.process.stdout.readline()
        told: dict[str, Any] | None = msgspec.json.decode(line) if line else None
        return told

    def tell(self, told: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(told) + b"\n")

    async def stop(self) -> None:
        """What it still says is not heard."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
