"""Load gossip: decisions that use it, its encoding and its sockets; it is a hint and may be lost."""

import asyncio
import random
import socket
from typing import Any

import pytest

from ploverspoke.decisions.interface import EndpointCondition, LoadGossip
from ploverspoke.decisions.state import SECOND
from ploverspoke.protocol.errors import GossipSyntaxError
from ploverspoke.protocol.gossip_messages import (
    MAX_MESSAGE_SIZE,
    GossipMessage,
    GossipReader,
    encode_gossip,
    short_hash,
    workers_by_hash,
)
from ploverspoke.routing.load_gossip import GossipSocket
from ploverspoke.service.config import parse_config
from ploverspoke.service.service import Service
from ploverspoke.testbed.processes.addresses import reserve_ports
from tests.decisions.harness import MS, SETTINGS, Answer, DispatchHarness, endpoint
from tests.decisions.random_runs import random_run

GOSSIP: dict[str, Any] = {
    "gossip_allowed": True,
    "gossip_cost": 0.01,
    "probing_allowed": False,
    "dispatcher_count": 9,
}
FULL = ["a", "a"]


def test_a_worker_full_of_peers_requests_is_avoided_until_their_gossip_expires() -> None:
    harness = DispatchHarness([endpoint("a"), endpoint("b")], **GOSSIP)
    for peer, slots in ((1, FULL), (2, ["a"])):
        harness.dispatcher.gossip_received(peer, LoadGossip(0, 1, 0.0, slots))
    harness.send_request(1)
    harness.send_request(2)
    assert harness.worker_of(1) == harness.worker_of(2) == "b"
    harness.advance(6 * SECOND)
    harness.send_request(3)
    assert harness.dispatcher.workers["a"].peer_slots == 0


def test_late_duplicate_and_foreign_gossip_changes_nothing() -> None:
    harness = DispatchHarness([endpoint("a")], **GOSSIP)
    receive_gossip = harness.dispatcher.gossip_received
    receive_gossip(1, LoadGossip(0, 7, 0.0, ["a"]))
    receive_gossip(1, LoadGossip(0, 6, 0.0, FULL))  # late
    receive_gossip(1, LoadGossip(0, 7, 0.0, FULL))  # duplicate
    receive_gossip(0, LoadGossip(0, 8, 0.0, FULL))  # from this dispatcher
    receive_gossip(1, LoadGossip(0, 8, 0.0, ["nobody"]))
    assert harness.dispatcher.workers["a"].peer_slots == 0 and set(harness.dispatcher.workers) == {"a"}
    receive_gossip(1, LoadGossip(0, 0, 0.0, FULL))  # after a restart
    assert harness.dispatcher.workers["a"].peer_slots == 2


def test_gossip_does_not_end_a_drain() -> None:
    harness = DispatchHarness([endpoint("a")], **GOSSIP)
    harness.dispatcher.endpoints_changed([endpoint("a", EndpointCondition.DRAINING)])
    harness.dispatcher.gossip_received(1, LoadGossip(0, 1, 0.0, ["a"]))
    harness.send_request(1)
    assert harness.worker_of(1) is None


def test_without_permission_no_gossip_is_sent_or_used() -> None:
    harness = DispatchHarness([endpoint("a")])
    harness.dispatcher.gossip_received(1, LoadGossip(0, 1, 1.0, FULL))
    harness.send_request(1)
    harness.advance(SECOND)
    assert not harness.gossip_sent and harness.dispatcher.workers["a"].peer_slots == 0


def test_the_ring_of_the_zone_is_sent_changes_only() -> None:
    harness = DispatchHarness([endpoint("a")], **GOSSIP)
    for peer, zone in ((5, 0), (3, 0), (4, 1)):
        harness.dispatcher.gossip_received(peer, LoadGossip(zone, 1, 0.0, []))
    harness.advance(2 * SECOND)
    harness.gossip_sent.clear()
    harness.send_request(1)
    harness.advance(30 * MS)
    assert not harness.gossip_sent
    harness.advance(70 * MS)
    peers, gossip = harness.gossip_sent[0]
    assert (peers, gossip.zone, gossip.workers) == ([3, 5, 4, 4], 0, ["a"]) and len(harness.gossip_sent) == 1


def test_another_zone_is_used_only_where_starts_are_much_less_late() -> None:
    remote = endpoint("f")._replace(zone=1)
    for own_lateness, other, expected in ((0.8, 0.1, "f"), (0.8, 0.6, None), (0.8, None, None)):
        harness = DispatchHarness([endpoint("a"), remote], cross_zone_cost=0.02, **GOSSIP)
        harness.dispatcher.gossip_received(1, LoadGossip(0, 1, own_lateness, ["a"] * 9))
        harness.dispatcher.components.lateness.recent.extend([own_lateness] * 16)
        if other is not None:
            harness.dispatcher.gossip_received(2, LoadGossip(1, 1, other, []))
        harness.dispatcher.components.admission.should_refuse = lambda request, now: False  # type: ignore[method-assign]
        harness.send_request(1)
        assert harness.worker_of(1) == expected


