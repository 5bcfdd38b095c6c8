"""The network client of a holder: drives a `LeaseHolder` over a connection to one lease server at a time."""

import asyncio
import contextlib
import os
import time

from ploverspoke.consensus.framed_client import FramedClientConnection
from ploverspoke.consensus.framing import FrameError
from ploverspoke.transport.loop_timer import LoopTimer

from .config import LeaseServers
from .errors import LeaseMessageError
from .holder import Lease, LeaseHolder
from .messages import LeaderRedirect, LeaseRequest, parse_response

CONNECT_TIMEOUT_S = 1.0
FINAL_RELEASE_DELAY_S = 0.05  # before the connection closes, so that the last request is sent
MAX_TICK_DELAY_S = 60.0
START_ID_BYTES = 6  # random bytes, for the id of one start of the process


class LeaseServerConnection(FramedClientConnection):
    """The connection of a `LeaseClient` to one lease server."""

    server_errors = (FrameError, LeaseMessageError)
    log_name = "leases"

    def __init__(self, client: "LeaseClient") -> None:
        """Create a connection whose greeting carries the client's holder id."""
        super().__init__(client.servers.secret, {"id": client.holder_id, "store": ""})
        self.client = client

    def on_connected(self) -> None:
        """Notify the client that requests can be sent."""
        self.client.on_connected(self)

    def on_message(self, message: object) -> None:
        """Pass a message to the client. Raises LeaseMessageError."""
        self.client.on_message(self, message)

    def on_disconnected(self) -> None:
        """Report the loss to the client."""
        self.client.on_disconnected(self)


class LeaseClient:
    """Acquires, renews and releases leases for its user; the environment of a `LeaseHolder`.

    The holder id is new with each start, so that a process never mistakes a response to an earlier process
    for a response to its own request.
    """

    def __init__(self, servers: LeaseServers, name: str, start: str = "") -> None:
        """`start` is the id of this start of the process; it is random unless given."""
        self.servers = servers
        self.holder_id = f"{name}/{start or os.urandom(START_ID_BYTES).hex()}"
        self.holder = LeaseHolder(self)
        self.loop = asyncio.get_running_loop()
        # A random first server, so that not all clients connect to the same one.
        self.server_index = int.from_bytes(os.urandom(2), "big") % len(servers.client_addresses)
        self.connection: LeaseServerConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.timer = LoopTimer(self._tick, MAX_TICK_DELAY_S)
        self.closed = False
        self.changed = asyncio.Event()  # set when a lease may have been acquired, lost or rejected

    # ---- Interface for the user ----

    def request_lease(self, name: str, duration: int) -> Lease:
        """Request the lease for `duration` ns, and renew it until `release` is called."""
        lease = self.holder.request_lease(name, duration)
        self._schedule_tick()
        return lease

    def release(self, name: str, hand_over_to: str = "") -> None:
        """Release the lease; see `LeaseHolder.release`."""
        self.holder.release(name, hand_over_to)
        self._schedule_tick()

    def release_token(self, name: str, token: int) -> None:
        """Release a lease that an earlier process with this holder id was granted."""
        self.holder.release_token(name, token)
        self._schedule_tick()

    def time_left(self, name: str) -> int:
        """Return for how many nanoseconds the lease is certainly still held; 0 if it is not held."""
        return self.holder.time_left(name)

    def token(self, name: str) -> int:
        """Return the fencing token of a lease that is held now; 0 if it is not held."""
        return self.holder.token(name)

    async def wait_until_held(self, name: str, timeout: float) -> int:
        """Return the token of the lease, or 0 if it is rejected or not held within `timeout` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while not (token := self.token(name)) and name in self.holder.leases:
                    self.changed.clear()
                    await self.changed.wait()
                return token
        return 0

    def keep_until_expiry(self) -> None:
        """Stop renewing the leases without releasing them: each is held until it expires.

        Nothing is sent or received any more: a response that is still under way would be taken for a grant
        that nobody wants, and be answered with its release.
        """
        self.holder.leases.clear()
        self.closed = True
        self.timer.cancel()
        self._disconnect()

    async def close(self) -> None:
        """Release all leases; if the release cannot be sent, they expire by themselves."""
        for name in list(self.holder.leases):
            self.release(name)
        await asyncio.sleep(FINAL_RELEASE_DELAY_S if self.connection is not None else 0)
        self.closed = True
        self.timer.cancel()
        self._disconnect()

    # ---- Environment of the holder ----

    def now(self) -> int:
        """Return nanoseconds of the monotonic clock."""
        return time.monotonic_ns()

    def send(self, request: LeaseRequest) -> None:
        """Send to the current lease server; if not connected, drop the request and connect instead."""
        if self.connection is not None and self.connection.is_ready():
            self.connection.write(request)
        elif self.connect_task is None:
            self._connect()

    def try_next_server(self) -> None:
        """Disconnect from the current lease server; the next request goes to the one after it."""
        self._disconnect()
        self._select_next_server()

    # ---- Events of the connection ----

    def on_connected(self, connection: LeaseServerConnection) -> None:
        """Send a request for all wanted leases."""
        if connection is self.connection:
            self.holder.on_connected()
            self._schedule_tick()

    def on_message(self, connection: LeaseServerConnection, message: object) -> None:
        """Handle a response, or follow a redirect to the leader. Raises LeaseMessageError."""
        if connection is not self.connection:
            return
        response = parse_response(message)
        if isinstance(response, LeaderRedirect):
            self._follow_redirect(response)
            return
        self.holder.handle_response(response)
        self.changed.set()
        self._schedule_tick()

    def on_disconnected(self, connection: LeaseServerConnection) -> None:
        """Drop the connection; the next request opens another."""
        if connection is self.connection:
            self.connection = None

    # ---- Internals ----

    def _follow_redirect(self, redirect: LeaderRedirect) -> None:
        if redirect.address in self.servers.client_addresses:
            self._disconnect()
            self.server_index = self.servers.client_addresses.index(redirect.address)
            self._connect()

    def _select_next_server(self) -> None:
        self.server_index = (self.server_index + 1) % len(self.servers.client_addresses)

    def _disconnect(self) -> None:
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
        if self.connect_task is not None:
            self.connect_task.cancel()
            self.connect_task = None

    def _connect(self) -> None:
        if not self.closed:
            address = self.servers.client_addresses[self.server_index]
            self.connect_task = self.loop.create_task(self._connect_to(address))

    async def _connect_to(self, address: str) -> None:
        connection = LeaseServerConnection(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await connection.connect(address)
            self.connection = connection
        except (OSError, TimeoutError):
            self._select_next_server()  # the holder's next request connects to it
        finally:
            if self.connect_task is asyncio.current_task():
                self.connect_task = None

    def _schedule_tick(self) -> None:
        # Cancelled first, so that MAX_TICK_DELAY_S counts from now even if the time is unchanged.
        self.timer.cancel()
        if not self.closed:
            self.timer.set(self.holder.next_tick())

    def _tick(self) -> None:
        lost_before = self.holder.lost_count
        self.holder.tick()
        if self.holder.lost_count > lost_before:
            self.changed.set()
        self._schedule_tick()
