"""Files of commit c0e5f5c: stores, snapshots, commands, the cache and the configuration files."""

import asyncio
import json
import shutil
import sqlite3
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

import msgspec
import pytest

from ploverspoke.config_distribution.cache import read_cache, write_cache
from ploverspoke.config_distribution.cluster_config import (
    WatchConfig,
    read_config_server_config,
    read_config_servers,
    read_watch_config,
)
from ploverspoke.config_distribution.messages import VerifiedVersion
from ploverspoke.config_distribution.overlay import canonical_json
from ploverspoke.config_distribution.server_node import COMMITTED_KEY, ConfigServerNode
from ploverspoke.config_distribution.state_machine import (
    ConfigStateMachine,
    PublishCommand,
    Version,
    digest_of,
)
from ploverspoke.consensus.cluster_config import read_replica_config
from ploverspoke.consensus.log import Entry, EntryKind, Snapshot
from ploverspoke.consensus.membership import Member, Members, fingerprint
from ploverspoke.consensus.peer_links import PeerLinks
from ploverspoke.consensus.persisted_state import WriteBatch
from ploverspoke.consensus.storage import ReplicaStorage, restore_from_backup
from ploverspoke.decisions.interface import AttemptOutcome
from ploverspoke.leases.config import read_lease_server_config, read_lease_servers
from ploverspoke.leases.server_node import EPOCH_KEY
from ploverspoke.leases.state_machine import LeaseStateMachine
from ploverspoke.routing.answers import FinalAnswer, RecordedAnswer
from ploverspoke.routing.outcomes import OUTCOMES
from ploverspoke.service.config import read_config
from ploverspoke.store.endpoint_cache import EndpointCache
from ploverspoke.store.node import CONFIGURATION_KEY, ENDPOINTS_KEY
from ploverspoke.store.request_log import ReplicatedRequestLog
from ploverspoke.store.state_machine import RequestStateMachine

from .data_files import DATA, SECOND, decoded, encoded, read_json

STATES: dict[str, type] = {
    "store": RequestStateMachine,
    "leases": LeaseStateMachine,
    "config": ConfigStateMachine,
}
BODIES = ['{"settings": {"RoundUs": 2000}}', '{"settings": {"RoundUs": 3000}, "zones": {"a": {}}}']
DIGEST = bytes(range(16))
SECRET = b"a secret of twenty-four."
REPLICAS = {"r1": ("10.0.0.1:7001", "10.0.0.1:8081")}
every_store = pytest.mark.parametrize("name", STATES)


# ---- What touches the names of the product ----


def open_storage(folder: Path) -> ReplicaStorage:
    disk = ReplicaStorage(folder)
    disk.open()
    return disk


def copy_of(name: str, folder: Path) -> Path:
    shutil.copy(DATA / name / "store.db", folder / "store.db")
    return folder


def load_state(name: str, snapshot: bytes) -> Any:
    state = STATES[name]()
    state.restore_snapshot(snapshot)
    return state


def write_storage(folder: Path, told: dict[str, Any], snapshot: bytes) -> None:
    """The same steps as those that made the data."""
    disk, members = open_storage(folder), msgspec.convert(told["members"], Members)
    disk.save_value("disk", told["disk"])
    disk.initialize(told["me"], told["fingerprint"], members)
    batch = WriteBatch()
    batch.vote = (told["vote"][0], told["vote"][1])
    batch.entries = [
        Entry(at, term, EntryKind(kind), decoded(data)) for at, term, kind, data in told["entries"]
    ]
    disk.write(batch)
    disk.save_snapshot(Snapshot(told["snapshot_at"], told["snapshot_term"], members, snapshot))
    for key, value in told["kept"].items():
        disk.save_value(key, decoded(value))
    disk.close()


def proposed_by_router() -> list[str]:
    """The commands of one submission, as a leading replica proposes them."""
    proposed: list[str] = []
    node: Any = SimpleNamespace(clock=SimpleNamespace(now=lambda: 5 * SECOND), role_listeners=[])
    node.propose = lambda command, then: proposed.append(encoded(command))
    scribe = ReplicatedRequestLog(node, [])
    digest = scribe.digest("POST", "/book/1", b"{}")
    scribe.record_request("job-1", 1, digest, 7 * SECOND, lambda yes: None)
    scribe.record_attempt("job-1", "w0", 1, lambda yes: None)
    scribe.record_attempt_outcome("job-1", 1, AttemptOutcome.FULL)
    answer = RecordedAnswer(FinalAnswer.SUCCEEDED, "fine")
    scribe.record_answer("job-1", answer, digest, lambda yes: None)
    return proposed


