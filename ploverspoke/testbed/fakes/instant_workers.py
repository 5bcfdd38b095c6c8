"""Fake workers of `testbed bench`: they answer every request at once.

`python -m ploverspoke.testbed.fakes.instant_workers COUNT` prints their ports and serves until its input
ends.
"""

import asyncio
import sys

import msgspec
import uvloop

from ..processes.pipe_messages import send_message, wait_for_input_end
from .http_connection import HttpConnection
from .http_wire import HttpMessage, encode_response
from .worker_protocol import ExecutionUpdate, LoadReport, encode_execution_update, encode_load_report

LOAD_RESPONSE = encode_load_report(LoadReport(0, 1000))
PLAIN_RESPONSE = encode_response(200, "OK", b"done")
PLAIN_TARGET = "/plain"  # requested by clients that call a worker directly, without a dispatcher


class WorkerPorts(msgspec.Struct):
    """The first and only message of the process."""

    ports: list[int]


class InstantWorkerConnection(HttpConnection):
    """One connection to a worker."""

    def on_message(self, message: HttpMessage) -> None:
        """Answer a request."""
        assert self.transport is not None
        self.transport.write(_response(message))


def _response(message: HttpMessage) -> bytes:
    if message.method == "GET":
        return LOAD_RESPONSE
    if message.target.startswith(PLAIN_TARGET):
        return PLAIN_RESPONSE
    request_id = message.headers["request-id"]
    started = encode_execution_update(ExecutionUpdate(request_id, "w", "started"), is_first=True)
    return started + encode_execution_update(
        ExecutionUpdate(request_id, "w", "done", result="done"), is_last=True
    )


async def serve(count: int) -> None:
    """Serve `count` workers until the input ends."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(InstantWorkerConnection, "127.0.0.1", 0) for _ in range(count)]
    send_message(WorkerPorts([server.sockets[0].getsockname()[1] for server in servers]))
    await wait_for_input_end()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1])))
