"""Which dispatchers have a version applied, put together from what all config servers know."""

from collections.abc import Iterable

import msgspec

from .watcher_records import WatcherRow


class FleetStatus(msgspec.Struct):
    """Dispatchers by what is known of them; each name stands in one group.

    The names of the fields in JSON are those that `ploverspoke config --json` prints.
    """

    version: int  # the one that is asked for
    applied: list[str] = msgspec.field(name="in_force", default_factory=list)  # this version or a later one
    behind: list[str] = msgspec.field(default_factory=list)
    rejected: dict[str, str] = msgspec.field(name="refused", default_factory=dict)  # why, by name
    # Seconds since the last status of a dispatcher that is not connected, by its name.
    disconnected: dict[str, float] = msgspec.field(name="away", default_factory=dict)
    # Servers that gave no reply: who watches them is not known.
    silent_servers: list[str] = msgspec.field(name="unheard", default_factory=list)

    def connected(self) -> int:
        """How many dispatchers are connected."""
        return len(self.applied) + len(self.behind) + len(self.rejected)

    def is_applied_everywhere(self) -> bool:
        """Whether every dispatcher that is connected has the version applied."""
        return not self.behind and not self.rejected

    def add(self, row: WatcherRow) -> None:
        """Add one dispatcher to its group."""
        if not row.is_connected:
            self.disconnected[row.name] = row.silent_seconds
        elif row.applied_version >= self.version:
            self.applied.append(row.name)
        elif row.received_version >= self.version and row.rejection:
            self.rejected[row.name] = row.rejection
        else:
            self.behind.append(row.name)


def group_watchers(version: int, rows: Iterable[WatcherRow], silent_servers: list[str]) -> FleetStatus:
    """The fleet's status from the rows of all servers, which may know one dispatcher several times."""
    best: dict[str, WatcherRow] = {}
    for row in rows:
        known = best.get(row.name)
        if known is None or _precedence(row) < _precedence(known):
            best[row.name] = row
    status = FleetStatus(version, silent_servers=silent_servers)
    for name in sorted(best):
        status.add(best[name])
    return status


def _precedence(row: WatcherRow) -> tuple[bool, float]:
    # A connection counts before what was received last: a dispatcher leaves a trace at its old server.
    return not row.is_connected, row.silent_seconds
