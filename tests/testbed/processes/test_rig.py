"""The rig of many processes: what its parts promise, and real replicas and dispatchers under its faults."""

import asyncio
import json
import random
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
import uvloop

from ploverspoke.testbed.checkers.request_audit import SOCKETS_TOLERANCE, audit_requests
from ploverspoke.testbed.experiment_files.durations import SECOND, Duration
from ploverspoke.testbed.experiment_files.errors import ExperimentError
from ploverspoke.testbed.processes.addresses import AddressBlock, bind_without_listening, reserve_ports
from ploverspoke.testbed.processes.capacity_check import (
    MEBIBYTE,
    CapacityError,
    ResourceDemand,
    check_capacity,
)
from ploverspoke.testbed.processes.fault_timeline import (
    FaultStep,
    FaultWeight,
    TimelineError,
    check_timeline,
    draw_timeline,
)
from ploverspoke.testbed.processes.history import History, events_around, read_history
from ploverspoke.testbed.processes.link_faults import Link, LinkFault, LinkTable
from ploverspoke.testbed.processes.proxy_messages import (
    AddLinkFault,
    ProxiedProcess,
    ProxySpec,
    ReadCounters,
    RemoveLinkFault,
    ResetConnections,
)
from ploverspoke.testbed.processes.rig import Rig
from ploverspoke.testbed.processes.running_process import ProcessStartError, RunningProcess
from ploverspoke.testbed.processes.tcp_proxy import TcpProxy
from ploverspoke.testbed.scenarios.experiment_runner import run_virtual
from ploverspoke.testbed.scenarios.socket_run import run_on_sockets
from tests.testbed.harness import SMALL_EXPERIMENT, small_experiment

RUNS_LONG = True  # scheduled first: see tests/conftest.py

MS = 1_000_000


@pytest.mark.parametrize(
    ("fault", "arrivals", "pieces"),
    [
        (LinkFault(), [[0]], [0]),
        (LinkFault(cut=True), [[]], [0]),  # a stream's piece is held by its way, not by the link
        (LinkFault(delay=5 * MS), [[5 * MS]], [5 * MS]),
        (LinkFault(loss=1.0), [[]], [(200 + 400 + 800 + 1600 + 3200 + 6400) * MS]),
        (LinkFault(duplicate=1.0), [[0, 0]], [0]),
        (LinkFault(delay=MS, reorder=1.0), [[3 * MS]], [MS]),
        (LinkFault(rate=1000.0), [[100 * MS], [200 * MS]], [300 * MS]),  # one behind the other
    ],
)
def test_a_link_brings_what_its_fault_says(
    fault: LinkFault, arrivals: list[list[int]], pieces: list[int]
) -> None:
    link = Link(lambda: 0.0)
    link.add_fault(1, fault)
    assert [link.datagram_arrivals(0, 100) for _ in arrivals] == arrivals
    assert [link.segment_arrival(0, 100) for _ in pieces] == pieces
    link.remove_fault(1)
    assert link.datagram_arrivals(SECOND, 100) == [SECOND]


def test_faults_lie_over_one_another_and_count_for_links_that_come_later() -> None:
    links = LinkTable(lambda name: random.Random(name).random)
    first = links.link("a", "b")
    links.add_fault(1, LinkFault(origin=["a"], cut=True))
    links.add_fault(2, LinkFault(delay=MS))
    links.add_fault(3, LinkFault(target=["b"], delay=MS))
    assert first.effective.cut and first.effective.delay == 2 * MS
    assert links.link("a", "c").effective.cut and links.link("c", "b").effective.delay == 2 * MS
    assert not links.link("b", "a").effective.cut  # one direction only
    links.remove_fault(1)
    links.remove_fault(1)
    assert not first.effective.cut and first.effective.delay == 2 * MS


