"""Addresses on loopback that are one run's alone: a process has one of its own, and keeps its ports.

A run takes one of the blocks 127.N.0.0/16 for as long as it lives. In it each process has its own address,
by which others know who sends, and another at which the relays stand for it. A port is bound by whoever
hands it out and stays bound, so that nobody else can get it between two starts of the process.
"""

import os
import socket

FIRST_BLOCK, LAST_BLOCK = 16, 250
A_ROW = 250  # addresses in a row of a block
ROWS = 100
STAND_INS, OWN, RELAYED = 0, 1, 128  # where the rows of each kind begin


class AddressUnavailableError(RuntimeError):
    """No block, or no port, is to be had."""


class Block:
    """One block, ours until `close`. Raises AddressUnavailableError where all are taken."""

    def __init__(self) -> None:
        blocks = LAST_BLOCK - FIRST_BLOCK + 1
        self.held: list[socket.socket] = []
        for n in range(blocks):
            number = FIRST_BLOCK + (os.getpid() + n) % blocks
            # A name that ends with its process, however that ends: no file can be left behind.
            mark = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            try:
                mark.bind(f"\0ploverspoke-block-{number}")
            except OSError:
                mark.close()
                continue
            self.number, self.mark = number, mark
            return
        raise AddressUnavailableError(f"all {blocks} blocks of loopback addresses are in use")

    def _address(self, row: int, number: int) -> str:
        if number >= ROWS * A_ROW:
            raise AddressUnavailableError(f"a block has {ROWS * A_ROW} addresses, {number + 1} are wanted")
        return f"127.{self.number}.{row + number // A_ROW}.{1 + number % A_ROW}"

    def stand_in(self, number: int) -> str:
        return self._address(STAND_INS, number)

    def own(self, number: int) -> str:
        """Where process `number` listens and sends from."""
        return self._address(OWN, number)

    def relayed(self, number: int) -> str:
        """Where the relays stand for it."""
        return self._address(RELAYED, number)

    def hold(self, host: str) -> int:
        """A port there that stays ours, free for both TCP and UDP. Raises AddressUnavailableError."""
        for _ in range(20):
            held = bound(host, 0)
            port: int = held.getsockname()[1]
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
                    other.bind((host, port))
            except OSError:
                held.close()
                continue
            self.held.append(held)
            return port
        raise AddressUnavailableError(f"no port at {host}")

    def close(self) -> None:
        for held in self.held:
            held.close()
        self.mark.close()


def bound(host: str, port: int) -> socket.socket:
    """A socket that has the port and does not listen: another that says the same may, and it stays taken."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((host, port))
    return held


HELD: list[socket.socket] = []  # as long as this process lives


def held_ports(count: int) -> list[int]:
    """Ports at 127.0.0.1 that nobody listens on, and nobody but who names them can get."""
    HELD.extend(bound("127.0.0.1", 0) for _ in range(count))
    return [held.getsockname()[1] for held in HELD[-count:]]
