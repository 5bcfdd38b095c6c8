"""A whole replica on sockets: a client with the id of another one's request gets none of its result."""

import asyncio
from pathlib import Path

import pytest

from ploverspoke.routing.request_recorder import RequestRecorder
from tests.polling import until
from tests.routing.harness import ServiceHarness
from tests.routing.http_messages import Headers, chunk
from tests.store.daemon_harness import run_single_replica

OTHERS = (("acme", "driver-0"), ("globex", "patient-0"))


async def serve_slowly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, headers: Headers, body: bytes
) -> None:
    """Answer with the tenant and the object of the request."""
    await asyncio.sleep(0.2)
    result = f"data of {headers['tenant']} about {headers['affinity-key']}"
    done = {"id": headers["request-id"], "from": "w", "state": "done", "result": result}
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(done) + b"0\r\n\r\n")


def look_up(harness: ServiceHarness, tenant: str, key: str, timeout_ms: int = 900) -> bytes:
    headers = f"Affinity-Key: {key}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"
    request = harness.request("r", extra_headers=headers)
    return request.replace(b"Tenant: acme", f"Tenant: {tenant}".encode())


@pytest.mark.parametrize("state", ["open", "recorded"])
def test_client_with_the_id_of_another_ones_request_gets_none_of_its_data(
    state: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A look-up of another tenant, or about another object, got the result of the one that had its id first.
    async def script(harness: ServiceHarness, recorder: RequestRecorder) -> None:
        harness.behaviours["w0"] = serve_slowly
        first = asyncio.create_task(harness.exchange(look_up(harness, "acme", "patient-0")))
        await until(lambda: harness.sent)
        if state == "recorded":
            await first
        for tenant, key in OTHERS:
            status, _, body = await harness.exchange(look_up(harness, tenant, key))
            assert (status, b"patient-0" in body) == (409, False)
        repeat = await harness.exchange(look_up(harness, "acme", "patient-0", timeout_ms=800))
        assert repeat[::2] == (await first)[::2] == (200, b"data of acme about patient-0")
        assert harness.attempt_count("r") == 1

    run_single_replica(tmp_path, monkeypatch, script)
