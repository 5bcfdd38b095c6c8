"""The protocols spoken with clients, workers, discovery, operators and other dispatchers, without I/O."""
