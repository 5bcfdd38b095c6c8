"""The version under which a dispatcher begins to serve."""

from pathlib import Path

from .own_files import body_with_classes
from .process_fleet import SERVERS, ProcessFleet, run_with_fleet


def log_between_start_and_serving(fleet: ProcessFleet) -> str:
    """Return what the latest start logged before clients could connect."""
    text = (fleet.folder / "n0.log").read_text()
    before, _, _ = text.rpartition("n0 serves at")
    return before.rpartition("n0 serves at")[2]


def test_dispatcher_that_was_down_serves_under_the_version_that_it_missed(tmp_path: Path) -> None:
    # It took requests under the version of its cache until a server had sent it the latest one.
    async def script(fleet: ProcessFleet) -> None:
        fleet.start_dispatcher()
        await fleet.wait_for_log_line("n0", "n0 serves at")
        await fleet.wait_until_watched()
        code, out = await fleet.publish(body_with_classes("g01"), "--wait", "20")
        assert code == 0, out
        await fleet.terminate("n0")
        code, out = await fleet.publish(body_with_classes("g02"))
        assert code == 0, out
        fleet.start_dispatcher()
        await fleet.wait_for_log_line("n0", "n0 serves at", times=2)
        assert "version 2 applied" in log_between_start_and_serving(fleet)
        assert await fleet.has_class("g02") and not await fleet.has_class("g01")
        # Without servers it serves under the version of its cache.
        await fleet.terminate("n0")
        for name in SERVERS:
            await fleet.terminate(name)
        fleet.start_dispatcher()
        await fleet.wait_for_log_line("n0", "n0 serves at", times=3)
        assert await fleet.has_class("g02")

    run_with_fleet(tmp_path, script)
