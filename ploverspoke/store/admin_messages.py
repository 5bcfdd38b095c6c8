"""Admin requests that a store handles in addition to those that every replica handles."""

import msgspec
from msgspec import UNSET, UnsetType

from ploverspoke.consensus.admin_messages import AdminRequest, ResultReply


class ConfigureRequest(AdminRequest, frozen=True, tag="configure"):
    """Commit a configuration as the next version. Answered with `ConfigureReply`."""

    body: str
    by: str  # author: a user name or the id of a lease holder
    token: int = 0  # fencing token of the lease under which it is committed; 0: none


class ConfigurationsRequest(AdminRequest, frozen=True, tag="configurations"):
    """List the retained versions. Answered with a list of `ConfigurationRow`, the latest last."""


class ConfigureReply(ResultReply, frozen=True):
    """Says whether a configuration was committed, and as which version."""

    version: int | UnsetType = UNSET


class ConfigurationRow(msgspec.Struct, array_like=True, frozen=True):
    """One retained version."""

    version: int
    by: str
    committed_at: int  # ns of Unix time
    body: str
