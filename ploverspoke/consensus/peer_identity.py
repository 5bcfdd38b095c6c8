"""How replicas and tools identify themselves in the greeting of a connection."""

from typing import NamedTuple

from .errors import ConsensusError
from .framing import FrameCodec


class PeerIdentity(NamedTuple):
    """How a replica identifies itself in its greeting."""

    replica_id: str
    cluster_fingerprint: str

    def greeting(self) -> dict[str, str]:
        """Return the fields of the greeting that is sent."""
        return {"id": self.replica_id, "store": self.cluster_fingerprint}


class GreetingError(ConsensusError):
    """The greeting of the other side is incomplete, or not from the expected replica or cluster."""

    def __init__(self, reason: str) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason


def peer_identity(frames: FrameCodec) -> PeerIdentity:
    """Return the identity in the greeting of the other side. Raises GreetingError."""
    greeting = frames.peer_greeting
    if greeting is None or "id" not in greeting or "store" not in greeting:
        raise GreetingError(reason="the greeting lacks id or store")
    return PeerIdentity(str(greeting["id"]), str(greeting["store"]))


def wrong_cluster_reason(replica_id: str) -> str:
    """Return the reason for refusing a replica of another cluster."""
    return f"{replica_id} belongs to another store, or was started with other replicas"