async def latest_served(node: ConfigServerNode) -> Version | None:
    """What a config server offers its watchers after its start, before it has heard of a leader."""
    with mock.patch.object(PeerLinks, "open", mock.AsyncMock()):
        await node.open()
    assert node.versions.latest_number() == 1
    latest = node.broadcaster.latest
    await node.close()
    return latest


# ---- Stores ----


@every_store
def test_a_store_is_read_with_all_its_values(name: str, tmp_path: Path) -> None:
    told = read_json(f"{name}/written.json")
    disk = open_storage(copy_of(name, tmp_path))
    assert (disk.replica_id, disk.cluster_fingerprint) == (told["me"], told["fingerprint"])
    persisted = disk.persisted
    assert persisted.storage_id == told["disk"]
    assert [persisted.current_term, persisted.voted_for] == told["vote"]
    assert encoded(persisted.members) == encoded(told["members"])
    assert (persisted.log.snapshot_index, persisted.log.snapshot_term) == (
        told["snapshot_at"],
        told["snapshot_term"],
    )
    entries = [[one.index, one.term, one.kind, encoded(one.data)] for one in persisted.log.entries]
    assert entries == told["entries"][told["snapshot_at"] :]
    assert disk.persisted.snapshot_data == (DATA / name / "snapshot.bin").read_bytes()
    assert (
        told["kept"] and {key: encoded(disk.load_value(key, object)) for key in told["kept"]} == told["kept"]
    )
    disk.close()


@every_store
def test_a_store_is_written_with_the_same_rows(name: str, tmp_path: Path) -> None:
    write_storage(tmp_path, read_json(f"{name}/written.json"), (DATA / name / "snapshot.bin").read_bytes())
    assert rows_of(tmp_path / "store.db") == rows_of(DATA / name / "store.db")


def rows_of(path: Path) -> dict[str, Any]:
    """Every table with its definition and its rows."""
    found: dict[str, Any] = {}
    database = sqlite3.connect(f"file:{path}?mode=ro&immutable=1", uri=True)
    for table, definition in database.execute("select name, sql from sqlite_master").fetchall():
        found[table] = (definition, database.execute(f"select * from {table} order by 1").fetchall())
    database.close()
    assert set(found) == {"told", "entries", "snapshot"} and all(rows for _, rows in found.values())
    return found


@every_store
def test_a_store_is_restored_as_a_backup(name: str, tmp_path: Path) -> None:
    disk = restore_from_backup(tmp_path / "new", DATA / name / "store.db", "r3.1")
    term = read_json(f"{name}/written.json")["vote"][0]
    assert disk.load_value("me", str) == "r3.1" and disk.load_value("vote", list[object]) == [term + 1, ""]
    assert disk.persisted.snapshot_data == (DATA / name / "snapshot.bin").read_bytes()
    disk.close()


@every_store
def test_the_fingerprint_of_the_first_members_is_the_same(name: str) -> None:
    told = read_json(f"{name}/written.json")
    assert fingerprint(told["cluster"], msgspec.convert(told["members"], Members)) == told["fingerprint"]


def test_the_keys_of_kept_values_are_the_same() -> None:
    assert list(read_json("store/written.json")["kept"]) == [CONFIGURATION_KEY, ENDPOINTS_KEY]
    assert list(read_json("leases/written.json")["kept"]) == [EPOCH_KEY]
    assert list(read_json("config/written.json")["kept"]) == [COMMITTED_KEY]


def test_a_config_server_serves_the_version_that_its_old_store_knew_committed(tmp_path: Path) -> None:
    """The log holds version 2 behind the snapshot; that it is committed stands in a kept value alone."""
    orders = read_config_server_config(DATA / "files" / "config-servers.json")
    replica = orders.replica._replace(folder=copy_of("config", tmp_path))
    latest = asyncio.run(latest_served(ConfigServerNode(orders._replace(replica=replica))))
    assert latest is not None and (latest.number, latest.body, latest.author) == (2, BODIES[1], "ben")