def test_refusals_follow_the_lateness_of_starts() -> None:
    harness = DispatchHarness([endpoint("a")], **GOSSIP)
    harness.dispatcher.components.lateness.recent.extend([1.0] * 16)
    for number in range(100):
        harness.send_request(number, request_class=2, deadline_in=30 * SECOND)
    refused = sum(answer is Answer.REJECTED for answer in harness.answers.values())
    assert 60 < refused < 95
    for peer in range(1, 9):
        harness.dispatcher.gossip_received(peer, LoadGossip(0, 1, 0.0, []))
    for number in range(100, 200):
        harness.send_request(number, request_class=2, deadline_in=30 * SECOND)
    assert sum(answer is Answer.REJECTED for answer in harness.answers.values()) == refused


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_whatever_gossip_says(seed: int) -> None:
    """Sends false gossip: full fleets, late or duplicate messages, unknown workers and dispatchers."""
    random_numbers = random.Random(seed)
    original_send_request = DispatchHarness.send_request

    def send_request(self: DispatchHarness, *arguments: object, **options: object) -> None:
        slots = [random_numbers.choice(["w0", "w1", "w2", "?"]) for _ in range(random_numbers.randrange(9))]
        peer, zone, sequence = (
            random_numbers.randrange(99),
            random_numbers.randrange(2),
            random_numbers.randrange(256),
        )
        self.dispatcher.gossip_received(peer, LoadGossip(zone, sequence, 0.3, slots))
        original_send_request(self, *arguments, **options)  # type: ignore[arg-type]

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(DispatchHarness, "send_request", send_request)
        harness = random_run(5000 + seed, 300, **GOSSIP)
    assert all(worker.peer_slots >= 0 for worker in harness.dispatcher.workers.values())


def test_bytes_are_read_back_and_corrupt_ones_refused() -> None:
    reader, workers = GossipReader(), ["10.0.0.1:80", "10.0.0.2:80"]
    data = encode_gossip(GossipMessage(2, 9, 0.5, [workers[1], "elsewhere:1", workers[1]]))
    assert reader.read(data, workers) == GossipMessage(2, 9, 128 / 255, [workers[1], workers[1]])
    assert len(encode_gossip(GossipMessage(0, 0, 1.0, workers * 200))) == MAX_MESSAGE_SIZE
    corrupted = [data[:at] + bytes((data[at] ^ 1,)) + data[at + 1 :] for at in range(len(data))]
    for invalid in (b"", data[:-1], data[:4], b"\x02" + data[1:], bytes(300), *corrupted):
        with pytest.raises(GossipSyntaxError):
            reader.read(invalid, workers)


def test_a_hash_that_two_workers_share_means_neither() -> None:
    names_by_hash: dict[int, str] = {}
    for number in range(100_000):
        name = f"10.{number // 251}.7:{number % 251}"
        if short_hash(name) in names_by_hash:
            break
        names_by_hash[short_hash(name)] = name
    pair = (names_by_hash[short_hash(name)], name)
    assert workers_by_hash(["alone", *pair]) == {short_hash("alone"): "alone"}


def test_datagrams_go_between_listed_addresses_only() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        reserved = [socket.socket(type=socket.SOCK_DGRAM) for _ in range(2)]
        for each in reserved:
            each.bind(("127.0.0.1", 0))
        addresses = [each.getsockname() for each in reserved]
        for each in reserved:
            each.close()
        received: list[tuple[object, ...]] = []
        peers = [
            GossipSocket(addresses, number, lambda: ["a"], lambda *arguments: received.append(arguments))
            for number in range(2)
        ]
        predecessor = GossipSocket(addresses, 1, list, lambda *arguments: None)
        # A successor opens the address while its predecessor still has it open.
        for gossip_socket in (predecessor, *peers):
            await gossip_socket.open(loop)
        predecessor.close()
        await asyncio.sleep(0.01)
        peers[0].send(None, LoadGossip(1, 3, 0.0, ["a"]))
        stranger = socket.socket(type=socket.SOCK_DGRAM)
        stranger.sendto(encode_gossip(GossipMessage(1, 4, 0.0, ["a"])), addresses[1])
        assert peers[0].transport is not None
        peers[0].transport.sendto(b"garbage", addresses[1])
        for _ in range(100):
            await asyncio.sleep(0.01)
            if received:
                break
        await asyncio.sleep(0.05)
        assert received == [(0, LoadGossip(1, 3, 0.0, ["a"]))]
        stranger.close()
        for peer in peers:
            peer.close()

    asyncio.run(run())


def test_a_started_program_sends_gossip_and_a_new_configuration_does_not_enable_it() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        other = socket.socket(type=socket.SOCK_DGRAM)
        other.bind(("127.0.0.1", 0))
        other.setblocking(False)
        limits = {**SETTINGS["Limits"], "Peers": True}
        document: dict[str, Any] = {"discovery": "127.0.0.1:9"}
        document["settings"] = {**SETTINGS, "PeersTotal": 2, "Limits": limits}
        ports = reserve_ports(2)
        document["listen"] = f"127.0.0.1:{ports[0]}"
        peers = [f"127.0.0.1:{ports[1]}", f"127.0.0.1:{other.getsockname()[1]}"]
        service = Service(loop, parse_config({**document, "peers": peers}, {}))
        running = loop.create_task(service.run())
        data = await asyncio.wait_for(loop.sock_recv(other, 999), 5)
        assert GossipReader().read(data, []) == GossipMessage(0, 0, 0.0, [])
        service.shut_down()
        await asyncio.wait_for(running, 5)
        other.close()
        silent = Service(loop, parse_config(document, {}))
        silent.apply_config(parse_config({**document, "peers": peers}, {}))
        assert not silent.router.settings.gossip_allowed

    asyncio.run(run())
