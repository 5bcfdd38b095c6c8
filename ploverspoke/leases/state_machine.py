"""The replicated state of the lease servers: which holder has which lease under which fencing token.

It uses no I/O and no clock. Applying a command never fails: parts that no longer fit the state are skipped.
Only the leading lease server knows when a grant expires. It counts by its own monotonic clock (`manager.py`)
and lists the expired tokens in the next grant command, so no two clocks have to agree.

Tokens only increase, across all leases and for as long as the cluster exists. A restored state begins a new
epoch, whose tokens are above all tokens of the previous one.
"""

from collections.abc import Callable

import msgspec

from ploverspoke.consensus.log import MalformedEntryError

SNAPSHOT_FORMAT = 1
EPOCH_TOKEN_BITS = 24  # low bits of a token, which number the grants of one epoch


class LeaseGrant(msgspec.Struct, array_like=True):
    """The grant of a lease to a holder."""

    holder: str
    token: int
    duration: int  # ns


class GrantCommand(msgspec.Struct, array_like=True, tag="grant"):
    """Ends the grants of the expired tokens, then grants the lease unless it has `max_holders` holders."""

    name: str
    holder: str
    duration: int  # ns
    max_holders: int
    expired_tokens: list[int]


class ReleasedToken(msgspec.Struct, array_like=True):
    """A grant that its holder released."""

    name: str
    token: int


class ReleaseCommand(msgspec.Struct, array_like=True, tag="release"):
    """Ends grants that were released."""

    released: list[ReleasedToken]


class EpochCommand(msgspec.Struct, array_like=True, tag="era"):
    """Ends all grants and begins an epoch, unless that epoch has already begun."""

    epoch: int


LeaseCommand = GrantCommand | ReleaseCommand | EpochCommand
COMMAND_TAGS = [kind.__struct_config__.tag for kind in (GrantCommand, ReleaseCommand, EpochCommand)]


class LeaseSnapshot(msgspec.Struct, array_like=True):
    """The whole state, as it is stored."""

    format: int
    last_token: int
    epoch: int
    grants: dict[str, list[LeaseGrant]]


def parse_command(entry: object) -> LeaseCommand | None:
    """Parse a log entry, typed or a plain list; return None if this release does not know its kind.

    Raises MalformedEntryError.
    """
    if isinstance(entry, GrantCommand | ReleaseCommand | EpochCommand):
        return entry
    if not isinstance(entry, list | tuple) or not entry or entry[0] not in COMMAND_TAGS:
        return None
    try:
        command: LeaseCommand = msgspec.convert(entry, LeaseCommand)
    except msgspec.ValidationError as error:
        raise MalformedEntryError(str(error)) from error
    return command


class LeaseStateMachine:
    """The state of the lease servers' log."""

    def __init__(self) -> None:
        """Begin without any grants; a snapshot may replace this state."""
        self.last_token = 0
        self.epoch = 0
        self.grants: dict[str, list[LeaseGrant]] = {}  # by name of the lease; only held leases
        self.on_granted: Callable[[str, LeaseGrant], None] = lambda name, grant: None
        self.on_ended: Callable[[str, LeaseGrant], None] = lambda name, grant: None

    # ---- Interface of a replica's state machine ----

    def apply(self, index: int, command: object) -> None:
        """Apply a committed command; a command of an unknown kind is ignored. Raises MalformedEntryError."""
        parsed = parse_command(command)
        if isinstance(parsed, GrantCommand):
            self._grant(parsed)
        elif isinstance(parsed, ReleaseCommand):
            for released in parsed.released:
                self._end(released.name, {released.token})
        elif isinstance(parsed, EpochCommand) and parsed.epoch > self.epoch:
            # The grants in the state date from the backup and need not be the current ones.
            self.epoch = parsed.epoch
            for name, grants in list(self.grants.items()):
                self._end(name, {grant.token for grant in grants})

    def take_snapshot(self) -> bytes:
        """Encode the whole state."""
        return msgspec.msgpack.encode(
            LeaseSnapshot(SNAPSHOT_FORMAT, self.last_token, self.epoch, self.grants)
        )

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the whole state with an encoded one, or with the empty state if there are no bytes."""
        empty = LeaseSnapshot(SNAPSHOT_FORMAT, 0, 0, {})
        snapshot = msgspec.msgpack.decode(data, type=LeaseSnapshot) if data else empty
        self.last_token = snapshot.last_token
        self.epoch = snapshot.epoch
        self.grants = snapshot.grants

    # ---- Queries ----

    def find_grant(self, name: str, holder: str) -> LeaseGrant | None:
        """Return the grant under which this holder has the lease."""
        return next((grant for grant in self.grants.get(name, ()) if grant.holder == holder), None)

    def total(self) -> int:
        """Return the number of held leases, each counted once for each holder."""
        return sum(len(grants) for grants in self.grants.values())

    def next_token(self) -> int:
        """Return the token of the next grant."""
        return max(self.last_token + 1, self.epoch << EPOCH_TOKEN_BITS)

    # ---- Internals ----

    def _grant(self, command: GrantCommand) -> None:
        self._end(command.name, set(command.expired_tokens))
        grants = self.grants.get(command.name, [])
        if len(grants) >= command.max_holders or any(grant.holder == command.holder for grant in grants):
            return
        self.last_token = self.next_token()
        granted = LeaseGrant(command.holder, self.last_token, command.duration)
        self.grants.setdefault(command.name, []).append(granted)
        self.on_granted(command.name, granted)

    def _end(self, name: str, tokens: set[int]) -> None:
        grants = self.grants.get(name, [])
        ended = [grant for grant in grants if grant.token in tokens]
        if not ended:
            return
        remaining = [grant for grant in grants if grant.token not in tokens]
        if remaining:
            self.grants[name] = remaining
        else:
            del self.grants[name]
        for grant in ended:
            self.on_ended(name, grant)
