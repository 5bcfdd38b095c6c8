"""A holder on sockets: a thin driver of `LeaseHolder` that speaks with one keeper at a time."""

import asyncio
import contextlib
import os
import time
from typing import Any

from ploverspoke.consensus.framed_client import FramedClientConnection
from ploverspoke.consensus.framing import FrameError

from .config import LeaseServers
from .holder import NEVER, Lease, LeaseHolder, Message

DIAL_WITHIN = 1.0  # seconds
SAYS_GOODBYE = 0.05  # seconds, for a last message
LONGEST_NAP = 60.0


class LeaseServerConnection(FramedClientConnection):
    """The connection of a `LeaseClient` to one lease server."""

    server_errors = (FrameError, KeyError, TypeError, ValueError)
    log_name = "leases"

    def __init__(self, client: "LeaseClient") -> None:
        """The greeting names the client's holder id."""
        super().__init__(client.keepers.secret, {"id": client.me, "store": ""})
        self.client = client

    def on_connected(self) -> None:
        """Tells the client that it can ask."""
        self.client.connected(self)

    def on_message(self, message: object) -> None:
        """Hands an answer to the client."""
        self.client.told(self, message)

    def on_disconnected(self) -> None:
        """Tells the client that the connection is lost."""
        self.client.lost(self)


class LeaseClient:
    """The host of a `LeaseHolder`. Its id is new with each start: a process never takes its old self's
    word."""

    def __init__(self, keepers: LeaseServers, name: str, start: str = "") -> None:
        self.keepers = keepers
        self.me = f"{name}/{start or os.urandom(6).hex()}"
        self.holder = LeaseHolder(self)
        self.loop = asyncio.get_running_loop()
        self.at = int.from_bytes(os.urandom(2), "big") % len(keepers.clients)  # not all at the first
        self.connection: LeaseServerConnection | None = None
        self.dialling: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        self.changed = asyncio.Event()

    # ---- What its user asks ----

    def want(self, name: str, duration: int) -> Lease:
        """`duration` in ns. Renewed until it is released. See `LeaseHolder`."""
        lease = self.holder.want(name, duration)
        self._after()
        return lease

    def release(self, name: str, to: str = "") -> None:
        self.holder.release(name, to)
        self._after()

    def give_back(self, name: str, token: int) -> None:
        """What an earlier process with this id has left held."""
        self.holder.give_back(name, token)
        self._after()

    def left(self, name: str) -> int:
        return self.holder.left(name)

    def token(self, name: str) -> int:
        return self.holder.token(name)

    async def held(self, name: str, within: float) -> int:
        """The token as soon as it is ours; 0 where it is not within so many seconds, or is refused."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within):
                while not (token := self.token(name)) and name in self.holder.leases:
                    self.changed.clear()
                    await self.changed.wait()
                return token
        return 0

    async def close(self) -> None:
        """Everything is released; where that cannot be told, it is over by its time."""
        for name in list(self.holder.leases):
            self.release(name)
        await asyncio.sleep(SAYS_GOODBYE if self.connection is not None else 0)
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        if self.dialling is not None:
            self.dialling.cancel()
        if self.connection is not None:
            self.connection.close()

    def figures(self) -> dict[str, Any]:
        """For operators: held now, lost, renewals, and the least that was left at one, in ms."""
        holder = self.holder
        least = holder.least_left
        return {
            "held": sum(1 for name in holder.leases if holder.left(name)),
            "waited_for": sum(1 for name in holder.leases if not holder.left(name)),
            "acquired": holder.acquired,
            "lost": holder.lost,
            "renewals": holder.renewals,
            "least_left_ms": -1 if least == NEVER else least // 1_000_000,
        }

    # ---- The holder's host ----

    def now(self) -> int:
        return time.monotonic_ns()

    def send(self, message: Message) -> None:
        connection = self.connection
        if connection is not None and connection.is_ready():
            connection.write(message)
        elif self.dialling is None:
            self._dial()

    def go_elsewhere(self) -> None:
        self._leave()
        self.at = (self.at + 1) % len(self.keepers.clients)

    # ---- What happens ----

    def connected(self, connection: LeaseServerConnection) -> None:
        if connection is self.connection:
            self.holder.connected()
            self._after()

    def told(self, connection: LeaseServerConnection, message: Any) -> None:
        if connection is not self.connection:
            return
        if "elsewhere" in message:
            where = message["elsewhere"]
            if where in self.keepers.clients:
                self._leave()
                self.at = self.keepers.clients.index(where)
                self._dial()
            return
        self.holder.told(message)
        self.changed.set()
        self._after()

    def lost(self, connection: LeaseServerConnection) -> None:
        if connection is self.connection:
            self.connection = None

    def _leave(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
        if self.dialling is not None:
            self.dialling.cancel()
            self.dialling = None

    def _dial(self) -> None:
        if not self.closed:
            self.dialling = self.loop.create_task(self._connect(self.keepers.clients[self.at]))

    async def _connect(self, where: str) -> None:
        connection = LeaseServerConnection(self)
        try:
            async with asyncio.timeout(DIAL_WITHIN):
                await connection.connect(where)
            self.connection = connection
        except (OSError, TimeoutError):
            self.at = (self.at + 1) % len(self.keepers.clients)
        finally:
            if self.dialling is asyncio.current_task():
                self.dialling = None

    def _after(self) -> None:
        """See when time is wanted next."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.closed:
            left = min(LONGEST_NAP, max(0.0, (self.holder.wake() - self.now()) / 1e9))
            self.timer = self.loop.call_later(left, self._ring)

    def _ring(self) -> None:
        before = self.holder.lost
        self.holder.tick()
        if self.holder.lost > before:
            self.changed.set()
        self._after()