@pytest.mark.parametrize(
    ("step", "key"),
    [
        ({"kind": "melt"}, "timeline[0].what"),
        ({"kind": "kill"}, "timeline[0].who"),
        ({"kind": "kill", "processes": ["z"]}, "timeline[0].who"),
        ({"kind": "cut", "peers": ["z"]}, "timeline[0].to"),
        ({"kind": "pause", "processes": ["a"]}, "timeline[0].lasts"),
        ({"kind": "slow"}, "timeline[0].rate"),
        ({"kind": "loss", "probability": 1.5}, "timeline[0].share"),
        ({"kind": "delay"}, "timeline[0].delay"),
    ],
)
def test_a_wrong_timeline_is_refused_by_its_key(step: dict[str, Any], key: str) -> None:
    with pytest.raises(TimelineError) as caught:
        check_timeline([FaultStep(start=Duration(0), **step)], ["a"])
    assert str(caught.value).startswith(key)


def test_a_drawn_timeline_is_its_seeds_and_keeps_the_calm_at_the_end() -> None:
    weights = [
        FaultWeight(
            kind=what,
            processes=["a", "b", "c"],
            interval=Duration(SECOND),
            durations=[Duration(100 * MS), Duration(9 * SECOND)],
        )
        for what in ("kill", "pause", "cut", "rough", "wall jumps", "slow", "delay", "double")
    ]
    steps = draw_timeline(weights, 60 * SECOND, 1, calm=10 * SECOND)
    assert (
        steps
        == draw_timeline(weights, 60 * SECOND, 1, calm=10 * SECOND)
        != draw_timeline(weights, 60 * SECOND, 2)
    )
    assert check_timeline(steps, ["a", "b", "c"]) == steps
    assert len(steps) > 200 and all(step.start + step.duration <= 50 * SECOND for step in steps)


def test_what_does_not_fit_is_refused_with_what_is_wanted() -> None:
    wants = [
        ResourceDemand("dispatchers", 250, 40 * MEBIBYTE, 100),
        ResourceDemand("workers", 1, MEBIBYTE, 20_001),
    ]
    with pytest.raises(CapacityError, match="workers: 20001 descriptors in one process, 20000"):
        check_capacity(wants, 24 << 30, 20_000)
    with pytest.raises(CapacityError, match=r"10001 MiB wanted .250 dispatchers of 40 MiB"):
        check_capacity(wants, 4 << 30, 30_000)
    assert check_capacity(wants, 24 << 30, 30_000) == "251 processes, 10001 MiB"


def test_blocks_and_ports_are_held_and_a_program_can_listen_where_one_is_held() -> None:
    one, other = AddressBlock(), AddressBlock()
    try:
        assert one.number != other.number
        port = one.reserve_port(one.process_host(0))
        with pytest.raises(OSError, match="in use"), socket.socket() as thief:
            thief.bind((one.process_host(0), port))
        with bind_without_listening(one.process_host(0), port) as listening:
            listening.listen()
        assert len(set(reserve_ports(50))) == 50
    finally:
        one.close()
        other.close()
    again = AddressBlock()
    assert again.number == one.number
    again.close()


def test_a_history_is_read_up_to_its_last_whole_line(tmp_path: Path) -> None:
    history = History(tmp_path / "a.history", "a")
    for n in range(50):
        history.add("step", n, at=n * MS)
    (tmp_path / "a.history").open("ab").write(b'[51,"a"')
    events = list(read_history(tmp_path / "a.history"))
    assert [e.detail for e in events] == list(range(50))
    assert events_around(events, 10 * MS, 3)[0].startswith("    -1.000 ms  a  step  9")


async def until(found: Callable[[], Any], seconds: float = 10.0) -> Any:
    for _ in range(int(seconds * 100)):
        if value := found():
            return value
        await asyncio.sleep(0.01)
    raise AssertionError("it did not come to that")


