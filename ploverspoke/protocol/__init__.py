"""The protocols with clients, workers, discovery, operators and other dispatchers. Opens no sockets."""
