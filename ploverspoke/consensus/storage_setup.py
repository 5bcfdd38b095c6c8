"""Opens the storage of a replica, sets it up at the first start, and checks which replica it belongs to."""

import msgspec

from .cluster_config import ReplicaConfig, initial_replica_id
from .membership import Members, fingerprint
from .persisted_state import WriteBatch
from .storage import ClusterMismatchError, ReplicaStorage

EMPTY_STORAGE_DETAIL = (
    "is empty: a new store begins with --new on all of its replicas; a replica whose disk was lost is removed"
    " from the store and added under another name, and starts with --join"
)
OTHER_CLUSTER_DETAIL = "belongs to a store with another name or with other replicas"


def open_storage(storage: ReplicaStorage, config: ReplicaConfig, new: bool, join: str) -> None:
    """Open the storage of the replica that `config` describes.

    Empty storage is set up for a new cluster if `new`, or to join the cluster with the fingerprint `join`.
    Raises ClusterMismatchError, CorruptionError or StorageError.
    """
    storage.open()
    replica_id = initial_replica_id(config.name)
    cluster_fingerprint = join or fingerprint(config.cluster, config.members())
    if not storage.replica_id and (new or join):
        members = as_learners(config.members()) if join else config.members()
        storage.initialize(replica_id, cluster_fingerprint, members)
    if not storage.replica_id:
        raise ClusterMismatchError(storage.path, EMPTY_STORAGE_DETAIL)
    if storage.replica_id != replica_id:
        raise ClusterMismatchError(storage.path, f"is the store of {storage.replica_id}, not of {replica_id}")
    if (new or join) and storage.cluster_fingerprint != cluster_fingerprint:
        raise ClusterMismatchError(storage.path, OTHER_CLUSTER_DETAIL)


def reopen_storage(storage: ReplicaStorage) -> None:
    """Open the storage again after a failure, and test whether it can be written.

    Raises CorruptionError or StorageError.
    """
    storage.reopen()
    # Writing the current vote again changes nothing.
    batch = WriteBatch()
    batch.vote = (storage.persisted.current_term, storage.persisted.voted_for)
    storage.write(batch)


def as_learners(members: Members) -> Members:
    """Return the members as learners, without votes.

    A joining replica does not become a candidate until the leader has brought it up to date and made it a
    voter.
    """
    return {
        replica_id: msgspec.structs.replace(member, votes=False) for replica_id, member in members.items()
    }
