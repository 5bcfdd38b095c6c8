"""Fixtures of the service tests."""

import socket
from collections.abc import Iterator

import pytest


@pytest.fixture
def listening() -> Iterator[socket.socket]:
    """A listening TCP socket that the test holds open, as a service manager would."""
    with socket.socket() as opened:
        opened.bind(("127.0.0.1", 0))
        opened.listen(64)
        yield opened
