"""Publishers of configuration: they commit bodies at config servers, retry, race, and read versions.

They call servers directly, without the proxies between, so that a leader that is cut off is still asked to
commit.
"""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, cast

import msgspec

from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import send_admin_request

from ..checkers.distribution_history import PublicationKind
from ..experiment_files.durations import SECOND
from ..processes.history import History, monotonic_now
from .config_client_messages import (
    INVALID_PARTS,
    VALID,
    ConfigClientsSpec,
    Publication,
    PublishReply,
    encode_body,
)

PUBLISH_TIMEOUT = 8 * SECOND  # ns, with all retries under one id
REPLY_TIMEOUT = 0.7  # seconds, of a server
RETRY_PAUSE = 0.1  # seconds
DUPLICATE_SHARE = 0.2  # of the publications that are sent twice
RACE_SHARE = 0.2  # of the publications that another with the same expected version races
KINDS, KIND_WEIGHTS = tuple(PublicationKind), (8, 1, 1)
VERSIONS_IN_HISTORY = 16
NO_LEADER_REPLY = -1

Rows = list[list[Any]]  # versions or watchers as servers list them, for the history


class ConfigPublishers:
    """All publishers of a run."""

    def __init__(self, spec: ConfigClientsSpec, history: History, discoveries: list[str]) -> None:
        """Publish nothing yet; `discoveries` are the addresses that bodies name in turn."""
        self.spec = spec
        self.history = history
        self.discoveries = discoveries
        self.random = random.Random(f"{spec.seed} publishers")
        self.secret = spec.secret.encode()
        self.last_tag = 0
        self.leader = next(iter(spec.servers))  # the server that is believed to lead
        self.may_publish = asyncio.Event()
        self.may_publish.set()  # cleared for a pause
        self.stopped: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.abandons_retries = False
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin to publish."""
        work = [self._run_publisher(number) for number in range(self.spec.publishers)]
        if self.spec.pause_interval:
            work.append(self._pause_in_turns())
        self.publishing = asyncio.gather(*work)

    async def publish_last(self) -> None:
        """End publishing; then publish a body that is accepted and one that dispatchers refuse."""
        # Publishers end by themselves, so that what is published here comes after all that they did.
        self.stopped.set_result(None)
        self.may_publish.set()
        self.abandons_retries = True
        await self.publishing
        self.abandons_retries = False
        await self._publish_until_accepted(PublicationKind.VALID)
        await self._publish_until_accepted(PublicationKind.REJECTED_BY_DISPATCHERS)

    async def read_servers(self) -> None:
        """Record the versions and the watchers that each server has."""
        for server in self.spec.servers:
            versions = await self._ask(server, {"ask": "versions"})
            if isinstance(versions, list):
                self.history.add("versions", [server, versions, True])
            watchers = await self._ask(server, {"ask": "watchers"})
            if isinstance(watchers, list):
                self.history.add("watchers", [server, watchers])

    # ---- Publishers ----

    async def _run_publisher(self, number: int) -> None:
        draws = random.Random(f"{self.spec.seed} publisher {number}")
        while await self._sleep(draws.expovariate(1.0) * self.spec.publish_interval):
            await self.may_publish.wait()
            expected = await self._latest_version()
            if expected == NO_LEADER_REPLY:
                continue
            kind = draws.choices(KINDS, KIND_WEIGHTS)[0]
            retries = draws.random() < self.spec.retry_share
            racing = [self._publish(self._new_publication(kind, expected), retries)]
            if draws.random() < RACE_SHARE:
                racing.append(self._publish(self._new_publication(PublicationKind.VALID, expected), retries))
            await asyncio.gather(*racing)

    async def _pause_in_turns(self) -> None:
        """Publish a refused version and nothing after it for a while, again and again."""
        while await self._sleep(self.spec.pause_interval):
            self.may_publish.clear()
            await self._publish_until_accepted(PublicationKind.REJECTED_BY_DISPATCHERS)
            await self._sleep(self.spec.pause)
            self.may_publish.set()

    async def _sleep(self, nanoseconds: float) -> bool:
        """Wait so long, or until publishing has ended; returns whether it goes on."""
        await asyncio.wait([self.stopped], timeout=nanoseconds / SECOND)
        return not self.stopped.done()

    async def _publish_until_accepted(self, kind: PublicationKind) -> None:
        deadline = monotonic_now() + PUBLISH_TIMEOUT
        while monotonic_now() < deadline and not self.abandons_retries:
            expected = await self._latest_version()
            if expected != NO_LEADER_REPLY and await self._publish(
                self._new_publication(kind, expected), True
            ):
                return
            await asyncio.sleep(RETRY_PAUSE)

    # ---- One publication ----

    def _new_publication(self, kind: PublicationKind, expected_version: int) -> Publication:
        self.last_tag += 1
        tag = self.last_tag
        invalid_part = self.random.choice(INVALID_PARTS[kind]) if kind in INVALID_PARTS else VALID
        body = encode_body(tag, self.discoveries[tag % len(self.discoveries)], invalid_part)
        publication = Publication(f"p{tag}", tag, kind, invalid_part.key, expected_version, body)
        self.history.add("wants", list(publication[:-1]))
        return publication

    async def _publish(self, publication: Publication, retries: bool) -> bool:
        """Publish and return whether it was accepted; without retries it is given up at the first silence."""
        deadline = monotonic_now() + PUBLISH_TIMEOUT
        while monotonic_now() < deadline and not self.abandons_retries:
            server = self.leader
            self.history.add("sends", [publication.id, server])
            if self.random.random() < DUPLICATE_SHARE:
                self._run_in_background(self._send_duplicate(publication, server))
            reply = await self._send(publication, server)
            if reply is None:
                self._try_other_server(server)
                if not retries:
                    return False
            elif reply.leader is not None:
                if self._follow_leader(reply.leader, server):
                    continue
            else:
                self._record_reply(publication, server, reply)
                if not reply.unknown or not retries:
                    return reply.done
            await asyncio.sleep(RETRY_PAUSE)
        return False

    async def _send(self, publication: Publication, server: str) -> PublishReply | None:
        """Send it once; None where no answer came in time."""
        request = {
            "ask": "publish",
            "body": publication.body,
            "expect": publication.expected_version,
            "by": "testbed",
            "id": publication.id,
        }
        reply = await self._ask(server, request)
        return msgspec.convert(reply, PublishReply) if isinstance(reply, dict) else None

    async def _send_duplicate(self, publication: Publication, server: str) -> None:
        reply = await self._send(publication, server)
        if reply is not None and reply.leader is None:
            self._record_reply(publication, server, reply)

    def _record_reply(self, publication: Publication, server: str, reply: PublishReply) -> None:
        is_final = not reply.unknown
        self.history.add("answer", [publication.id, server, reply.done, reply.version, reply.why, is_final])

    # ---- Servers ----

    async def _ask(self, server: str, request: dict[str, Any]) -> object:
        """Return the reply, None where there is none in time.

        The thread goes on then: the server may still do what it was asked for.
        """
        work = asyncio.to_thread(send_admin_request, self.spec.servers[server], self.secret, request)
        try:
            return await asyncio.wait_for(work, REPLY_TIMEOUT)
        except (OSError, TimeoutError, FrameError, msgspec.MsgspecError):
            return None

    async def _latest_version(self) -> int:
        """Return the number of the latest version at the believed leader, or NO_LEADER_REPLY."""
        server = self.leader
        reply = await self._ask(server, {"ask": "versions"})
        if not isinstance(reply, list):
            self._try_other_server(server)
            return NO_LEADER_REPLY
        versions = cast(Rows, reply)
        self.history.add("versions", [server, versions[-VERSIONS_IN_HISTORY:], False])
        return int(versions[-1][0]) if versions else 0

    def _follow_leader(self, address: str, server: str) -> bool:
        """Ask the leader that a server names from now on; returns whether it is known."""
        name = self.spec.names.get(address)
        if name:
            self.leader = name
            return True
        self._try_other_server(server)
        return False

    def _try_other_server(self, server: str) -> None:
        """Ask another from now on: this one is silent, or neither leads nor knows who does."""
        if self.leader == server:
            self.leader = self.random.choice([name for name in self.spec.servers if name != server])

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
