"""Config servers and watchers with injected bugs, which the checker must detect.

`python -m tests.config_distribution.faulty_distribution FAULT,... ARGUMENT...` runs the program with them.
"""

import asyncio
import sys

from ploverspoke.config_distribution import (
    dynamic_config,
    messages,
    overlay,
    server_link,
    server_node,
    state_machine,
    version_receiver,
)
from ploverspoke.config_distribution.admin_messages import read_publish_request
from ploverspoke.config_distribution.errors import VersionRejectedError
from ploverspoke.consensus.admin_messages import WireMap
from ploverspoke.consensus.peer_links import Reply
from ploverspoke.service.config import parse_config


def reverts_version() -> None:
    """A watcher that applies an older version again after a newer one."""
    on_version, applied = version_receiver.VersionReceiver.on_version, [messages.NO_VERSION]

    def on_version_and_reapply(
        self: version_receiver.VersionReceiver, message: messages.UnverifiedVersion
    ) -> None:
        on_version(self, message)
        previous, received = applied[-1], self.received
        if received.number == self.applied_version and received is not previous:
            applied.append(received)
            if previous is not messages.NO_VERSION:
                reapply = self.environment.apply_version
                asyncio.get_running_loop().call_later(0.1, reapply, previous)

    vars(version_receiver)["VersionReceiver"].on_version = on_version_and_reapply


def applies_half_of_body() -> None:
    """A watcher that applies only half of a body."""
    apply_overlay = overlay.apply_overlay

    def apply_first_class(own: object, body: overlay.JsonObject) -> object:
        patched = apply_overlay(own, body)
        assert isinstance(patched, dict)
        settings = patched["settings"]
        first_class = settings["ServiceGrades"][:1]
        return {**patched, "settings": {**settings, "ServiceGrades": first_class}}

    vars(dynamic_config)["apply_overlay"] = apply_first_class


def applies_part_of_rejected() -> None:
    """A watcher that applies the valid part of a body that its checks reject."""
    apply = dynamic_config.VersionApplier.apply

    def apply_good_part(self: dynamic_config.VersionApplier, version: messages.VerifiedVersion) -> None:
        try:
            apply(self, version)
        except VersionRejectedError:
            settings = overlay.read_body(version.body)["settings"]
            assert isinstance(settings, dict)
            good_part: overlay.JsonObject = {"settings": {"ServiceGrades": settings["ServiceGrades"]}}
            patched = overlay.apply_overlay(self.own_config.document, good_part)
            self.service.apply_config(parse_config(patched, self.own_config.environment))
            raise

    vars(dynamic_config)["VersionApplier"].apply = apply_good_part


def keeps_silent_server() -> None:
    """A watcher that never disconnects from a silent server."""
    vars(server_link)["ServerLink"].is_overdue = lambda self, now: False


def sends_uncommitted() -> None:
    """A server that sends uncommitted versions."""
    publish = server_node.ConfigServerNode._publish

    def send_at_once(self: server_node.ConfigServerNode, message: WireMap, reply: Reply) -> None:
        latest, request = self.versions.latest_number(), read_publish_request(message)
        if self.leads() and request.expected_version == latest:
            digest = state_machine.digest_of(request.body)
            version = state_machine.Version(
                latest + 1, request.body, digest, digest, "uncommitted", request.request_id
            )
            self.broadcaster.add_version(version)
            self.schedule_tick()
        publish(self, message, reply)

    vars(server_node)["ConfigServerNode"]._publish = send_at_once


def ignores_expected_version() -> None:
    """A server that ignores the expected version of a publish request."""
    publish = state_machine.ConfigStateMachine._publish

    def publish_unconditionally(
        self: state_machine.ConfigStateMachine, command: state_machine.PublishCommand
    ) -> None:
        publish(
            self,
            state_machine.PublishCommand(
                command.body,
                command.canonical_digest,
                self.latest_number(),
                command.author,
                command.request_id,
            ),
        )

    vars(state_machine)["ConfigStateMachine"]._publish = publish_unconditionally


def restarts_as_new_cluster() -> None:
    """A server that starts a new cluster if its folder is empty."""
    open_node = server_node.ConfigServerNode.open

    async def open_as_new_cluster(
        self: server_node.ConfigServerNode, new: bool = False, join: str = ""
    ) -> None:
        await open_node(self, True, join)

    vars(server_node)["ConfigServerNode"].open = open_as_new_cluster


FAULTS = {
    fault.__name__: fault
    for fault in (
        reverts_version,
        applies_half_of_body,
        applies_part_of_rejected,
        keeps_silent_server,
        sends_uncommitted,
        ignores_expected_version,
        restarts_as_new_cluster,
    )
}

if __name__ == "__main__":
    for name in sys.argv.pop(1).split(","):
        FAULTS[name]()
    from ploverspoke.cli import main

    main(prog_name="ploverspoke")
