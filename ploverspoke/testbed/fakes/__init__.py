"""Fake workers, discovery, clients and a protected resource for the real program, on loopback sockets."""
