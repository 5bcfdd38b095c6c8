"""Many simulated dispatchers in one process: the real program on real sockets, on a shared event loop."""
