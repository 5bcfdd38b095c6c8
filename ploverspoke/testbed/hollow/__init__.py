"""Many dispatchers in one process: the real program on real sockets, with nothing shared but the loop."""
