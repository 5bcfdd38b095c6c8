"""Which dispatchers have applied a version, combined from the replies of all config servers."""

from collections.abc import Iterable

import msgspec

from .watcher_records import WatcherRow


class FleetStatus(msgspec.Struct):
    """The dispatchers, grouped by state; each dispatcher is in exactly one group.

    The JSON field names are printed by `ploverspoke config --json`.
    """

    version: int  # the requested version
    applied: list[str] = msgspec.field(name="in_force", default_factory=list)  # this version or later
    behind: list[str] = msgspec.field(default_factory=list)
    # Reasons by dispatcher name.
    rejected: dict[str, str] = msgspec.field(name="refused", default_factory=dict)
    # Seconds since the last status of each disconnected dispatcher, by name.
    disconnected: dict[str, float] = msgspec.field(name="away", default_factory=dict)
    # Servers that did not reply, so that their watchers are unknown.
    silent_servers: list[str] = msgspec.field(name="unheard", default_factory=list)

    def connected(self) -> int:
        """Return the number of connected dispatchers."""
        return len(self.applied) + len(self.behind) + len(self.rejected)

    def is_applied_everywhere(self) -> bool:
        """Whether every connected dispatcher has applied the version."""
        return not self.behind and not self.rejected

    def add(self, row: WatcherRow) -> None:
        """Add a dispatcher to its group."""
        if not row.is_connected:
            self.disconnected[row.name] = row.silent_seconds
        elif row.applied_version >= self.version:
            self.applied.append(row.name)
        elif row.received_version >= self.version and row.rejection:
            self.rejected[row.name] = row.rejection
        else:
            self.behind.append(row.name)


def group_watchers(version: int, rows: Iterable[WatcherRow], silent_servers: list[str]) -> FleetStatus:
    """Return the fleet status from the rows of all servers, which may contain a dispatcher several times."""
    best_rows: dict[str, WatcherRow] = {}
    for row in rows:
        best_row = best_rows.get(row.name)
        if best_row is None or _precedence(row) < _precedence(best_row):
            best_rows[row.name] = row
    status = FleetStatus(version, silent_servers=silent_servers)
    for name in sorted(best_rows):
        status.add(best_rows[name])
    return status


def _precedence(row: WatcherRow) -> tuple[bool, float]:
    # A connected row takes precedence over a more recent status: the server that a dispatcher has left still
    # remembers it.
    return not row.is_connected, row.silent_seconds
