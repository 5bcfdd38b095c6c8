"""Fake workers, discovery, clients and resources behind loopback sockets, each in a process of its own."""
