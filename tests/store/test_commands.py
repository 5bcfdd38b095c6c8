"""`ploverspoke store` with three real replicas."""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from click.testing import CliRunner, Result

from ploverspoke.cli import main
from tests.example_config import EXAMPLE
from tests.store.cluster_harness import Cluster


class StoreProcesses:
    """Three replicas of a store as processes; all of them are killed at the end of a `with` block."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.cluster = Cluster(folder, 3)
        self.document = {key: value for key, value in EXAMPLE.items() if key != "known"}
        self.write("dispatcher.json", self.document)
        names = [f"r{number}" for number in range(3)]
        self.files = {name: self.cluster.write_config(name, snapshot_every=20_000) for name in names}
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> "StoreProcesses":
        self.start_all("--new")
        return self

    def __exit__(self, *error: object) -> None:
        self.kill_all()

    def write(self, name: str, document: dict[str, object]) -> Path:
        path = self.folder / name
        path.write_text(json.dumps(document))
        return path

    def start_all(self, *options: str) -> None:
        for name, file in self.files.items():
            arguments = ["serve", str(self.folder / "dispatcher.json"), "--store", str(file), *options]
            command = [sys.executable, "-m", "ploverspoke", *arguments]
            with self.log_path(name).open("ab") as log:
                self.running[name] = subprocess.Popen(command, stderr=log)

    def kill_all(self) -> None:
        for process in self.running.values():
            process.kill()
            process.wait()

    def log_path(self, name: str) -> Path:
        return self.folder / f"{name}.log"

    def status(self) -> list[dict[str, object]]:
        return list(json.loads(run_store("status", self.files["r0"], "--json").output))

    def leader(self) -> object:
        """Return the name of the leader; None if there is none."""
        return next((row["name"] for row in self.status() if row.get("leads")), None)

    def all_have_the_first_version(self) -> bool:
        return all(row.get("configuration") == 1 for row in self.status())


def run_store(command: str, file: Path, *arguments: str) -> Result:
    return CliRunner().invoke(main, ["store", command, str(file), *arguments])


def wait_for(condition: Callable[[], bool]) -> None:
    until = time.monotonic() + 15
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.05)


def commit_a_configuration(store: StoreProcesses) -> None:
    """Commit a version that all replicas apply; a document that lacks a key is rejected."""
    changed = store.write("new.json", {**store.document, "discovery": "127.0.0.1:8599"})
    committed = run_store("configure", store.files["r0"], str(changed))
    assert committed.exit_code == 0, committed.output
    wait_for(store.all_have_the_first_version)
    invalid = store.write("bad.json", {**store.document, "settings": {}})
    rejected = run_store("configure", store.files["r0"], str(invalid))
    assert rejected.exit_code == 2 and "settings.ServiceGrades" in rejected.output
    wait_for(lambda: all("8599" in store.log_path(name).read_text() for name in store.files))


def transfer_leadership(store: StoreProcesses) -> None:
    leader = store.leader()
    assert leader is not None
    successor = next(name for name in store.files if name != leader)
    assert run_store("transfer", store.files["r0"], successor).exit_code == 0
    wait_for(lambda: store.leader() == successor)


def test_a_committed_configuration_reaches_all_replicas_and_survives_a_restart(tmp_path: Path) -> None:
    store, backup = StoreProcesses(tmp_path), tmp_path / "copy.db"
    with store:
        wait_for(lambda: store.leader() is not None)
        commit_a_configuration(store)
        store.kill_all()
        store.start_all()
        wait_for(store.all_have_the_first_version)
        assert run_store("backup", store.files["r1"], str(backup)).exit_code == 0
        transfer_leadership(store)
    inspected = run_store("inspect", store.files["r1"], "--json")
    assert json.loads(inspected.output)["configurations"] == [1]
    fresh = store.cluster.write_config("r1", folder="restored")
    assert run_store("restore", fresh, str(backup)).exit_code == 0
    assert run_store("restore", fresh, str(backup)).exit_code == 2
    assert run_store("status", fresh).exit_code == 1
