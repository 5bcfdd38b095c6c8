"""Leaves the lead of a store to another replica while this one cannot apply the latest configuration."""

from collections.abc import Callable

from ploverspoke.transport.rate_limited_log import log_line

from .node import StoreNode

HAND_OVER_INTERVAL_S = (
    1.0  # so that a configuration can be committed where no replica can apply the latest one
)


class LeadershipHandOver:
    """Transfers the leadership, to each of the other voters in turn until one takes it."""

    def __init__(self, node: StoreNode, is_leading: Callable[[], bool]) -> None:
        """`is_leading` tells whether this replica has begun to lead after all."""
        self.node = node
        self.is_leading = is_leading
        self.attempts = 0
        self.is_pending = False

    def other_voters(self) -> list[str]:
        """Return the names of the other replicas that may lead."""
        own_name = self.node.config.name
        return [
            member.name for member in self.node.members().values() if member.votes and member.name != own_name
        ]

    def start(self) -> None:
        """Begin to transfer the leadership, unless that has begun."""
        if self.is_pending:
            return
        log_line(f"store: {self.node.config.name} leaves the lead: it cannot apply the latest configuration")
        self._schedule()

    def _schedule(self) -> None:
        self.is_pending = True
        self.node.loop.call_later(HAND_OVER_INTERVAL_S, self._transfer)

    def _transfer(self) -> None:
        self.is_pending = False
        voters = self.other_voters()
        if not voters or not self.node.is_elected() or self.is_leading() or self.node.closed:
            return
        self.node.transfer_leadership(voters[self.attempts % len(voters)])
        self.attempts += 1
        self._schedule()
