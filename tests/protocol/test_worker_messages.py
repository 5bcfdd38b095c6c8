"""Messages sent to workers."""

from ploverspoke.protocol import workers


def test_an_attempt_forwards_all_end_to_end_headers_of_the_request() -> None:
    # Guards against dropping a header with an idempotency key: workers then took duplicates for new requests.
    headers = {
        "request-id": "7",
        "idempotency-key": "3a7d",
        "host": "app.svc",
        "connection": "keep-alive, x-hop",
        "x-hop": "1",
        "content-length": "99",
        "request-timeout-ms": "8000",
    }
    message = workers.encode_attempt("POST", "/a/b?c=%20d", headers, b"ab", 2_500_000_000, "127.0.0.1:1")
    head, _, body = message.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert lines[0] == "POST /a/b?c=%20d HTTP/1.1" and body == b"ab"
    assert sorted(lines[1:]) == [
        "content-length: 2",
        "host: 127.0.0.1:1",
        "idempotency-key: 3a7d",
        "request-id: 7",
        "request-timeout-ms: 2500",
    ]
