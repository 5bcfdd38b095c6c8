"""Callbacks whose errors must not end the event of consensus in which they are called."""

import traceback
from collections.abc import Callable

from ploverspoke.transport.rate_limited_log import log_line


def isolated(on_result: Callable[[bool], None]) -> Callable[[bool], None]:
    """Return a callback that calls `on_result` and logs its errors."""

    def call(result: bool) -> None:
        """Call `on_result`; other callbacks of the same event must follow whatever it does."""
        try:
            on_result(result)
        except Exception:
            log_line(f"store: a callback failed: {traceback.format_exc()}")

    return call
