"""Requests of tools that a store's state machine answers, beside those that every replica knows."""

import msgspec
from msgspec import UNSET, UnsetType

from ploverspoke.consensus.admin_messages import AdminRequest, ResultReply


class ConfigureRequest(AdminRequest, frozen=True, tag="configure"):
    """Commit a configuration as the next version. Answered with `ConfigureReply`."""

    body: str
    by: str  # who commits it
    token: int = 0  # fencing token of the lease under which it is committed; 0: none


class ConfigurationsRequest(AdminRequest, frozen=True, tag="configurations"):
    """Ask for the versions that are kept. Answered with a list of `ConfigurationRow`, the latest last."""


class ConfigureReply(ResultReply, frozen=True):
    """Whether a configuration was committed, and as which version."""

    version: int | UnsetType = UNSET


class ConfigurationRow(msgspec.Struct, array_like=True, frozen=True):
    """One version that is kept."""

    version: int
    by: str
    committed_at: int  # ns of Unix time
    body: str
