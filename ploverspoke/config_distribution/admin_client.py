"""What tools ask of config servers: all of them at once, the leader, and who has which version."""

import secrets
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

from ploverspoke.consensus.framing import FrameError
from ploverspoke.consensus.replica_client import send_admin_request

from .cluster_config import ConfigServers

AGAIN = 0.1  # seconds, between two looks for a leader
POLL = 0.2  # seconds, between two looks at the fleet


class NoServerAvailableError(Exception):
    """None leads, or none answers; says what each did."""


class Fleet(NamedTuple):
    """Dispatchers by what is known of them; a name stands in one list."""

    version: int  # the latest that a server has
    in_force: list[str]
    behind: list[str]
    refused: dict[str, str]  # why
    away: dict[str, float]  # not connected; seconds since they were heard
    unheard: list[str]  # servers that gave no answer: who watches them is not known

    def connected(self) -> int:
        return len(self.in_force) + len(self.behind) + len(self.refused)


def ask_all(servers: ConfigServers, question: dict[str, Any]) -> dict[str, Any]:
    """Each server's answer by its name; an OSError or a FrameError where it gave none."""

    def one(where: str) -> Any:
        try:
            return send_admin_request(where, servers.secret, question)
        except (OSError, FrameError) as error:
            return error

    with ThreadPoolExecutor(len(servers.peers)) as threads:
        return dict(zip(servers.peers, threads.map(one, servers.peers.values()), strict=True))


def answers(servers: ConfigServers, question: dict[str, Any]) -> dict[str, Any]:
    """Of those that answered. Raises NoServerAvailableError where none did."""
    told = ask_all(servers, question)
    found = {name: answer for name, answer in told.items() if not isinstance(answer, Exception)}
    if not found:
        raise NoServerAvailableError("; ".join(f"{name}: {error}" for name, error in told.items()))
    return found


def versions(servers: ConfigServers) -> list[list[Any]]:
    """Rows of the server that knows the latest. Raises NoServerAvailableError."""
    told = answers(servers, {"ask": "versions"}).values()
    return max((rows for rows in told if isinstance(rows, list)), key=_last, default=[])


def body_of(servers: ConfigServers, number: int = 0) -> dict[str, Any]:
    """`{n, body, by}` of a version, 0: the latest; n is 0 where none has it. Raises
    NoServerAvailableError."""
    told = answers(servers, {"ask": "version", "n": number}).values()
    return max(
        (row for row in told if isinstance(row, dict)), key=lambda row: row.get("n", 0), default={"n": 0}
    )


def publish(servers: ConfigServers, body: str, expect: int | None, by: str, within: float) -> dict[str, Any]:
    """Ask the leader to commit a body in the place of version `expect` (None: of whichever is the latest).

    The same request is asked again where the answer is lost, under the same id: it is committed once at the
    most. Gives the answer; where it has "unknown" the request may be committed or not. Raises
    NoServerAvailableError.
    """
    request, any_version = secrets.token_hex(12), expect is None
    until = time.monotonic() + within
    unknown: dict[str, Any] = {}  # an answer that left it open
    while True:
        leader, why, any_answers = _leader(servers)
        if not any_answers and not unknown:
            raise NoServerAvailableError(why)
        if leader:
            try:
                if expect is None:
                    expect = _last(send_admin_request(leader, servers.secret, {"ask": "versions"}))
                question = {"ask": "publish", "body": body, "expect": expect, "by": by, "id": request}
                told: dict[str, Any] = send_admin_request(leader, servers.secret, question)
                if told.get("unknown"):
                    unknown = told
                elif "leader" not in told:
                    if told["done"] or told.get("bad") or not any_version or time.monotonic() > until:
                        return told
                    # Another came between the look and the request: it is known not to be committed.
                    expect, request, unknown = None, secrets.token_hex(12), {}
                    continue
            except (OSError, FrameError) as error:
                if expect is not None:
                    unknown = {"done": False, "version": 0, "why": f"no answer: {error}", "unknown": True}
        if time.monotonic() > until:
            if unknown:
                return unknown
            raise NoServerAvailableError(why or "the leader changes")
        time.sleep(AGAIN)


def _leader(servers: ConfigServers) -> tuple[str, str, bool]:
    """Where the server is that leads; "" and why where none does, and whether any answers."""
    told = ask_all(servers, {"ask": "status"})
    for name, answer in told.items():
        if isinstance(answer, dict) and answer.get("leads"):
            return servers.peers[name], "", True
    why = [
        f"{name}: {answer}" if isinstance(answer, Exception) else f"{name} does not lead"
        for name, answer in told.items()
    ]
    return "", "; ".join(why), not all(isinstance(answer, Exception) for answer in told.values())


def fleet(servers: ConfigServers, version: int = 0) -> Fleet:
    """Who has `version` or a later one in force (0: the latest that a server has). Raises
    NoServerAvailableError."""
    told = answers(servers, {"ask": "watchers"})
    unheard = [name for name in servers.peers if name not in told]
    if not version:
        version = _last(versions(servers))
    best: dict[str, list[Any]] = {}
    for row in (row for rows in told.values() if isinstance(rows, list) for row in rows):
        known = best.get(row[0])
        # Connected counts before what was heard last: who changes servers leaves a trace at the old one.
        if known is None or (not row[5], row[4]) < (not known[5], known[4]):
            best[row[0]] = row
    found = Fleet(version, [], [], {}, {}, unheard)
    for name, in_force, came, reason, since, connected in sorted(best.values()):
        if not connected:
            found.away[name] = since
        elif in_force >= version:
            found.in_force.append(name)
        elif came >= version and reason:
            found.refused[name] = reason
        else:
            found.behind.append(name)
    return found


def wait_for(servers: ConfigServers, version: int, within: float) -> Fleet:
    """Until all that are connected have it in force or refuse it, or time is over. Raises
    NoServerAvailableError."""
    until = time.monotonic() + within
    while True:
        found = fleet(servers, version)
        if not found.behind or time.monotonic() > until:
            return found
        time.sleep(POLL)


def _last(rows: Any) -> int:
    return int(rows[-1][0]) if rows else 0
