"""Dispatchers in their own processes, each with a configuration and a log in a folder."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

from .addresses import LOCALHOST, reserve_ports

READY_TIMEOUT = 60  # seconds
READY_POLL_INTERVAL = 0.01  # seconds
READY_LOG_LINE = " serves at "

SETTINGS: dict[str, Any] = {
    "Discovery": "ask",
    "Domain": {"ProgressUs": 1_000_000, "TellsStart": True, "ReportX0": "free slots"},
    "HostTypes": ["plain"],
    "Invariants": {
        "ColdShare": 0.3,
        "FallUs": 2_000_000,
        "MustAskInUs": 10_000_000,
        "StopSendingWithinUs": 500_000,
        "TipMultiple": 3.0,
        "WarmWithinUs": 1_000_000,
    },
    "Limits": {"Cancel": True, "ConnectTimeoutUs": 150_000, "MaxHandOffs": 6, "Probing": True},
    "Localities": ["a"],
    "Report": {"Fields": ["backlog", "x0"], "Via": "on_probe"},
    "RoundUs": 2000,
    "ServiceGrades": [
        {"Name": "look", "Repeat": "free", "ExpectedTimeUs": 500_000, "AbandonTimeUs": 900_000},
        {"Name": "book", "Repeat": "single_shot", "ExpectedTimeUs": 500_000, "AbandonTimeUs": 900_000},
    ],
    "Tenants": [{"Name": "acme"}],
}


class DispatcherProcess:
    """One dispatcher: the program itself, as an operator starts it."""

    def __init__(self, folder: Path, number: int, discovery: str, seed: int, **settings: Any) -> None:
        """Prepare its configuration; `settings` override those of SETTINGS."""
        self.port = reserve_ports(1)[0]
        self.path = folder / f"dispatcher-{number}.json"
        self.log = self.path.with_suffix(".log")
        self.document: dict[str, Any] = {
            "name": f"dispatcher-{number}",
            "listen": f"{LOCALHOST}:{self.port}",
            "discovery": discovery,
            "seed": f"{seed:x}",
            "settings": {**SETTINGS, **settings},
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the program and wait until it serves. Raises TimeoutError."""
        self.path.write_text(json.dumps(self.document))
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "ploverspoke"),
                env={**os.environ, "RELAY_CONFIG": str(self.path)},
                stderr=log,
            )
        async with asyncio.timeout(READY_TIMEOUT):
            while READY_LOG_LINE not in self.log.read_text():
                await asyncio.sleep(READY_POLL_INTERVAL)

    def change_discovery_address(self, address: str) -> None:
        """Make it reload a configuration with another address of discovery."""
        self.document = {**self.document, "discovery": address}
        self.path.write_text(json.dumps(self.document))
        self.send(signal.SIGHUP)

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    async def kill(self) -> None:
        """End it at once."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
