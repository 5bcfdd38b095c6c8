"""Limits of a leading lease server: the leases that holders have, and the grants proposed at once. No I/O."""

from collections import Counter, OrderedDict
from collections.abc import Collection, Mapping

from .state_machine import LeaseGrant, ReleasedToken

MAX_HELD_LEASES = 20_000  # of all holders together
MAX_LEASES_PER_HOLDER = 1000
MAX_PROPOSED_GRANTS = 256  # at once; applying them is one step of the event loop
MAX_ENDED_AT_ONCE = 1000  # grants in one command


class GrantCounts:
    """The grants of each holder, made or proposed, by the id of the holder."""

    def __init__(self) -> None:
        """Begin without any grants."""
        self.by_holder: Counter[str] = Counter()
        self.total = 0
        self.was_limited = False  # since the last call of `clear_limited`

    def add(self, holder: str) -> None:
        """Count one more grant."""
        self.by_holder[holder] += 1
        self.total += 1

    def remove(self, holder: str) -> None:
        """Count one grant less."""
        self.total -= 1
        self.by_holder[holder] -= 1
        if not self.by_holder[holder]:
            del self.by_holder[holder]

    def has_room(self, holder: str) -> bool:
        """Return whether one more lease may be granted to the holder; remember if not."""
        has_room = self.by_holder[holder] < MAX_LEASES_PER_HOLDER and self.total < MAX_HELD_LEASES
        self.was_limited = self.was_limited or not has_room
        return has_room

    def clear_limited(self) -> bool:
        """Return whether a limit was reached since the last call."""
        was_limited, self.was_limited = self.was_limited, False
        return was_limited

    def clear(self) -> None:
        """Begin anew."""
        self.by_holder.clear()
        self.total = 0
        self.was_limited = False


class GrantProposals:
    """The grants that are proposed and not decided, and the leases whose grants wait until some are."""

    def __init__(self, counts: GrantCounts) -> None:
        """Proposed grants are counted in `counts`."""
        self.counts = counts
        self.holders: dict[str, str] = {}  # by name of the lease
        self.deferred: OrderedDict[str, None] = OrderedDict()  # names of leases

    def is_full(self) -> bool:
        """Return whether another grant has to wait."""
        return len(self.holders) >= MAX_PROPOSED_GRANTS

    def add(self, name: str, holder: str) -> None:
        """Record that a grant is proposed."""
        self.holders[name] = holder
        self.counts.add(holder)

    def remove(self, name: str) -> None:
        """Record that the grant of a lease is decided, if one was proposed."""
        holder = self.holders.pop(name, None)
        if holder is not None:
            self.counts.remove(holder)

    def defer(self, name: str) -> None:
        """Let the grant of a lease wait."""
        self.deferred[name] = None

    def next_deferred(self) -> str | None:
        """Return the lease that has waited longest, if a grant can be proposed."""
        if not self.deferred or self.is_full():
            return None
        name, _ = self.deferred.popitem(last=False)
        return name

    def clear(self) -> None:
        """Begin anew; the counts are cleared by their owner."""
        self.holders.clear()
        self.deferred.clear()


def unwanted_grants(
    grants_by_name: Mapping[str, list[LeaseGrant]],
    expires_at: Mapping[int, int],
    ended_tokens: Collection[int],
    now: int,
    has_grace: bool,
) -> list[ReleasedToken]:
    """Return grants that have expired and were not replaced, some of them if there are many.

    With `has_grace` a grant is only returned once its duration has passed a second time. `expires_at` has the
    ends of all grants by token; those in `ended_tokens` are left out.
    """
    unwanted: list[ReleasedToken] = []
    for name, grants in grants_by_name.items():
        for grant in grants:
            grace = grant.duration if has_grace else 0
            if grant.token not in ended_tokens and expires_at[grant.token] + grace <= now:
                unwanted.append(ReleasedToken(name, grant.token))
        if len(unwanted) >= MAX_ENDED_AT_ONCE:
            break
    return unwanted