def test_relays_pass_on_hold_and_reset_streams_and_datagrams() -> None:
    block = AddressBlock()

    class Heard(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
            datagrams.append((data, str(addr[0])))

    datagrams: list[tuple[bytes, str]] = []
    came: list[bytes] = []
    senders: list[str] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        senders.append(writer.get_extra_info("peername")[0])
        while data := await reader.read(1000):
            came.append(data)
            writer.write(data.upper())
        came.append(b"end")
        writer.close()

    async def scene() -> None:
        ports = [block.reserve_port(block.process_host(n)) for n in range(2)]
        stood = [
            ProxiedProcess(name, block.process_host(n), block.proxy_host(n), [ports[n]], [ports[n]])
            for n, name in enumerate("ab")
        ]
        proxy = TcpProxy(ProxySpec(1, stood))
        await proxy.open()
        a, b = stood
        await asyncio.start_server(serve, b.host, ports[1])
        loop = asyncio.get_running_loop()
        talk, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(a.host, ports[0]))
        await loop.create_datagram_endpoint(Heard, local_addr=(b.host, ports[1]))

        async def dial() -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
            return await asyncio.open_connection(b.proxy_host, ports[1], local_addr=(a.host, 0))

        reader, writer = await dial()
        writer.write(b"one")
        assert await reader.read(10) == b"ONE" and senders == [a.host]
        talk.sendto(b"x", (b.proxy_host, ports[1]))
        await until(lambda: datagrams == [(b"x", a.proxy_host)])  # it seems to come from where a is believed

        # Answers are cut off, what is asked arrives; then the other way round.
        proxy.handle(AddLinkFault(1, LinkFault(origin=["b"], target=["a"], cut=True)))
        writer.write(b"two")
        await until(lambda: came[-1] == b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(10), 0.05)
        proxy.handle(AddLinkFault(2, LinkFault(origin=["a"], cut=True)))
        proxy.handle(RemoveLinkFault(1))
        assert await reader.read(10) == b"TWO"
        writer.write(b"three")
        talk.sendto(b"y", (b.proxy_host, ports[1]))
        writer.close()  # the end comes behind what was sent before it
        await asyncio.sleep(0.05)
        assert came[-1] == b"two" and len(datagrams) == 1
        proxy.handle(RemoveLinkFault(2))
        await until(lambda: came[-2:] == [b"three", b"end"])

        reader, writer = await dial()
        writer.write(b"four")
        await reader.read(10)
        proxy.handle(ResetConnections(LinkFault(origin=["a"], target=["b"])))
        with pytest.raises(ConnectionResetError):
            await reader.read(10)
        proxy.handle(AddLinkFault(3, LinkFault(silent=True)))
        reader, writer = await dial()
        writer.write(b"five")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(10), 0.05)
        proxy.handle(RemoveLinkFault(3))
        assert b"five" not in came and len(senders) == 2
        counters = proxy.handle(ReadCounters())
        assert counters.accepted_connections == 3 and counters.links.lost == 1

    try:
        uvloop.run(asyncio.wait_for(scene(), 30))
    finally:
        block.close()


