"""The dispatchers of `testbed bench --store`: replicas of one store, or a single dispatcher without one."""

import http.client
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from ploverspoke.consensus.admin_messages import StatusRequest, StatusRow
from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import call_replica

from ..models.deployment_settings import dispatcher_settings
from ..processes.addresses import reserve_ports
from ..processes.running_process import ProcessStartError
from .bench_process import WORKERS, bench_experiment, endpoint_list

SECRET = b"a secret of the bench's own"
LEADER_TIMEOUT = 20.0  # seconds
LEADER_POLL_INTERVAL = 0.02  # seconds
REQUEST_TIMEOUT = 0.5  # seconds
REQUEST_TIMEOUT_MS = 400
REQUEST_CLASSES: list[dict[str, object]] = [
    {"name": "look-up", "expected_time": "1s", "abandon_time": "2s"},
    {"name": "book", "repeat": "irreversible", "expected_time": "1s", "abandon_time": "2s"},
]


class BenchReplicas:
    """The dispatcher processes, each on its own core as long as there are enough cores."""

    def __init__(self, folder: Path, size: int, worker_ports: list[int], cores: list[int]) -> None:
        """Start `size` replicas with a new store, or one dispatcher without a store if `size` is 0."""
        self.folder = folder
        self.size = size
        self.cores = cores
        count = max(1, size)
        ports = reserve_ports(2 * count + 1)
        self.client_ports, self.peer_ports = ports[:count], ports[count : 2 * count]
        (folder / "secret").write_bytes(SECRET)
        self._write_configs(worker_ports, unused_port=ports[-1])
        self._write_store_configs()
        self.processes = [self._start(number, ["--new"]) for number in range(count)]

    def _write_configs(self, worker_ports: list[int], unused_port: int) -> None:
        settings = dispatcher_settings(bench_experiment(REQUEST_CLASSES, WORKERS, "1s", 1.0), 0)
        for number, port in enumerate(self.client_ports):
            config = {
                "name": f"r{number}",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{unused_port}",
                "seed": "1",
                "known": endpoint_list(worker_ports),
                "settings": settings,
            }
            self._config_path(number).write_bytes(msgspec.json.encode(config))

    def _write_store_configs(self) -> None:
        replicas = {
            f"r{number}": {"peers": f"127.0.0.1:{peer_port}", "clients": f"127.0.0.1:{client_port}"}
            for number, (peer_port, client_port) in enumerate(
                zip(self.peer_ports, self.client_ports, strict=True)
            )
        }
        for number in range(len(self.client_ports)):
            config = {
                "cluster": "bench",
                "name": f"r{number}",
                "folder": f"store{number}",
                "secret_file": "secret",
                "replicas": replicas,
            }
            self._store_path(number).write_bytes(msgspec.json.encode(config))

    def _config_path(self, number: int) -> Path:
        return self.folder / f"c{number}.json"

    def _store_path(self, number: int) -> Path:
        return self.folder / f"s{number}.json"

    def _start(self, number: int, extra_arguments: list[str]) -> subprocess.Popen[bytes]:
        arguments = ["-m", "ploverspoke"]
        config, store = str(self._config_path(number)), str(self._store_path(number))
        if self.size:
            arguments += ["serve", config, "--store", store, *extra_arguments]
        process = subprocess.Popen(
            [sys.executable, *arguments],
            env={**os.environ, "RELAY_CONFIG": config},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        os.sched_setaffinity(process.pid, {self.cores[number % len(self.cores)]})
        return process

    def wait_for_leader(self) -> int:
        """Wait until a replica leads, or the single dispatcher serves, and return its number.

        Raises:
            ProcessStartError: none of them does so within LEADER_TIMEOUT.
        """
        deadline = time.monotonic() + LEADER_TIMEOUT
        while time.monotonic() < deadline:
            for number in range(len(self.client_ports)):
                if self._is_leader(number):
                    return number
            time.sleep(LEADER_POLL_INTERVAL)
        raise ProcessStartError(problem="no replica leads")

    def _is_leader(self, number: int) -> bool:
        if not self.size:
            return self.serves(number, f"first-{time.monotonic_ns()}")
        try:
            address = f"127.0.0.1:{self.peer_ports[number]}"
            return call_replica(address, SECRET, StatusRequest(), StatusRow).leads
        except (OSError, FrameError):
            return False

    def serves(self, number: int, request_id: str) -> bool:
        """Return whether that dispatcher now completes a non-idempotent request."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.client_ports[number], timeout=REQUEST_TIMEOUT
        )
        try:
            headers = {"Request-Id": request_id, "Request-Timeout-Ms": str(REQUEST_TIMEOUT_MS)}
            connection.request("POST", "/book", b"work", headers)
            return connection.getresponse().status == http.HTTPStatus.OK
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def kill(self, number: int) -> None:
        """Kill a replica."""
        self.processes[number].send_signal(signal.SIGKILL)
        self.processes[number].wait()

    def restart(self, number: int) -> None:
        """Start a killed replica again, with the store that it has."""
        self.processes[number] = self._start(number, [])

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes:
            process.kill()
            process.wait()
