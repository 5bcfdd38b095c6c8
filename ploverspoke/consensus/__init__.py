"""Raft consensus among replicas: log, storage, framing and connections; other packages have the states."""