def test_a_process_has_the_address_and_the_clocks_that_the_rig_gives_it(tmp_path: Path) -> None:
    told: dict[str, dict[str, float]] = {}

    async def scene() -> None:
        streams: dict[str, tuple[asyncio.StreamReader, asyncio.StreamWriter]] = {}

        def came(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            streams[writer.get_extra_info("peername")[0]] = (reader, writer)

        server = await asyncio.start_server(came, "127.0.0.1", 0)
        port = str(server.sockets[0].getsockname()[1])
        async with Rig(tmp_path, 1) as rig:
            for name, rate in (("true", 1.0), ("fast", 2.0), ("slow", 0.5)):
                place = rig.allocate_address(name)
                process = rig.add_process(place, "tests.testbed.processes.probe", ["127.0.0.1", port, "0.4"])
                process.clock_rate = rate
                process.set_wall_clock_offset(3600 * SECOND if name == "slow" else 0)
            await rig.start_processes()
            await until(lambda: len(streams) == 3)

            async def ask(place: Any) -> None:
                reader, writer = streams[place.host]
                began = time.monotonic()
                writer.write(b"\n")
                found = json.loads(await reader.readline())
                took = time.monotonic() - began
                told[place.name] = {"took": took, **found, "ahead": found["wall"] - time.time()}

            await asyncio.gather(*(ask(place) for place in rig.addresses.values()))
            assert isinstance(rig.processes["true"], RunningProcess) and rig.processes["true"].is_running()
            rig.processes["true"].pause()
        assert not any(process.is_running() for process in rig.processes.values())

    asyncio.run(asyncio.wait_for(scene(), 30))
    # All believe to have slept as long; on the true clock that was half as long, or twice.
    assert all(one["slept"] > 0.35 for one in told.values())
    assert told["slow"]["took"] > 0.75 and told["fast"]["took"] < told["slow"]["took"]
    assert 3500 < told["slow"]["ahead"] < 3700 and abs(told["true"]["ahead"]) < 60


def test_nothing_is_left_running_when_a_process_of_the_rig_does_not_come_up(tmp_path: Path) -> None:
    async def scene() -> list[RunningProcess]:
        async with Rig(tmp_path, 1) as rig:
            rig.add_process(
                rig.allocate_address("a"),
                "tests.testbed.processes.probe",
                ["127.0.0.1", str(reserve_ports(1)[0]), "1"],
            )
            bad = rig.add_process(rig.allocate_address("b"), "tests.testbed.processes.probe", ["no number"])

            async def never() -> bool:
                return False

            bad.ready = never
            with pytest.raises(ProcessStartError, match=r"b did not come up; its log: (?s:.*)IndexError"):
                await rig.start_processes()
        return list(rig.processes.values())

    assert not any(process.is_running() for process in asyncio.run(asyncio.wait_for(scene(), 30)))


def test_replicas_keep_the_rules_when_clocks_jump_disks_fail_and_links_are_cut_one_way() -> None:
    # One fault behind the other: with two of three gone nobody can be answered, and clients wait on.
    troubles = [
        {"at": "1s", "what": "wall jumps", "who": ["d0", "d2"], "ahead": 3600.0},
        {"at": "1s", "what": "disk fails", "who": ["d0"], "lasts": "500ms"},
        {"at": "2500ms", "what": "disk fails", "who": ["d1"], "lasts": "500ms"},
        {"at": "4s", "what": "wall jumps", "who": ["d0"], "ahead": -3600.0},
        {"at": "4s", "what": "cut", "who": ["d2"], "lasts": "800ms"},
        {"at": "6s", "what": "disk full", "who": ["d2"], "lasts": "500ms"},
        {"at": "7500ms", "what": "pause", "who": ["d0"], "lasts": "700ms"},
        {"at": "9s", "what": "cut", "to": ["d1"], "lasts": "800ms"},
    ]
    grades = [{**grade, "abandon_time": "3s"} for grade in SMALL_EXPERIMENT["grades"]]
    e = small_experiment(
        lasts="10s", grades=grades, dispatchers={"count": 3, "store": True}, timeline=troubles
    )
    played = run_on_sockets(e, 1)
    assert audit_requests(e, played.events, SOCKETS_TOLERANCE) == []
    said = [event.detail for event in played.history if event.what == "log"]
    for text in ("disk I/O error", "disk is full", "the disk can be written again"):
        assert any(text in line for line in said), text
    answered = [event for event in played.events if event.detail == "satisfied"]
    assert len(answered) > 100 and {event.what for event in played.history} >= {
        "add fault",
        "remove fault",
        "pause is over",
    }


def test_dispatchers_talk_through_relays_and_a_cut_between_them_is_felt_there_only() -> None:
    talk = {"count": 3, "talk": True}
    e = small_experiment(
        lasts="3s",
        dispatchers=talk,
        timeline=[{"at": "0s", "what": "cut", "who": ["d0"], "to": ["d1"]}],
    )
    played = run_on_sockets(e, 1)
    assert audit_requests(e, played.events, SOCKETS_TOLERANCE) == []
    assert played.links.passed > 10 and played.links.lost > 0
    cut = [{"at": "0s", "what": "cut"}]
    for told, key in (({"dispatchers": talk}, "dispatchers.talk"), ({"timeline": cut}, "timeline")):
        with pytest.raises(ExperimentError, match=key):
            run_virtual(small_experiment(**told), 1, "ours")
    with pytest.raises(ExperimentError, match=r"timeline\[0\].who"):
        small_experiment(timeline=[{"at": "0s", "what": "kill", "who": ["d7"]}])
