"""A replica of the store, and the values that it saves outside the replicated log."""

import time
from collections.abc import Callable

import msgspec

from ploverspoke.consensus.admin_messages import (
    WireMap,
    decode_request,
    encode_reply,
)
from ploverspoke.consensus.cluster_config import ReplicaConfig
from ploverspoke.consensus.node import ReplicaNode
from ploverspoke.consensus.peer_links import Reply
from ploverspoke.consensus.storage import ReplicaStorage
from ploverspoke.protocol.discovery import EndpointListDocument

from .admin_messages import ConfigurationRow, ConfigurationsRequest, ConfigureReply, ConfigureRequest
from .log_commands import CommitConfiguration
from .snapshot import SharedConfiguration
from .state_machine import RequestStateMachine

# Keys of the values saved outside the log. These names are stored on disk and must not change.
CONFIGURATION_KEY, ENDPOINTS_KEY = "configuration", "roster"


class StoreStatus(msgspec.Struct, frozen=True):
    """The state machine's part of a replica's status."""

    open: int  # open requests
    answered: int  # requests whose answer is retained
    configuration: int  # the latest version; 0: none


class SavedConfiguration(msgspec.Struct, array_like=True, frozen=True):
    """This replica's copy of the latest shared configuration, which it uses when it starts."""

    version: int = 0
    body: str = ""


class StoreNode(ReplicaNode):
    """One replica of the store."""

    def __init__(self, config: ReplicaConfig, storage: ReplicaStorage | None = None) -> None:
        """`config` is the replica's configuration; `storage` defaults to the storage in its folder."""
        self.requests = RequestStateMachine()
        super().__init__(config, self.requests, storage)
        self.requests.on_time = self.clock.advance_to
        self.on_configuration: Callable[[], None] | None = None  # called after a later one was committed
        self.saved_version = 0  # version of the saved configuration

    def on_storage_opened(self) -> None:
        """Read the version of the saved configuration, and save each later one once it is committed."""
        self.saved_version = self.saved_configuration().version
        self.requests.on_configuration = self._on_configuration_committed

    # ---- Values saved outside the log ----

    def saved_configuration(self) -> SavedConfiguration:
        """Return the saved configuration; version 0 if none was ever committed."""
        return self.storage.load_value(CONFIGURATION_KEY, SavedConfiguration) or SavedConfiguration()

    def latest_known_configuration(self) -> SavedConfiguration:
        """Return the saved configuration, or that of the restored snapshot if the later one was not saved."""
        saved, restored = self.saved_configuration(), self.requests.configuration()
        if restored is None or restored.version <= saved.version:
            return saved
        return SavedConfiguration(restored.version, restored.body)

    def saved_endpoints(self) -> EndpointListDocument | None:
        """Return the saved endpoint list, if there is one."""
        return self.storage.load_value(ENDPOINTS_KEY, EndpointListDocument)

    def save_endpoints(self, endpoints: EndpointListDocument) -> None:
        """Save the endpoint list in the background."""
        self.save_value(ENDPOINTS_KEY, endpoints)

    def _on_configuration_committed(self, configuration: SharedConfiguration) -> None:
        if configuration.version <= self.saved_version:
            return
        self.saved_version = configuration.version
        self.save_value(CONFIGURATION_KEY, [configuration.version, configuration.body])
        if self.on_configuration is not None:
            self.loop.call_soon(self.on_configuration)

    # ---- Admin requests ----

    def state_status(self) -> StoreStatus:
        """Return the request counts and the latest version of the configuration."""
        configuration = self.requests.configuration()
        return StoreStatus(
            open=len(self.requests.open_requests),
            answered=len(self.requests.answered),
            configuration=configuration.version if configuration is not None else 0,
        )

    def handle_state_request(self, request: WireMap, reply: Reply) -> bool:
        """Handle a request about configurations; return False for any other. Raises MalformedRequestError."""
        if not isinstance(request.get("token", 0), int):
            return False
        match decode_request(request, ConfigureRequest, ConfigurationsRequest):
            case ConfigureRequest() as configure:
                self._commit_configuration(configure, reply)
            case ConfigurationsRequest():
                reply([msgspec.to_builtins(row) for row in self._list_configurations()])
            case _:
                return False
        return True

    def _commit_configuration(self, request: ConfigureRequest, reply: Reply) -> None:
        command = CommitConfiguration(request.body, request.by, time.time_ns(), request.token)
        self.propose(
            command,
            lambda is_committed: reply(encode_reply(self._build_configure_reply(is_committed, command))),
        )

    def _build_configure_reply(self, is_committed: bool, command: CommitConfiguration) -> ConfigureReply:
        """Return the result; the state may have ignored a committed command, or hold later versions now."""
        if not is_committed:
            return ConfigureReply(False, version=0)
        expected = (command.body, command.committed_by, command.wall_time)
        for stored in reversed(self.requests.configurations):
            if (stored.body, stored.committed_by, stored.committed_wall_time) == expected:
                return ConfigureReply(True, version=stored.version)
        return ConfigureReply(False, why=f"published under token {self.requests.highest_token} since")

    def _list_configurations(self) -> list[ConfigurationRow]:
        return [
            ConfigurationRow(
                configuration.version,
                configuration.committed_by,
                configuration.committed_wall_time,
                configuration.body,
            )
            for configuration in self.requests.configurations
        ]
