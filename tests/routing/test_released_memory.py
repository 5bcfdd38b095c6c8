"""What ended connections held is released at once, without the garbage collector."""

import asyncio
import gc
import weakref

import pytest

from ploverspoke.routing.client_session import ClientSession
from ploverspoke.routing.client_timeouts import CLOSE_TIMEOUT_NS
from ploverspoke.transport.units import SECOND
from tests.polling import until
from tests.routing.harness import ServiceHarness, run_script
from tests.routing.race_harness import wait_until

END_SEEN_WITHIN_S = CLOSE_TIMEOUT_NS / SECOND + 1  # after an answer of 413 nothing is read any more


@pytest.mark.parametrize(
    "data",
    [
        b"NONSENSE\x00\r\n\r\n",
        b"POST /look HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 99999999\r\n\r\n",
        b"POST /look HTTP/1.1\r\n" + b"a:b\r\n" * 200,
        b"POST /nowhere HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\nabc",
        b"POST /look HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\nab",
        b"POST /look HTTP/1.1\r\nRequest-Id: a\r\nContent-Length: 3\r\n\r\nabc",
        b"GET /-/ready HTTP/1.1\r\n\r\n" * 3,
    ],
)
def test_session_is_freed_when_its_connection_has_ended(data: bytes) -> None:
    async def script(harness: ServiceHarness) -> None:
        server = harness.service.client_server
        _, writer = await harness.connect()
        await wait_until(lambda: server.sessions)
        [session] = server.sessions.values()
        freed = [weakref.ref(part) for part in (session.input.reader, session.input, session.connection)]
        reference: weakref.ref[ClientSession] = weakref.ref(session)
        del session
        writer.write(data)
        await asyncio.sleep(0.1)
        writer.transport.abort()
        await until(lambda: not server.sessions, END_SEEN_WITHIN_S)
        await wait_until(lambda: reference() is None and not any(part() for part in freed))

    gc.disable()
    try:
        run_script(script)
    finally:
        gc.enable()
