"""Raft consensus of replicas: log, storage, framing, connections. Other packages have the state machines."""
