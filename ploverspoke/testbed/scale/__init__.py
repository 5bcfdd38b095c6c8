"""Many simulated dispatchers in one process: the real program on real sockets, sharing one event loop."""
