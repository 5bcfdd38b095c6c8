"""Starts the proxy of a run and sets the faults on the links between its processes."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import msgspec

from .child_process import ChildProcess
from .history import History
from .link_faults import LinkFault
from .proxy_messages import (
    AddLinkFault,
    ProxiedProcess,
    ProxyCounters,
    ProxyReady,
    ProxyRequest,
    ProxySpec,
    ReadCounters,
    RemoveLinkFault,
    ResetConnections,
)
from .running_process import ProcessStartError

PROXY_MODULE = "ploverspoke.testbed.processes.tcp_proxy"


class ProxyEndedError(RuntimeError):
    """The proxy ended while the run still needed it."""

    def __init__(self) -> None:
        """Build the text."""
        super().__init__("the proxy has ended")


StartChild = Callable[[str, Sequence[str]], Awaitable[ChildProcess]]


class LinkFaultController:
    """Client of the proxy process. Each fault is recorded in the history."""

    def __init__(self, history: History) -> None:
        """Start without a proxy; a run without proxied ports never has one."""
        self.counters = ProxyCounters()  # as of the last request
        self._history = history
        self._proxy: ChildProcess | None = None
        self._request_lock = asyncio.Lock()
        self._next_number = 1

    def is_open(self) -> bool:
        """Whether the proxy was started."""
        return self._proxy is not None

    async def open(
        self, folder: Path, seed: int, processes: list[ProxiedProcess], start_child: StartChild
    ) -> None:
        """Start the proxy if any process has a proxied port. Raises ProcessStartError."""
        if not any(process.stream_ports or process.datagram_ports for process in processes):
            return
        spec = folder / "proxy.json"
        spec.write_bytes(msgspec.json.encode(ProxySpec(seed, processes)))
        self._proxy = await start_child(PROXY_MODULE, [str(spec)])
        if await self._proxy.receive_as(ProxyReady) is None:
            raise ProcessStartError(process="the proxy", problem="ended at its start")

    async def add_fault(self, fault: LinkFault) -> int:
        """Activate a fault; returns the number by which it is removed."""
        number, self._next_number = self._next_number, self._next_number + 1
        self._history.add("add fault", [number, msgspec.to_builtins(fault)])
        await self._request(AddLinkFault(number, fault))
        return number

    async def remove_fault(self, number: int) -> None:
        """Deactivate a fault."""
        await self._request(RemoveLinkFault(number))
        self._history.add("remove fault", number)

    async def reset_connections(self, fault: LinkFault) -> None:
        """Reset the connections whose origin and target the fault covers."""
        self._history.add("reset", msgspec.to_builtins(fault))
        await self._request(ResetConnections(fault))

    async def read_counters(self, by_link: bool = False) -> ProxyCounters:
        """Ask for the counters; `by_link` adds the bytes of each link."""
        return await self._request(ReadCounters(by_link))

    async def _request(self, request: ProxyRequest) -> ProxyCounters:
        assert self._proxy is not None
        async with self._request_lock:
            self._proxy.send(request)
            counters = await self._proxy.receive_as(ProxyCounters)
        if counters is None:
            raise ProxyEndedError
        self.counters = counters
        return counters