def test_a_kept_list_of_workers_is_read_and_written_again() -> None:
    kept: list[Any] = []
    told = decoded(read_json("store/written.json")["kept"]["roster"])
    EndpointCache(kept.append).update(read_json("scribe.json")["roster_body"].encode())
    EndpointCache(kept.append, told).update(b'{"version": 4, "full": false, "servers": []}')
    assert [encoded(one) for one in kept] == [encoded(told)] * 2


# ---- State machines ----


@every_store
@pytest.mark.parametrize("file", ["snapshot.bin", "state.bin"])
def test_a_snapshot_is_loaded_and_taken_again(name: str, file: str) -> None:
    snapshot = (DATA / name / file).read_bytes()
    assert load_state(name, snapshot).take_snapshot() == snapshot


@every_store
def test_the_whole_log_gives_the_same_snapshots(name: str) -> None:
    told, state = read_json(f"{name}/written.json"), STATES[name]()
    for at, _, kind, data in told["entries"]:
        if kind == "data":
            state.apply(at, decoded(data))
        if at == told["snapshot_at"]:
            assert state.take_snapshot() == (DATA / name / "snapshot.bin").read_bytes()
    assert state.take_snapshot() == (DATA / name / "state.bin").read_bytes()


@every_store
def test_a_store_is_replayed_to_the_same_state(name: str, tmp_path: Path) -> None:
    disk = open_storage(copy_of(name, tmp_path))
    state = load_state(name, disk.persisted.snapshot_data)
    for entry in disk.persisted.log.entries:
        if entry.kind == "data":
            state.apply(entry.index, entry.data)
    assert state.take_snapshot() == (DATA / name / "state.bin").read_bytes()
    disk.close()


def test_submissions_of_a_snapshot_have_their_values() -> None:
    ledger = load_state("store", (DATA / "store" / "state.bin").read_bytes())
    assert list(ledger.open_requests) == ["job-2", "job-4"] and list(ledger.answered) == ["job-1", "job-3"]
    job = ledger.open_requests["job-2"]
    assert (job.request_class, job.digest, job.deadline, job.accepted_at) == (
        1,
        DIGEST[::-1],
        10 * SECOND,
        4 * SECOND,
    )
    intents = [
        (one.worker, one.index, one.started_at, one.outcome_word, one.started_wall_time)
        for one in job.attempts
    ]
    wall = 1_700_000_002 * SECOND
    assert intents == [("w1", 1, 5 * SECOND, "broken_off", wall), ("w2", 2, 6 * SECOND, "", 6 * SECOND)]
    first, second = ledger.answered.values()
    assert (first.answer.value, first.result, first.digest) == ("satisfied", "fine", DIGEST)
    assert first.forget_at == (9 + 15 * 60) * SECOND and second.answer.value == "nacked"
    version = ledger.configuration()
    assert (version.version, version.body, version.committed_by) == (1, BODIES[0], "anna")
    assert (version.committed_wall_time, ledger.highest_token, ledger.now) == (
        1_700_000_001 * SECOND,
        7,
        9 * SECOND,
    )


def test_leases_of_a_snapshot_have_their_values() -> None:
    leases = load_state("leases", (DATA / "leases" / "state.bin").read_bytes())
    first = 1_700_000_000 << 24
    assert (leases.epoch, leases.last_token) == (1_700_000_000, first + 1)
    held = {name: [(h.holder, h.token, h.duration) for h in row] for name, row in leases.grants.items()}
    assert held == {"summary": [("n2/1", first, 30 * SECOND)], "restart": [("n0/1", first + 1, 60 * SECOND)]}


def test_versions_of_a_snapshot_have_their_values() -> None:
    versions = load_state("config", (DATA / "config" / "state.bin").read_bytes())
    rows = [
        (v.number, v.body, v.digest, v.canonical_digest, v.author, v.request_id) for v in versions.versions
    ]
    digests = [(digest_of(body), digest_of(canonical_json(json.loads(body)))) for body in BODIES]
    assert rows == [
        (1, BODIES[0], *digests[0], "anna", "request-1"),
        (2, BODIES[1], *digests[1], "ben", "request-4"),
    ]
    answers = {key: (one.accepted, one.version, one.reason) for key, one in versions.results.items()}
    assert answers == {
        "request-1": (True, 1, ""),
        "request-2": (True, 1, "version 1 says the same"),
        "request-3": (False, 1, "version 1 is in force, and 0 was expected"),
        "request-4": (True, 2, ""),
    }


