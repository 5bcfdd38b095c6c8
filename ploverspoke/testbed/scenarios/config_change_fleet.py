"""Stages with many changes of configuration: by an operator's signals, or from config servers."""

import asyncio
import time
from pathlib import Path
from typing import Any

import msgspec

from ..experiment_files.durations import SECOND
from ..experiment_files.experiment import Experiment
from ..models.deployment_settings import dispatcher_settings
from ..processes.addresses import ProcessAddress
from ..processes.child_process import ChildProcess
from ..processes.readiness import accepts_connections
from ..processes.running_process import ProcessStartError, RunningProcess
from ..scale import simulated_dispatcher
from ..scale.simulated_programs import MODULE, SimulatedDispatcherProgram
from .scale_fleet import ProcessCounts, SimulatedScaleFleet
from .scale_phases import ScaleScenario
from .socket_run import ReportListener

ADDED = "change"  # grades that changes add: change-1, change-2...
SECRET = b"a secret of the testbed's own"
FIRST_ANSWER = 10.0  # seconds, for a leader to take a version


class ConfigChangeFleet(SimulatedScaleFleet):
    """Each change is a grade more, brought to every dispatcher by an operator's hand."""

    def __init__(
        self,
        e: Experiment,
        seed: int,
        folder: Path,
        shape: ProcessCounts,
        play: ScaleScenario,
        told: ReportListener | None = None,
    ) -> None:
        super().__init__(e, seed, folder, shape, told)
        self.play_ = play
        self.took: list[list[int]] = []  # ns until each was in force, by dispatcher
        self.carried = 0  # bytes, of all that brought them
        self.asker: ChildProcess | None = None

    async def _before_dispatchers(self, places: list[ProcessAddress]) -> None:
        await super()._before_dispatchers(places)
        self.asker = await self.rig.start_child(f"{MODULE}.config_poller", [])
        self.asker.send({"doors": [place.endpoint("clients") for place in places]})

    def _on_run_start(self, epoch: int, workers: ChildProcess, discovery: ChildProcess) -> None:
        super()._on_run_start(epoch, workers, discovery)
        self.tasks.append(asyncio.create_task(self._hear_asker()))
        self.tasks.append(asyncio.create_task(self._change(epoch)))

    async def _hear_asker(self) -> None:
        assert self.asker is not None
        while (told := await self.asker.receive()) is not None:
            self.took.append(told["took"])

    async def _change(self, epoch: int) -> None:
        assert self.asker is not None
        play, begins = self.play_, epoch + self.experiment.measured_from
        every = play.lasts // (play.changes + 1)
        try:
            for number in range(1, play.changes + 1):
                await asyncio.sleep(max(0, begins + number * every - time.monotonic_ns()) / SECOND)
                self.asker.send({"change": number, "grade": f"{ADDED}-{number}"})
                await self.bring(number)
        except (OSError, RuntimeError) as error:
            self.rig.errors.append(f"a change could not be made: {error}")

    def changed(self, number: int, dispatcher: int) -> dict[str, Any]:
        """The settings of that dispatcher with so many changes."""
        like = self.experiment.request_classes[-1]
        more = [
            msgspec.structs.replace(like, name=f"{ADDED}-{n}", weight=1.0 + n / 100)
            for n in range(1, number + 1)
        ]
        return dispatcher_settings(
            msgspec.structs.replace(
                self.experiment, request_classes=[*self.experiment.request_classes, *more]
            ),
            dispatcher,
        )

    async def bring(self, number: int) -> None:
        """A file for each, and a signal for each."""
        for at, program in enumerate(self.programs):
            assert isinstance(program, SimulatedDispatcherProgram)
            program.config = {**program.config, "settings": self.changed(number, at)}
            program.write()
            self.carried += Path(program.place.config).stat().st_size
            program.read_again()
            await asyncio.sleep(0)


class WatchedConfigFleet(ConfigChangeFleet):
    """Each change is a version at config servers, real processes, that all dispatchers watch.

    Relays stand between watchers and servers, and count the bytes both ways.
    """

    def __init__(
        self, e: Experiment, seed: int, folder: Path, shape: ProcessCounts, play: ScaleScenario
    ) -> None:
        super().__init__(e, seed, folder, shape, play)
        names = [f"c{number}" for number in range(play.config_servers)]
        self.server_places = [
            self.rig.allocate_address(name, ["clients"], [], direct=["peers"]) for name in names
        ]
        self.servers: list[RunningProcess] = []
        self.octets = 0  # that the relays had carried when the changes began

    def _replicas(self, relayed: bool) -> dict[str, dict[str, str]]:
        return {
            place.name: {
                "peers": place.endpoint("peers"),
                "clients": place.proxied_endpoint("clients") if relayed else place.endpoint("clients"),
            }
            for place in self.server_places
        }

    async def _before_dispatchers(self, places: list[ProcessAddress]) -> None:
        (self.folder / "secret").write_bytes(SECRET)
        for place in self.server_places:
            file = self.folder / f"{place.name}.config.json"
            told = {"cluster": "testbed", "name": place.name, "folder": place.name, "secret_file": "secret"}
            file.write_bytes(msgspec.json.encode({**told, "replicas": self._replicas(relayed=False)}))
            words = ["config", "serve", str(file)]
            server = RunningProcess(place, self.folder, "ploverspoke", words)
            server.ready = accepts_connections(place.host, place.ports["clients"])
            self.servers.append(server)
        await asyncio.gather(*(server.start(["--new"]) for server in self.servers))
        await super()._before_dispatchers(places)

    def _place(self, number: int, place: ProcessAddress) -> simulated_dispatcher.DispatcherAddress:
        servers = [place.proxied_endpoint("clients") for place in self.server_places]
        near = servers[number % len(servers)]
        told = {"cluster": "testbed", "servers": servers, "near": [near], "secret_file": "secret"}
        watch = self.folder / f"{place.name}.watch.json"
        watch.write_bytes(msgspec.json.encode({**told, "cache": f"{place.name}.cache"}))
        return super()._place(number, place)._replace(watch=str(watch))

    async def _change(self, epoch: int) -> None:
        await asyncio.sleep(max(0, epoch + self.experiment.measured_from - time.monotonic_ns()) / SECOND)
        await self.rig.link_faults.read_counters()
        self.octets = self.rig.link_faults.counters.links.bytes_passed
        await super()._change(epoch)
        await asyncio.sleep(max(0, epoch + self.experiment.duration - time.monotonic_ns()) / SECOND)
        await self.rig.link_faults.read_counters()
        self.carried = self.rig.link_faults.counters.links.bytes_passed - self.octets

    async def bring(self, number: int) -> None:
        """One version, published as an operator's tool does."""
        from ploverspoke.config_distribution.admin_client import publish
        from ploverspoke.config_distribution.cluster_config import ConfigServers
        from ploverspoke.config_distribution.errors import NoServerAvailableError

        told = self.changed(number, 0)
        body = {"settings": {key: told[key] for key in ("ServiceGrades", "Domain")}}
        servers = ConfigServers({place.name: place.endpoint("peers") for place in self.server_places}, SECRET)
        text = msgspec.json.encode(body).decode()
        try:
            found = await asyncio.to_thread(publish, servers, text, None, "testbed", FIRST_ANSWER)
        except NoServerAvailableError as error:
            raise ProcessStartError(f"no config server leads: {error}") from None
        if not found.accepted:
            raise ProcessStartError(f"version {number} is not published: {found.reason}")

    async def close(self) -> None:
        await asyncio.gather(*(server.kill() for server in self.servers))
        for server in self.servers:
            server.close()
        await super().close()
