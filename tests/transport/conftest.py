"""Fixtures for the tests of the transport."""

import asyncio
from collections.abc import Iterator

import pytest


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    loop = asyncio.new_event_loop()
    yield loop
    loop.close()
