"""Bytes to calls and back, without sockets."""

from ploverspoke.protocol import workers


def test_a_job_keeps_all_that_its_client_said_of_it() -> None:
    # A labelled submission's mark came in a header of its own; workers then took repeats for new jobs.
    said = {
        "request-id": "7",
        "idempotency-key": "3a7d",
        "host": "app.svc",
        "connection": "keep-alive, x-hop",
        "x-hop": "1",
        "content-length": "99",
        "request-timeout-ms": "8000",
    }
    head, _, body = workers.job("POST", "/a/b?c=%20d", said, b"ab", 2_500_000_000, "127.0.0.1:1").partition(
        b"\r\n\r\n"
    )
    lines = head.decode().split("\r\n")
    assert lines[0] == "POST /a/b?c=%20d HTTP/1.1" and body == b"ab"
    assert sorted(lines[1:]) == [
        "content-length: 2",
        "host: 127.0.0.1:1",
        "idempotency-key: 3a7d",
        "request-id: 7",
        "request-timeout-ms: 2500",
    ]
