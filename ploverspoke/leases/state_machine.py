"""What lease servers agree on: which holder has which lease under which fencing token. No I/O and no time.

Applying a command never fails; what no longer fits the state is left out. Only the leading lease server knows
when a grant expires: it counts by its own monotonic clock (`manager.py`) and says with the next grant which
tokens have expired. So no two clocks have to agree.

Tokens only grow, over the whole life of all names: a restored state begins a new epoch, whose tokens are
above all of the one before.
"""

from collections.abc import Callable

import msgspec

SNAPSHOT_FORMAT = 1
EPOCH_TOKEN_BITS = 24  # an epoch has so many bits of tokens


class LeaseGrant(msgspec.Struct, array_like=True):
    """A lease as it is held."""

    holder: str
    token: int
    duration: int  # ns


class GrantCommand(msgspec.Struct, array_like=True, tag="grant"):
    """Ends the expired tokens, then grants the lease to a holder unless it has its most."""

    name: str
    holder: str
    duration: int  # ns
    max_holders: int
    expired_tokens: list[int]


class ReleasedToken(msgspec.Struct, array_like=True):
    """A grant that its holder gave back."""

    name: str
    token: int


class ReleaseCommand(msgspec.Struct, array_like=True, tag="release"):
    """Ends grants that were given back."""

    released: list[ReleasedToken]


class EpochCommand(msgspec.Struct, array_like=True, tag="era"):
    """Ends all grants and begins an epoch, unless it has begun."""

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
    """Read a log entry, typed or as a plain list; return None where its kind is not known to this release."""
    if isinstance(entry, GrantCommand | ReleaseCommand | EpochCommand):
        return entry
    if not isinstance(entry, list | tuple) or not entry or entry[0] not in COMMAND_TAGS:
        return None
    command: LeaseCommand = msgspec.convert(entry, LeaseCommand)
    return command


class LeaseStateMachine:
    """The state of the lease servers' log."""

    def __init__(self) -> None:
        """Begin without any grant; a snapshot may replace that."""
        self.last_token = 0
        self.epoch = 0
        self.grants: dict[str, list[LeaseGrant]] = {}  # by name; only leases that are held
        self.on_granted: Callable[[str, LeaseGrant], None] = lambda name, grant: None
        self.on_ended: Callable[[str, LeaseGrant], None] = lambda name, grant: None

    # ---- Interface of a replica's state machine ----

    def apply(self, index: int, command: object) -> None:
        """Apply a committed command; one of an unknown kind changes nothing."""
        parsed = parse_command(command)
        if isinstance(parsed, GrantCommand):
            self._grant(parsed)
        elif isinstance(parsed, ReleaseCommand):
            for released in parsed.released:
                self._end(released.name, {released.token})
        elif isinstance(parsed, EpochCommand) and parsed.epoch > self.epoch:
            # The grants at the time of the backup are not those of now.
            self.epoch = parsed.epoch
            for name, grants in list(self.grants.items()):
                self._end(name, {grant.token for grant in grants})

    def take_snapshot(self) -> bytes:
        """Encode the whole state."""
        return msgspec.msgpack.encode(
            LeaseSnapshot(SNAPSHOT_FORMAT, self.last_token, self.epoch, self.grants)
        )

    def restore_snapshot(self, data: bytes) -> None:
        """Replace the whole state by an encoded one; by the empty state where there are no bytes."""
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
        """Return how many leases are held, each counted once for each holder."""
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