# ---- Commands ----


def test_the_router_s_commands_are_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "time_ns", lambda: 1_700_000_000 * SECOND)
    assert proposed_by_router() == read_json("scribe.json")["proposed"]


def test_outcomes_that_the_log_keeps_are_the_same() -> None:
    assert sorted(set(OUTCOMES.values())) == read_json("scribe.json")["outcomes"]


def test_two_bodies_with_the_same_values_have_one_canonical_text() -> None:
    """Its digest is kept with each version, and says whether a published body is a new one."""
    body = json.loads('{ "zones": {"a": {}}, "settings": {"Z": 1.0, "A": "\u00e9"}, "discovery": "x" }')
    assert canonical_json(body) == '{"discovery":"x","settings":{"A":"\\u00e9","Z":1.0},"zones":{"a":{}}}'


def test_publish_commands_are_the_same() -> None:
    made = []
    requests = [(0, 0, "anna"), (0, 0, "anna"), (1, 0, "ben"), (1, 1, "ben")]
    for number, (body, expect, by) in enumerate(requests, 1):
        same = digest_of(canonical_json(json.loads(BODIES[body])))
        command = PublishCommand(BODIES[body], same, expect, by, f"request-{number}")
        made.append(encoded(command.encode()))
    assert made == read_json("config/written.json")["commands"]


# ---- Files ----


def test_a_cached_version_is_read_and_written_again(tmp_path: Path) -> None:
    old = DATA / "config" / "cache.json"
    taken = VerifiedVersion(2, digest_of(BODIES[1]), BODIES[1])
    assert read_cache(WatchConfig("fleet", [], [], SECRET, old)) == (taken, "")
    write_cache(WatchConfig("fleet", [], [], SECRET, tmp_path / "cache.json"), taken)
    assert (tmp_path / "cache.json").read_bytes() == old.read_bytes()


def test_a_replica_s_file_has_its_values() -> None:
    orders = read_replica_config(DATA / "files" / "store.json")
    assert (orders.cluster, orders.name, orders.folder) == ("fleet", "r1", DATA / "files" / "r1-store")
    assert (orders.secret, orders.replicas) == (SECRET, REPLICAS)
    assert (orders.election_timeout, orders.snapshot_every) == (400_000_000, 500)
    assert orders.members() == {"r1.1": Member("r1", *REPLICAS["r1"], votes=True)}


def test_a_lease_server_s_file_has_its_values() -> None:
    path = DATA / "files" / "keepers.json"
    orders, servers = read_lease_server_config(path), read_lease_servers(path)
    assert orders.replica == read_replica_config(DATA / "files" / "store.json")
    rules = [tuple(orders.definitions.find(name) or ()) for name in ("restart", "team-a", "other")]
    assert (
        rules == [(3, 120 * SECOND), (1, 60 * SECOND), ()] and orders.definitions.min_duration == 2 * SECOND
    )
    assert tuple(servers) == ({"r1": "10.0.0.1:7001"}, ["10.0.0.1:8081"], SECRET)


def test_a_config_server_s_file_has_its_values() -> None:
    path = DATA / "files" / "config-servers.json"
    orders = read_config_server_config(path)
    assert orders.replica == read_replica_config(DATA / "files" / "store.json")
    assert (orders.max_watchers, orders.bytes_per_second) == (99, 200_000)
    assert tuple(read_config_servers(path)) == ({"r1": "10.0.0.1:7001"}, SECRET)


def test_a_watcher_s_file_has_its_values() -> None:
    servers = ["10.0.0.1:8081", "10.0.0.2:8081"]
    cache = DATA / "files" / "n0-config.json"
    found = tuple(read_watch_config(DATA / "files" / "watch.json"))
    assert found == ("fleet", servers, servers[:1], SECRET, cache)


def test_a_dispatcher_s_file_has_its_values() -> None:
    told = read_config({"RELAY_CONFIG": str(DATA / "files" / "example.json")})
    assert (told.name, told.listen, told.discovery) == ("n0", ("127.0.0.1", 8081), "127.0.0.1:8500")
    assert (told.seed, told.descriptor_limit, told.memory_limit) == (0x8C1F30D27A5BE964, 1024, 192 << 20)
    assert told.known_endpoints is not None and told.known_endpoints["servers"][0]["id"] == "w0"
