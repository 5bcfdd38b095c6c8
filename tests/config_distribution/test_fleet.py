"""Watchers and config servers on a virtual clock: faults, an isolated region, a restart of all servers."""

from collections.abc import Callable

import pytest

from ploverspoke.transport.units import MILLISECOND, SECOND

from .virtual_fleet import VirtualFleet


def local_by_half(number: int) -> list[int]:
    return [0, 1, 2] if number % 2 else [3, 4]


def test_every_watcher_applies_each_version_and_watchers_spread_over_local_servers() -> None:
    fleet = VirtualFleet(5, 100, local_by_half)
    fleet.run(2 * SECOND)
    watching = [len(fleet.servers[name].links) for name in fleet.names]
    assert sum(watching) == 100 and min(watching) >= 8 and sum(watching[:3]) == 50
    for number in range(1, 6):
        fleet.add_version(number)
        fleet.run(SECOND)
        assert set(fleet.applied_versions()) == {number}
    assert fleet.dials() == 100
    assert fleet.whole_versions_sent() == 100  # the first version only; later ones are deltas


def cut_off_servers(fleet: VirtualFleet, *servers: str) -> None:
    """Block all messages between these servers and all watchers."""
    for watcher in fleet.watchers:
        for server in servers:
            fleet.cut(watcher.name, server)


def crash_servers(fleet: VirtualFleet, *servers: str) -> None:
    for server in servers:
        fleet.servers[server].crash()


FAULTS: dict[str, Callable[[VirtualFleet], None]] = {
    "a server's machine is gone": lambda fleet: cut_off_servers(fleet, "s0"),
    "a server dies": lambda fleet: crash_servers(fleet, "s0"),
    "two servers die": lambda fleet: crash_servers(fleet, "s0", "s3"),
    "four servers are gone": lambda fleet: cut_off_servers(fleet, "s0", "s1", "s2", "s3"),
    "nothing comes from a server": lambda fleet: fleet.cuts.update(
        ("s0", watcher.name) for watcher in fleet.watchers
    ),
    "nothing comes to a server": lambda fleet: fleet.cuts.update(
        (watcher.name, "s0") for watcher in fleet.watchers
    ),
}


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("seed", [1, 2])
def test_version_published_after_a_fault_is_applied_everywhere_within_ten_seconds(
    fault: str, seed: int
) -> None:
    fleet = VirtualFleet(5, 40, local_by_half, seed)
    fleet.add_version(1)
    fleet.run(8 * SECOND)
    FAULTS[fault](fleet)
    fleet.add_version(2)
    fleet.run(10 * SECOND)
    assert set(fleet.applied_versions()) == {2}, fault


def test_watchers_leave_servers_cut_off_from_the_majority() -> None:
    fleet = VirtualFleet(5, 60, local_by_half)
    fleet.add_version(1)
    fleet.run(8 * SECOND)
    fleet.servers["s0"].has_leader = fleet.servers["s3"].has_leader = False
    fleet.add_version(2, ["s1", "s2", "s4"])
    fleet.run(10 * SECOND)
    assert set(fleet.applied_versions()) == {2}
    assert not fleet.servers["s0"].links and not fleet.servers["s3"].links


def test_isolated_region_keeps_its_watches_and_catches_up() -> None:
    fleet = VirtualFleet(5, 20, local_by_half)
    fleet.add_version(1)
    fleet.run(8 * SECOND)
    cut_off = [
        watcher for watcher in fleet.watchers if watcher.watcher.selector.local_servers == {"s3", "s4"}
    ]
    for watcher in fleet.watchers:
        for name in ("s0", "s1", "s2") if watcher in cut_off else ("s3", "s4"):
            fleet.cut(watcher.name, name)
    fleet.servers["s3"].has_leader = fleet.servers["s4"].has_leader = False
    before = [watcher.watcher.link for watcher in fleet.watchers]
    fleet.add_version(2, ["s0", "s1", "s2"])
    fleet.run(600 * SECOND)
    dials = [len(watcher.dialed) for watcher in cut_off]
    assert [watcher.watcher.link for watcher in fleet.watchers] == before
    assert not any(watcher.server_changes() for watcher in cut_off)
    assert max(dials) <= 600 / 8 + 10  # trials continue with growing backoff
    assert {watcher.applied_version() for watcher in cut_off} == {1}
    assert set(fleet.applied_versions()) == {1, 2}
    fleet.cuts.clear()
    for name in ("s3", "s4"):
        fleet.servers[name].has_leader = True
        fleet.add_version(2, [name])
    fleet.run(5 * SECOND)
    assert set(fleet.applied_versions()) == {2}


@pytest.mark.parametrize("downtime", [SECOND, 3 * SECOND])
def test_reconnects_after_a_full_restart_are_spread_over_time(downtime: int) -> None:
    fleet = VirtualFleet(5, 100, local_by_half)
    fleet.add_version(1)
    fleet.run(8 * SECOND)
    for server in fleet.servers.values():
        server.crash()
    fleet.run(downtime)
    restarted_at = fleet.clock
    for server in fleet.servers.values():
        server.start()
    fleet.add_version(2)
    fleet.run(10 * SECOND)
    assert set(fleet.applied_versions()) == {2}
    reconnects = sorted(watcher.dialed[-1][0] - restarted_at for watcher in fleet.watchers)
    max_reconnects = max(
        sum(1 for at in reconnects if window_start <= at < window_start + 100 * MILLISECOND)
        for window_start in reconnects
    )
    assert max_reconnects < 50 and reconnects[-1] < 4 * SECOND


def test_watcher_of_a_remote_server_returns_to_a_local_one() -> None:
    fleet = VirtualFleet(3, 30, lambda number: [0])
    fleet.servers["s0"].crash()
    fleet.run(10 * SECOND)
    assert not any(
        watcher.watcher.link and watcher.watcher.link.address == "s0" for watcher in fleet.watchers
    )
    fleet.servers["s0"].start()
    fleet.run(120 * SECOND)
    assert len(fleet.servers["s0"].links) == 30
    assert all(watcher.server_changes() == 1 for watcher in fleet.watchers)


def test_version_of_a_server_without_a_leader_is_not_taken_for_the_latest() -> None:
    # A dispatcher that starts began to serve under the version of a server that may have missed later ones.
    fleet = VirtualFleet(1, 1, lambda number: [0])
    watcher = fleet.watchers[0].watcher
    fleet.servers["s0"].has_leader = False
    fleet.run(3 * SECOND)
    assert watcher.is_connected() and not watcher.is_current()
    fleet.servers["s0"].has_leader = True
    fleet.run(3 * SECOND)
    assert watcher.is_current()
