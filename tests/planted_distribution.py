"""Faults planted in config servers and watchers: `planted_distribution FAULT,... WORDS...` starts the program
with them, as a process of the rig.
"""

import asyncio
import sys
from typing import Any

from ploverspoke.distribution import daemon, node, overlay, versions, watch


def older() -> None:
    """A watcher that takes an older version some time after a newer one."""
    push, taken = watch.Watch._push, [watch.NOTHING]

    def again(self: watch.Watch, message: Any, now: int) -> None:
        push(self, message, now)
        before, came = taken[-1], self.came
        if came.number == self.in_force and came is not before:
            taken.append(came)
            if before is not watch.NOTHING:
                asyncio.get_running_loop().call_later(0.1, lambda: self.host.take(*before))

    vars(watch)["Watch"]._push = again


def half() -> None:
    """A watcher that lays half of a body on."""
    lay_on = overlay.lay_on

    def first(own: Any, body: Any) -> Any:
        laid = lay_on(own, body)
        settings = {**laid["settings"], "ServiceGrades": laid["settings"]["ServiceGrades"][:1]}
        return {**laid, "settings": settings}

    vars(daemon)["lay_on"] = first


def unchecked() -> None:
    """A watcher that takes what is good of a body that its checks refuse."""
    take = daemon.Laying.take

    def some(self: daemon.Laying, number: int, body: str) -> str:
        reason = take(self, number, body)
        if reason:
            grades = overlay.read_body(body)["settings"]["ServiceGrades"]
            laid = overlay.lay_on(self.own, {"settings": {"ServiceGrades": grades}})
            self.service.take_configuration(daemon.briefing_of(laid, self.environment))
        return reason

    vars(daemon)["Laying"].take = some


def patient() -> None:
    """A watcher that never leaves a silent server."""
    vars(watch)["Link"].is_late = lambda self, now: False


def eager() -> None:
    """A server that gives out what it has not committed."""
    publish = node.ConfigServerNode._publish

    def at_once(self: node.ConfigServerNode, question: Any, reply: Any) -> None:
        latest, body = self.versions.number(), question["body"]
        if self.leads() and question["expect"] == latest:
            digest = versions.digest_of(body)
            self.feed.offer(versions.Version(latest + 1, body, digest, digest, "planted", question["id"]))
            self.feed_again()
        publish(self, question, reply)

    vars(node)["ConfigServerNode"]._publish = at_once


def swaps() -> None:
    """A server that looks at no expectation."""
    publish = versions.Versions._publish

    def whatever(self: versions.Versions, body: str, same: bytes, expect: int, by: str, one: str) -> None:
        publish(self, body, same, self.number(), by, one)

    vars(versions)["Versions"]._publish = whatever


def forgets() -> None:
    """A server that begins anew where its folder is empty."""
    begin = node.ConfigServerNode.open

    async def anew(self: node.ConfigServerNode, new: bool = False, join: str = "") -> None:
        await begin(self, True, join)

    vars(node)["ConfigServerNode"].open = anew


FAULTS = {each.__name__: each for each in (older, half, unchecked, patient, eager, swaps, forgets)}

if __name__ == "__main__":
    for name in sys.argv.pop(1).split(","):
        FAULTS[name]()
    from ploverspoke.cli import main

    main(prog_name="ploverspoke")
