"""One watcher: rejected, skipped, old and corrupt versions, and servers that violate the protocol."""

import pytest

from ploverspoke.config_distribution.messages import VerifiedVersion
from ploverspoke.config_distribution.state_machine import digest_of
from ploverspoke.config_distribution.watcher import ConfigWatcher
from ploverspoke.config_distribution.watcher_records import WatcherRow
from ploverspoke.transport.units import SECOND

from .samples import body, decoded, version, whole_version_message
from .virtual_fleet import FakeWatcher, VirtualFleet


def row_values(row: WatcherRow) -> list[object]:
    """Return the fields of a row except for the time and the connection state."""
    return [row.name, row.applied_version, row.received_version, row.rejection]


def start_one_watcher() -> tuple[VirtualFleet, FakeWatcher, int]:
    fleet = VirtualFleet(2, 1, lambda number: [0])
    fleet.add_version(1)
    fleet.run(2 * SECOND)
    (watcher,) = fleet.watchers
    assert watcher.applied_version() == 1 and watcher.watcher.link is not None
    return fleet, watcher, watcher.watcher.link.link_id


def test_rejected_version_leaves_active_config_unchanged_and_is_the_next_base() -> None:
    fleet, watcher, _ = start_one_watcher()
    watcher.rejected_numbers = {2}
    fleet.add_version(2)
    fleet.run(SECOND)
    assert watcher.applied == [1]
    assert watcher.log_lines[-1] == "config: version 2 rejected: settings.Number is 2"
    (row,) = fleet.servers["s0"].broadcaster.watcher_rows()
    assert row_values(row) == ["n0", 1, 2, "settings.Number is 2"] and row.is_connected
    fleet.add_version(3)
    fleet.run(SECOND)
    assert watcher.applied == [1, 3] and watcher.watcher.versions.rejection == ""
    assert fleet.servers["s0"].broadcaster.counters.whole_versions_sent == 1  # only the first version


def test_versions_skipped_for_a_rejected_one_are_applied_latest_first() -> None:
    fleet, watcher, _ = start_one_watcher()
    watcher.rejected_numbers = {4, 5, 7}
    for number in (2, 3, 4, 5):
        fleet.add_version(number)  # all at once, so that only 5 is sent
    fleet.run(2 * SECOND)
    assert watcher.applied == [1, 3] and watcher.applied_version() == 3
    (row,) = fleet.servers["s0"].broadcaster.watcher_rows()
    assert row_values(row) == ["n0", 3, 5, "settings.Number is 5"]
    assert not fleet.servers["s0"].broadcaster.watchers_behind
    for number in (6, 7):
        fleet.add_version(number)
    fleet.run(2 * SECOND)
    assert watcher.applied == [1, 3, 6] and watcher.watcher.versions.rejection == "settings.Number is 7"
    fleet.add_version(8)
    fleet.run(SECOND)
    assert watcher.applied_version() == 8 and watcher.watcher.versions.rejection == ""
    assert fleet.whole_versions_sent() == 1


def test_older_version_is_ignored_and_logged() -> None:
    fleet, watcher, link = start_one_watcher()
    fleet.add_version(3)
    fleet.run(SECOND)
    watcher.watcher.on_message(link, decoded(whole_version_message(2)))
    assert watcher.applied_version() == 3 and watcher.applied == [1, 3]
    assert watcher.log_lines[-1] == "config: message rejected: version 2 is older than 3"
    before = len(watcher.log_lines)
    watcher.watcher.on_message(link, decoded(whole_version_message(3)))  # a duplicate
    assert len(watcher.log_lines) == before and watcher.watcher.link is not None


@pytest.mark.parametrize(
    "message",
    [
        {**decoded(whole_version_message(2)), "d": digest_of("")},
        {**decoded(whole_version_message(2)), "v": 9},
        decoded(whole_version_message(2, "other")),
        {"k": "beat", "n": "x", "l": True},
        {"k": "refused", "w": "no\nmore"},
        {"k": "what"},
        ["push"],
        None,
    ],
)
def test_server_that_breaks_the_protocol_is_left_and_the_version_stays(message: object) -> None:
    fleet, watcher, link = start_one_watcher()
    watcher.watcher.on_message(link, message)
    assert watcher.applied_version() == 1
    assert watcher.log_lines[-1].startswith("config: message rejected: ")
    assert "\n" not in watcher.log_lines[-1] and link not in watcher.open
    fleet.add_version(2)
    fleet.run(3 * SECOND)
    assert watcher.applied_version() == 2
    # After an unreadable version message, the watcher requests a whole body, whatever base it has.
    is_corrupt = isinstance(message, dict) and message["k"] == "push"
    assert fleet.whole_versions_sent() == 1 + is_corrupt


def test_unexpected_error_of_a_check_rejects_the_version() -> None:
    fleet, watcher, _ = start_one_watcher()

    def fail(version: VerifiedVersion) -> None:
        raise OverflowError("too\nlarge")

    watcher.apply_version = fail  # type: ignore[method-assign]
    fleet.add_version(2)
    fleet.run(SECOND)
    assert watcher.watcher.versions.rejection == "OverflowError: too\\nlarge"
    assert watcher.applied_version() == 1


def test_full_server_redirects_and_a_cached_version_serves_as_delta_base() -> None:
    fleet, watcher, link = start_one_watcher()
    watcher.watcher.on_message(link, {"k": "elsewhere"})
    fleet.run(SECOND)
    assert watcher.watcher.link is not None and watcher.watcher.link.link_id != link
    fleet.add_version(2)
    cached_watcher = FakeWatcher(fleet, 7, [])
    cached_watcher.watcher = ConfigWatcher(
        cached_watcher, "fleet", fleet.names, [], VerifiedVersion(1, version(1).digest, body(1))
    )
    cached_watcher.watcher.start()
    cached_watcher.schedule_tick()
    before = fleet.whole_versions_sent()
    fleet.run(2 * SECOND)
    assert cached_watcher.applied_version() == 2
    assert fleet.whole_versions_sent() == before
