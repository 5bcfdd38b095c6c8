"""Faults of config servers that fault timelines do not support: lost folders and leaders that are cut off."""

import asyncio
import shutil
from random import Random

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import call_replica

from ..experiment_files.durations import SECOND
from ..processes.link_faults import LinkFault
from ..processes.running_process import ProcessStartError, RunningProcess
from .distribution_fleet import DistributionFleet
from .replica_files import SECRET

LEADER_POLL_INTERVAL = 0.05  # seconds
CUT_SHARE = 0.9  # share of the interval for which a leader is cut off
# The time until the next lost folder is a random factor from MIN_INTERVAL_FACTOR to 1.5, times the interval,
# divided by INTERVAL_DIVISOR.
MIN_INTERVAL_FACTOR = 0.5
INTERVAL_DIVISOR = 1.5


class ServerFaults:
    """Injects the faults of one run until the calm period at its end."""

    def __init__(self, fleet: DistributionFleet) -> None:
        """Prepare faults of that fleet's servers."""
        self.fleet = fleet
        self.rig, self.scenario = fleet.rig, fleet.scenario
        # In ns since the start of the run.
        self.ends_at = self.scenario.run_duration - self.scenario.calm_end_duration()

    async def empty_folders(self) -> None:
        """Repeatedly make a random server lose its folder for a while."""
        random = Random(f"{self.rig.seed} emptied")
        interval, busy = self.scenario.empty_folder_interval, self.rig.timeline.busy
        while self.rig.timeline.now() < self.ends_at - interval // 2:
            pause = interval * (MIN_INTERVAL_FACTOR + random.random()) / INTERVAL_DIVISOR
            await asyncio.sleep(pause / SECOND)
            server = self.rig.processes[random.choice(self.fleet.servers).name]
            if server.name in busy or not server.is_running():
                continue
            busy.add(server.name)
            try:
                await self._empty_folder(server)
            finally:
                busy.discard(server.name)

    async def _empty_folder(self, server: RunningProcess) -> None:
        """Start a server without its folder, which it must refuse, and then start it with its folder."""
        history, moved_folder = self.rig.history, server.folder.with_suffix(".aside")
        history.add("empty", server.name)
        await server.kill()
        server.folder.rename(moved_folder)
        server.folder.mkdir()
        try:
            await server.start()
            history.add("serves empty", server.name)
        except ProcessStartError:
            history.add("refuses", server.name)
        await server.kill()
        shutil.rmtree(server.folder)
        moved_folder.rename(server.folder)
        await server.start()
        history.add("empty is over", server.name)

    async def cut_off_leaders(self) -> None:
        """Repeatedly cut the leader off from the other servers, but not from publishers and watchers."""
        interval = self.scenario.leader_cut_interval
        while self.rig.timeline.now() < self.ends_at - interval:
            leader = await self._find_leader()
            if not leader:
                await asyncio.sleep(LEADER_POLL_INTERVAL)
                continue
            others = [server.name for server in self.fleet.servers if server.name != leader]
            directions = [([leader], others), (others, [leader])]
            numbers = [
                await self.rig.link_faults.add_fault(LinkFault(origin=origin, target=target, cut=True))
                for origin, target in directions
            ]
            await asyncio.sleep(interval * CUT_SHARE / SECOND)
            for number in numbers:
                await self.rig.link_faults.remove_fault(number)
            await asyncio.sleep(interval * (1 - CUT_SHARE) / SECOND)

    async def _find_leader(self) -> str:
        """Return the name of a server that reports that it leads; "" if none does."""
        for server in self.fleet.servers:
            try:
                status = await asyncio.to_thread(
                    call_replica, server.endpoint("peers"), SECRET.encode(), StatusRequest(), StatusRow
                )
            except (OSError, FrameError):
                continue
            if status.leads:
                return server.name
        return ""
