"""Faults planted in config servers and watchers: `planted_distribution FAULT,... WORDS...` starts the program
with them, as a process of the rig.
"""

import asyncio
import sys
from typing import Any

from ploverspoke.config_distribution import dynamic_config, overlay, server_node, state_machine, watcher


def older() -> None:
    """A watcher that takes an older version some time after a newer one."""
    push, taken = watcher.ConfigWatcher._push, [watcher.NOTHING]

    def again(self: watcher.ConfigWatcher, message: Any, now: int) -> None:
        push(self, message, now)
        before, came = taken[-1], self.came
        if came.number == self.in_force and came is not before:
            taken.append(came)
            if before is not watcher.NOTHING:
                asyncio.get_running_loop().call_later(0.1, lambda: self.host.take(*before))

    vars(watcher)["ConfigWatcher"]._push = again


def half() -> None:
    """A watcher that lays half of a body on."""
    apply_overlay = overlay.apply_overlay

    def first(own: Any, body: Any) -> Any:
        laid = apply_overlay(own, body)
        settings = {**laid["settings"], "ServiceGrades": laid["settings"]["ServiceGrades"][:1]}
        return {**laid, "settings": settings}

    vars(dynamic_config)["apply_overlay"] = first


def unchecked() -> None:
    """A watcher that takes what is good of a body that its checks refuse."""
    take = dynamic_config.VersionApplier.take

    def some(self: dynamic_config.VersionApplier, number: int, body: str) -> str:
        reason = take(self, number, body)
        if reason:
            grades = overlay.read_body(body)["settings"]["ServiceGrades"]
            laid = overlay.apply_overlay(self.own, {"settings": {"ServiceGrades": grades}})
            self.service.take_configuration(dynamic_config.parse_config(laid, self.environment))
        return reason

    vars(dynamic_config)["VersionApplier"].take = some


def patient() -> None:
    """A watcher that never leaves a silent server."""
    vars(watcher)["Link"].is_late = lambda self, now: False


def eager() -> None:
    """A server that gives out what it has not committed."""
    publish = server_node.ConfigServerNode._publish

    def at_once(self: server_node.ConfigServerNode, question: Any, reply: Any) -> None:
        latest, body = self.versions.number(), question["body"]
        if self.leads() and question["expect"] == latest:
            digest = state_machine.digest_of(body)
            self.feed.offer(
                state_machine.Version(latest + 1, body, digest, digest, "planted", question["id"])
            )
            self.feed_again()
        publish(self, question, reply)

    vars(server_node)["ConfigServerNode"]._publish = at_once


def swaps() -> None:
    """A server that looks at no expectation."""
    publish = state_machine.ConfigStateMachine._publish

    def whatever(
        self: state_machine.ConfigStateMachine, body: str, same: bytes, expect: int, by: str, one: str
    ) -> None:
        publish(self, body, same, self.number(), by, one)

    vars(state_machine)["ConfigStateMachine"]._publish = whatever


def forgets() -> None:
    """A server that begins anew where its folder is empty."""
    begin = server_node.ConfigServerNode.open

    async def anew(self: server_node.ConfigServerNode, new: bool = False, join: str = "") -> None:
        await begin(self, True, join)

    vars(server_node)["ConfigServerNode"].open = anew


FAULTS = {each.__name__: each for each in (older, half, unchecked, patient, eager, swaps, forgets)}

if __name__ == "__main__":
    for name in sys.argv.pop(1).split(","):
        FAULTS[name]()
    from ploverspoke.cli import main

    main(prog_name="ploverspoke")
