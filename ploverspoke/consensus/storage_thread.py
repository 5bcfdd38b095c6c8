"""Runs storage calls in order on a dedicated thread, so that a sync does not block the event loop."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import ParamSpec

Arguments = ParamSpec("Arguments")
CompletionCallback = Callable[[Exception | None], None]


class StorageThread:
    """One thread that runs queued calls in order."""

    def __init__(self) -> None:
        """Prepare the thread; it starts with the first call."""
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="store")

    def submit(
        self,
        on_done: CompletionCallback,
        call: Callable[Arguments, object],
        *args: Arguments.args,
        **kwargs: Arguments.kwargs,
    ) -> None:
        """Queue a call; `on_done` is called on the running event loop with its exception, or None."""

        def on_future_done(future: asyncio.Future[object]) -> None:
            """Pass the exception to `on_done`; raise it if it is meant to end the process."""
            error = future.exception()
            if error is not None and not isinstance(error, Exception):
                raise error
            on_done(error)

        loop = asyncio.get_running_loop()
        loop.run_in_executor(self._executor, lambda: call(*args, **kwargs)).add_done_callback(on_future_done)

    async def run(
        self, call: Callable[Arguments, object], *args: Arguments.args, **kwargs: Arguments.kwargs
    ) -> None:
        """Queue a call and wait for it. An exception of the call is raised here."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, lambda: call(*args, **kwargs))

    def close(self) -> None:
        """Wait for the queued calls, then end the thread."""
        self._executor.shutdown()
