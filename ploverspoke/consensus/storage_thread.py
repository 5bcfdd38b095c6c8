"""Runs the calls of a storage in order on a thread of its own, so that a sync blocks no event loop."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import ParamSpec

Arguments = ParamSpec("Arguments")
CompletionCallback = Callable[[Exception | None], None]


class StorageThread:
    """A thread with a queue of calls."""

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
        """Queue a call; `on_done` gets the exception that it raised, or None, on the running event loop."""

        def on_future_done(future: asyncio.Future[object]) -> None:
            """Pass on the exception; one that would end the process is raised."""
            error = future.exception()
            if error is not None and not isinstance(error, Exception):
                raise error
            on_done(error)

        loop = asyncio.get_running_loop()
        loop.run_in_executor(self._executor, lambda: call(*args, **kwargs)).add_done_callback(on_future_done)

    async def run(
        self, call: Callable[Arguments, object], *args: Arguments.args, **kwargs: Arguments.kwargs
    ) -> None:
        """Queue a call and wait for it. Raises what it raises."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, lambda: call(*args, **kwargs))

    def close(self) -> None:
        """End the thread after the calls that are queued."""
        self._executor.shutdown()
