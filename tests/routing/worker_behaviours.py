"""Worker behaviours, mostly faulty ones, that tests assign to the workers of their harness."""

import asyncio
from collections.abc import Awaitable, Callable

from tests.routing.http_messages import Headers, chunk

WorkerBehaviour = Callable[[asyncio.StreamReader, asyncio.StreamWriter, Headers, bytes], Awaitable[None]]


async def reject_unstarted(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    writer.write(b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")


async def fail(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    writer.write(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")


async def break_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    raise ConnectionError


async def send_garbage(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    writer.write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n\x00\xff garbage"
    )


async def stay_silent(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    await asyncio.sleep(1.2)


async def answer_for_other_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    writer.write(chunk({"id": "other", "from": "w", "state": "done", "result": "not yours"}) + b"0\r\n\r\n")


FAULTY_BEHAVIOURS = [
    reject_unstarted,
    fail,
    break_connection,
    send_garbage,
    stay_silent,
    answer_for_other_request,
]
