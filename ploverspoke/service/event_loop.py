"""The event loop of a dispatcher."""

import asyncio
import traceback
from typing import Any

import uvloop

from ploverspoke.transport.rate_limited_log import log_line


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Create an event loop, which becomes the current one of this thread."""
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    loop.set_exception_handler(log_loop_error)
    return loop


def log_loop_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception that no callback handled; the default handler writes without a limit on the rate."""
    error = context.get("exception")
    trace = "".join(traceback.format_exception(error)) if isinstance(error, BaseException) else ""
    log_line(f"an error in the event loop: {context.get('message')} {trace}")
