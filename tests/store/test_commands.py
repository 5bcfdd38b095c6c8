"""`ploverspoke store` with three real replicas."""

import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from ploverspoke.cli import main
from tests.example_config import EXAMPLE
from tests.store.cluster_harness import Cluster


def test_a_committed_configuration_reaches_all_replicas_and_survives_a_restart(tmp_path: Path) -> None:
    """The real program, three times: one version is committed, a bad one refused, and a restart knows it."""
    cluster = Cluster(tmp_path, 3)
    document = {key: value for key, value in EXAMPLE.items() if key != "known"}
    (tmp_path / "c.json").write_text(json.dumps(document))
    run = CliRunner()
    files = {f"r{n}": cluster.write_config(f"r{n}", snapshot_every=20_000) for n in range(3)}

    def start(name: str, *options: str) -> subprocess.Popen[bytes]:
        arguments = [
            "-m",
            "ploverspoke",
            "serve",
            str(tmp_path / "c.json"),
            "--store",
            str(files[name]),
            *options,
        ]
        return subprocess.Popen([sys.executable, *arguments], stderr=(tmp_path / f"{name}.log").open("ab"))

    def status() -> list[dict[str, Any]]:
        return list(json.loads(run.invoke(main, ["store", "status", str(files["r0"]), "--json"]).output))

    def wait_for(condition: Callable[[], bool]) -> None:
        until = time.monotonic() + 15
        while not condition():
            assert time.monotonic() < until
            time.sleep(0.05)

    running = {name: start(name, "--new") for name in files}
    try:
        wait_for(lambda: any(row.get("leads") for row in status()))
        changed = {**document, "discovery": "127.0.0.1:8599"}
        (tmp_path / "new.json").write_text(json.dumps(changed))
        done = run.invoke(main, ["store", "configure", str(files["r0"]), str(tmp_path / "new.json")])
        assert done.exit_code == 0, done.output
        wait_for(lambda: all(row.get("configuration") == 1 for row in status()))
        (tmp_path / "bad.json").write_text(json.dumps({**document, "settings": {}}))
        bad = run.invoke(main, ["store", "configure", str(files["r0"]), str(tmp_path / "bad.json")])
        assert bad.exit_code == 2 and "settings.ServiceGrades" in bad.output
        wait_for(lambda: all("8599" in (tmp_path / f"{name}.log").read_text() for name in files))
        for process in running.values():
            process.kill()
            process.wait()
        running = {name: start(name) for name in files}
        wait_for(lambda: all(row.get("configuration") == 1 for row in status()))
        copy = tmp_path / "copy.db"
        assert run.invoke(main, ["store", "backup", str(files["r1"]), str(copy)]).exit_code == 0
        leader = next(row["name"] for row in status() if row.get("leads"))
        to = next(name for name in files if name != leader)
        assert run.invoke(main, ["store", "transfer", str(files["r0"]), to]).exit_code == 0
        wait_for(lambda: any(row.get("leads") and row["name"] == to for row in status()))
    finally:
        for process in running.values():
            process.kill()
            process.wait()
    inspected = run.invoke(main, ["store", "inspect", str(files["r1"]), "--json"])
    assert json.loads(inspected.output)["configurations"] == [1]
    fresh = cluster.write_config("r1", folder="restored")
    assert run.invoke(main, ["store", "restore", str(fresh), str(copy)]).exit_code == 0
    assert run.invoke(main, ["store", "restore", str(fresh), str(copy)]).exit_code == 2
    assert run.invoke(main, ["store", "status", str(fresh)]).exit_code == 1
