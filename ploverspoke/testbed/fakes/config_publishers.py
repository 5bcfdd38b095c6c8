"""Publishers of configuration: they publish at config servers, with retries and races, and read versions.

They call the servers directly, not through the proxies, so that a leader that is cut off from the other
servers still receives publish requests.
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
    BODY_DEFECTS,
    NO_DEFECT,
    ConfigClientsSpec,
    Publication,
    PublishReply,
    encode_body,
)

PUBLISH_TIMEOUT_NS = 8 * SECOND  # of one publication, with all retries under its id
REPLY_TIMEOUT_S = 0.7  # of one request to a server
RETRY_PAUSE_S = 0.1
DUPLICATE_SHARE = 0.2  # of publish requests are sent twice
RACE_SHARE = 0.2  # of publications race with another that has the same expected version
KINDS, KIND_WEIGHTS = tuple(PublicationKind), (8, 1, 1)
VERSIONS_IN_HISTORY = 16  # latest versions of a reply that are recorded
NO_LEADER_REPLY = -1  # in place of a version: the server that is believed to lead did not reply

Rows = list[list[Any]]  # versions or watchers, as servers list them


class ConfigPublishers:
    """All publishers of a run."""

    def __init__(self, spec: ConfigClientsSpec, history: History, discovery_addresses: list[str]) -> None:
        """Create the publishers; published bodies name the discovery addresses in turn."""
        self.spec = spec
        self.history = history
        self.discovery_addresses = discovery_addresses
        self.random = random.Random(f"{spec.seed} publishers")
        self.secret = spec.secret.encode()
        self.last_tag = 0
        self.leader = next(iter(spec.servers))  # the server that is believed to lead
        self.may_publish = asyncio.Event()
        self.may_publish.set()  # cleared during a pause
        self.stopped: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.abandons_retries = False
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start publishing."""
        coroutines = [self._run_publisher(number) for number in range(self.spec.publishers)]
        if self.spec.pause_interval:
            coroutines.append(self._pause_periodically())
        self.publishing = asyncio.gather(*coroutines)

    async def publish_final_versions(self) -> None:
        """Stop publishing, then publish a body that is accepted and one that dispatchers reject."""
        # The publishers are awaited, not cancelled, so that the final versions come after all of theirs.
        self.stopped.set_result(None)
        self.may_publish.set()
        self.abandons_retries = True
        await self.publishing
        self.abandons_retries = False
        await self._publish_until_accepted(PublicationKind.VALID)
        await self._publish_until_accepted(PublicationKind.REJECTED_BY_DISPATCHERS)

    async def record_servers(self) -> None:
        """Record the versions and the watchers of each server."""
        for server in self.spec.servers:
            versions = await self._request(server, {"ask": "versions"})
            if isinstance(versions, list):
                self.history.add("versions", [server, versions, True])
            watchers = await self._request(server, {"ask": "watchers"})
            if isinstance(watchers, list):
                self.history.add("watchers", [server, watchers])

    # ---- Publishers ----

    async def _run_publisher(self, number: int) -> None:
        rng = random.Random(f"{self.spec.seed} publisher {number}")
        while await self._sleep(rng.expovariate(1.0) * self.spec.publish_interval):
            await self.may_publish.wait()
            expected = await self._latest_version()
            if expected == NO_LEADER_REPLY:
                continue
            kind = rng.choices(KINDS, KIND_WEIGHTS)[0]
            may_retry = rng.random() < self.spec.retry_share
            attempts = [self._publish(self._new_publication(kind, expected), may_retry)]
            if rng.random() < RACE_SHARE:
                attempts.append(
                    self._publish(self._new_publication(PublicationKind.VALID, expected), may_retry)
                )
            await asyncio.gather(*attempts)

    async def _pause_periodically(self) -> None:
        """At intervals, publish a version that dispatchers reject, and nothing after it for the pause."""
        while await self._sleep(self.spec.pause_interval):
            self.may_publish.clear()
            await self._publish_until_accepted(PublicationKind.REJECTED_BY_DISPATCHERS)
            await self._sleep(self.spec.pause)
            self.may_publish.set()

    async def _sleep(self, nanoseconds: float) -> bool:
        """Wait that long, or until publishing is stopped; returns whether publishing continues."""
        await asyncio.wait([self.stopped], timeout=nanoseconds / SECOND)
        return not self.stopped.done()

    async def _publish_until_accepted(self, kind: PublicationKind) -> None:
        deadline = monotonic_now() + PUBLISH_TIMEOUT_NS
        while monotonic_now() < deadline and not self.abandons_retries:
            expected = await self._latest_version()
            if expected != NO_LEADER_REPLY and await self._publish(
                self._new_publication(kind, expected), True
            ):
                return
            await asyncio.sleep(RETRY_PAUSE_S)

    # ---- One publication ----

    def _new_publication(self, kind: PublicationKind, expected_version: int) -> Publication:
        self.last_tag += 1
        tag = self.last_tag
        defect = self.random.choice(BODY_DEFECTS[kind]) if kind in BODY_DEFECTS else NO_DEFECT
        body = encode_body(tag, self.discovery_addresses[tag % len(self.discovery_addresses)], defect)
        publication = Publication(f"p{tag}", tag, kind, defect.key, expected_version, body)
        self.history.add("wants", list(publication[:-1]))
        return publication

    async def _publish(self, publication: Publication, may_retry: bool) -> bool:
        """Publish; returns whether it was accepted.

        Without retries it is given up at the first request without a reply or without a known result.
        """
        deadline = monotonic_now() + PUBLISH_TIMEOUT_NS
        while monotonic_now() < deadline and not self.abandons_retries:
            server = self.leader
            self.history.add("sends", [publication.id, server])
            if self.random.random() < DUPLICATE_SHARE:
                self._run_in_background(self._send_duplicate(publication, server))
            reply = await self._send(publication, server)
            if reply is None:
                self._try_other_server(server)
                if not may_retry:
                    return False
            elif reply.leader is not None:
                if self._follow_leader(reply.leader, server):
                    continue
            else:
                self._record_reply(publication, server, reply)
                if not reply.is_unknown or not may_retry:
                    return reply.accepted
            await asyncio.sleep(RETRY_PAUSE_S)
        return False

    async def _send(self, publication: Publication, server: str) -> PublishReply | None:
        """Send one publish request; returns None if no reply came in time."""
        request = {
            "ask": "publish",
            "body": publication.body,
            "expect": publication.expected_version,
            "by": "testbed",
            "id": publication.id,
        }
        reply = await self._request(server, request)
        return msgspec.convert(reply, PublishReply) if isinstance(reply, dict) else None

    async def _send_duplicate(self, publication: Publication, server: str) -> None:
        reply = await self._send(publication, server)
        if reply is not None and reply.leader is None:
            self._record_reply(publication, server, reply)

    def _record_reply(self, publication: Publication, server: str, reply: PublishReply) -> None:
        is_final = not reply.is_unknown
        self.history.add(
            "answer", [publication.id, server, reply.accepted, reply.version, reply.reason, is_final]
        )

    # ---- Servers ----

    async def _request(self, server: str, request: dict[str, Any]) -> object:
        """Return the server's reply to a request, or None if there is none in time.

        After a timeout the request's thread continues, so the server may still carry out the request.
        """
        request_in_thread = asyncio.to_thread(
            send_admin_request, self.spec.servers[server], self.secret, request
        )
        try:
            return await asyncio.wait_for(request_in_thread, REPLY_TIMEOUT_S)
        except (OSError, TimeoutError, FrameError, msgspec.MsgspecError):
            return None

    async def _latest_version(self) -> int:
        """Return the latest version of the server believed to lead, or NO_LEADER_REPLY."""
        server = self.leader
        reply = await self._request(server, {"ask": "versions"})
        if not isinstance(reply, list):
            self._try_other_server(server)
            return NO_LEADER_REPLY
        versions = cast(Rows, reply)
        self.history.add("versions", [server, versions[-VERSIONS_IN_HISTORY:], False])
        return int(versions[-1][0]) if versions else 0

    def _follow_leader(self, address: str, server: str) -> bool:
        """Send further requests to the leader that a server named; returns whether that leader is known."""
        name = self.spec.server_names_by_address.get(address)
        if name:
            self.leader = name
            return True
        self._try_other_server(server)
        return False

    def _try_other_server(self, server: str) -> None:
        """Send further requests to another server: this one did not reply, or named no known leader."""
        if self.leader == server:
            self.leader = self.random.choice([name for name in self.spec.servers if name != server])

    def _run_in_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
