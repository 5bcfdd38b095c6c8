"""Starts the program as a process of its own."""

import asyncio
import json
import os
import sys
from collections.abc import Mapping
from pathlib import Path


async def start_program(
    path: Path, config: Mapping[str, object], descriptors: int | None = None
) -> asyncio.subprocess.Process:
    """Write the configuration file and start the program with a log file and a limit on descriptors."""
    path.write_text(json.dumps(config))
    command = [sys.executable, "-m", "ploverspoke"]
    if descriptors is not None:
        set_limit = (
            f"import os, resource, sys; resource.setrlimit(resource.RLIMIT_NOFILE, ({descriptors},) * 2)"
        )
        command = [sys.executable, "-c", f"{set_limit}; os.execv(sys.executable, sys.argv[1:])", *command]
    with path.with_suffix(".log").open("ab") as log:
        return await asyncio.create_subprocess_exec(
            *command, env={**os.environ, "RELAY_CONFIG": str(path)}, stderr=log
        )
