"""Reads HTTP messages for tests, and builds chunks of worker responses."""

import asyncio
import json
from collections.abc import Mapping

Headers = dict[str, str]  # by name in lower case


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes]:
    """Read one message; returns its first line, headers and body."""
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines if line)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def chunk(line: Mapping[str, object]) -> bytes:
    text = json.dumps(line).encode() + b"\n"
    return f"{len(text):x}\r\n".encode() + text + b"\r\n"
