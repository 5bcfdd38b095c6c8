"""A keeper on a disk and on sockets: a thin driver of `LeaseManager` on a replica whose state is
`LeaseStateMachine`."""

from collections.abc import Callable
from typing import Any

from ploverspoke.consensus.node import ReplicaNode, Reply
from ploverspoke.consensus.raft import Role
from ploverspoke.transport.rate_limited_log import log_line

from .config import LeaseServerConfig
from .definitions import told
from .manager import LeaseManager, Message
from .state_machine import LeaseStateMachine

EPOCH_KEY = "era"  # on the disk of this replica: from the latest restore on
TICKS_EVERY = 0.02  # seconds, while it leads


class LeaseServerNode(ReplicaNode):
    def __init__(self, orders: LeaseServerConfig) -> None:
        self.terms = LeaseStateMachine()
        super().__init__(orders.replica, self.terms)
        self.rules = orders.rules
        self.keeper = LeaseManager(self, self.terms, self.rules)
        self.tell_holder: Callable[[str, Message], None] = lambda holder, message: None
        self.ticking = False

    # ---- The keeper's host ----

    def now(self) -> int:
        return self.clock.monotonic()

    def confirm(self, then: Callable[[bool], None]) -> None:
        self.read(then)

    def tell(self, holder: str, message: Message) -> None:
        self.tell_holder(holder, message)

    # `propose` is the node's own.

    # ---- Who leads ----

    def on_role_changed(self, role: Role, leader: str) -> None:
        # At once, not behind what the loop has to do: a keeper that applied another leader's entries while it
        # still believed to lead would tell a grant of long ago as a new one.
        if role == "leader":
            self.loop.call_soon(self.read, self._took_over)
        elif self.keeper.leading:
            self.keeper.leads_no_more()
            log_line(f"keeper: {self.config.name} leads no more")
        super().on_role_changed(role, leader)

    def _took_over(self, yes: bool) -> None:
        """All that was committed before is applied here."""
        if not yes or not self.is_elected() or self.keeper.leading:
            return
        era = self.storage.load_value(EPOCH_KEY) or 0
        self.keeper.leads(era)
        held = sum(len(row) for row in self.terms.names.values())
        log_line(
            f"keeper: {self.config.name} leads; {held} leases are held"
            + " (restored)" * self.keeper.is_restored()
        )
        if not self.ticking:
            self.ticking = True
            self.loop.call_later(TICKS_EVERY, self._tick)

    def _tick(self) -> None:
        self.ticking = self.keeper.leading and not self.closed
        if self.ticking:
            self.keeper.tick()
            self.loop.call_later(TICKS_EVERY, self._tick)

    # ---- What tools ask ----

    def state_status(self) -> dict[str, Any]:
        keeper = self.keeper
        return {
            "leading": keeper.leading,
            "leases": sum(len(row) for row in self.terms.names.values()),
            "last_token": self.terms.last,
            "era": self.terms.era,
            "waiting": sum(len(row) for row in keeper.queues.values()),
            "granted": keeper.granted,
            "renewed": keeper.renewed,
        }

    def handle_state_request(self, request: dict[str, Any], reply: Reply) -> bool:
        """`leases`: what is held and waited for, as the leader knows it; a follower says that it is none."""
        if request.get("ask") != "leases":
            return False

        def confirmed(yes: bool) -> None:
            if not yes or not self.keeper.leading:
                reply({"leads": False})
                return
            now, keeper = self.now(), self.keeper
            rows = [
                {
                    "name": name,
                    "holder": one.holder,
                    "token": one.token,
                    "duration_ms": one.duration // 1_000_000,
                    "over_in_ms": max(0, keeper.deadlines.get(one.token, now) - now) // 1_000_000,
                }
                for name, held in self.terms.names.items()
                for one in held
            ]
            waiting = {name: [one.holder for one in queue] for name, queue in keeper.queues.items()}
            reply({"leads": True, "held": rows, "waiting": waiting, "declared": told(self.rules)})

        self.read(confirmed)
        return True
