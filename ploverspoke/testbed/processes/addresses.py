"""Loopback addresses that belong to one run: each process has its own host, and keeps its ports.

A run holds one of the blocks 127.N.0.0/16 while it lives. In its block each process has a host of its own, by
which others identify the sender, and a second one at which the proxy listens in its place. A reserved port is
kept bound, so that no other process can get it between two starts of its owner.
"""

import os
import socket
from typing import NamedTuple

FIRST_BLOCK, LAST_BLOCK = 16, 250
HOSTS_PER_ROW = 250  # a row is all addresses with the same third byte
ROWS_PER_KIND = 100
FIRST_FAKE_ROW, FIRST_PROCESS_ROW, FIRST_PROXY_ROW = 0, 1, 128
PORT_ATTEMPTS = 20
LOCALHOST = "127.0.0.1"


class AddressUnavailableError(RuntimeError):
    """Base of the errors of this module: no address is free."""


class BlocksInUseError(AddressUnavailableError):
    """Other processes hold all blocks."""

    def __init__(self, blocks: int) -> None:
        """`blocks` is their number."""
        super().__init__(f"all {blocks} blocks of loopback addresses are in use")
        self.blocks = blocks


class BlockExhaustedError(AddressUnavailableError):
    """One block has too few addresses for the run."""

    def __init__(self, limit: int, wanted: int) -> None:
        """`limit` is the number of addresses in a block, `wanted` the number that the run needs."""
        super().__init__(f"a block has {limit} addresses, {wanted} are wanted")
        self.limit, self.wanted = limit, wanted


class NoFreePortError(AddressUnavailableError):
    """A host has no port that is free for both TCP and UDP."""

    def __init__(self, host: str) -> None:
        """Name the host."""
        super().__init__(f"no port at {host}")
        self.host = host


class ProcessAddress(NamedTuple):
    """The address of one process, and the one at which the proxy listens in its place."""

    name: str
    number: int
    host: str
    proxy_host: str
    ports: dict[str, int]  # by name

    def endpoint(self, port: str) -> str:
        """The process's own `host:port`, without the proxy."""
        return f"{self.host}:{self.ports[port]}"

    def proxied_endpoint(self, port: str) -> str:
        """The `host:port` at which other processes reach it through the proxy."""
        return f"{self.proxy_host}:{self.ports[port]}"


class AddressBlock:
    """One block of loopback addresses, held until `close`."""

    def __init__(self) -> None:
        """Take a free block. Raises BlocksInUseError if there is none."""
        blocks = LAST_BLOCK - FIRST_BLOCK + 1
        self._bound_sockets: list[socket.socket] = []
        for n in range(blocks):
            number = FIRST_BLOCK + (os.getpid() + n) % blocks
            # An abstract socket name disappears with its process, also after a kill: no lock file remains.
            lock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            try:
                lock.bind(f"\0ploverspoke-block-{number}")
            except OSError:
                lock.close()
                continue
            self.number, self._lock = number, lock
            return
        raise BlocksInUseError(blocks)

    def _host(self, first_row: int, number: int) -> str:
        if number >= ROWS_PER_KIND * HOSTS_PER_ROW:
            raise BlockExhaustedError(ROWS_PER_KIND * HOSTS_PER_ROW, number + 1)
        return f"127.{self.number}.{first_row + number // HOSTS_PER_ROW}.{1 + number % HOSTS_PER_ROW}"

    def fake_host(self, number: int) -> str:
        """The host of a fake server."""
        return self._host(FIRST_FAKE_ROW, number)

    def process_host(self, number: int) -> str:
        """The host at which process `number` listens and from which it sends."""
        return self._host(FIRST_PROCESS_ROW, number)

    def proxy_host(self, number: int) -> str:
        """The host at which the proxy listens in place of process `number`."""
        return self._host(FIRST_PROXY_ROW, number)

    def reserve_port(self, host: str) -> int:
        """Bind a port that is free for both TCP and UDP, until `close`. Raises NoFreePortError."""
        for _ in range(PORT_ATTEMPTS):
            stream = bind_without_listening(host, 0)
            port: int = stream.getsockname()[1]
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram:
                    datagram.bind((host, port))
            except OSError:
                stream.close()
                continue
            self._bound_sockets.append(stream)
            return port
        raise NoFreePortError(host)

    def close(self) -> None:
        """Release the block and its ports."""
        for bound in self._bound_sockets:
            bound.close()
        self._lock.close()


def bind_without_listening(host: str, port: int) -> socket.socket:
    """Bind a TCP socket that keeps the port: a listener that also sets SO_REUSEADDR may still bind it."""
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, port))
    return bound


_reserved_sockets: list[socket.socket] = []  # kept until this process ends


def reserve_ports(count: int) -> list[int]:
    """Reserve ports at 127.0.0.1 on which nobody listens, until this process ends."""
    _reserved_sockets.extend(bind_without_listening(LOCALHOST, 0) for _ in range(count))
    return [reserved.getsockname()[1] for reserved in _reserved_sockets[-count:]]
